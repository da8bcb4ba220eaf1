//! What the calls of the platform and of the workers cost the daemon that makes them: bytes on the
//! wire, and processor time of the calling thread, at several sizes each.
//!
//! The server runs on a thread of its own, so that its time is not counted. The relay that counts
//! bytes is not in the way while time is measured.

#![expect(
    clippy::unwrap_used,
    reason = "a bench that can't run says so by a panic"
)]

mod peers;
mod spread;
mod table;
mod vm_list;
mod wire;
mod workers;

fn main() {
    workers::codec();
    workers::renewals();
    table::reads();
    table::commits();
    vm_list::polls();
    peers::frames();
}
