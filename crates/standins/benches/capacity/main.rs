//! Measures the cost of a daemon's calls to the platform's services and to workers, at several sizes each: bytes on
//! the wire and CPU time of the calling thread.
//!
//! The server runs on its own thread, so that its CPU time is not counted. CPU time is measured without the relay that
//! counts bytes.

#![expect(clippy::unwrap_used, reason = "a benchmark that can't run panics")]

mod cpu_time;
mod peers;
mod table;
mod vm_list;
mod wire;
mod workers;

fn main() {
    workers::measure_report_codecs();
    workers::measure_renewals();
    table::measure_scans();
    table::measure_commits();
    vm_list::measure_polls();
    peers::measure_frames();
}
