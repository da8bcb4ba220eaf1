//! Measures the size of a heartbeat between daemons and the CPU time to encode and decode it.

use std::hint::black_box;

use jasminebend_base::SeatNumber;
use jasminebend_ownership::{
    PeerBody,
    PeerMessage,
    PeerReport, //
};
use jasminebend_wire::{
    KeyRing,
    PeerCodec,
    PeerKey,
    WireBody, //
};

use crate::cpu_time::cpu_time_per_call;

const SENDER: u64 = 0x5eed_0000_0000_0001;
const RECIPIENT: u64 = 0x5eed_0000_0000_0002;

fn codec(nonce: u64) -> PeerCodec {
    PeerCodec::new(nonce, KeyRing::new(PeerKey::new([7; 32])))
}

/// Returns a heartbeat in a cluster of `seats` seats. The numbers are as large as after some hundred replacements of
/// each seat's daemon, because they are encoded with variable length.
fn heartbeat(seats: u64) -> WireBody {
    let report = PeerReport {
        seats: (0..seats).map(|seat| 300 + seat).collect(),
        configuration: 40_000,
        in_force: 40_000,
        heard: 123_456,
    };
    WireBody::Member(PeerMessage {
        from: SeatNumber(3),
        epoch: 303,
        nonce: SENDER,
        to: RECIPIENT,
        body: PeerBody::Ask {
            number: 123_456,
            report,
        },
    })
}

pub(crate) fn measure_frames() {
    println!("### A frame between daemons\n");
    println!("| seats | bytes | encode and sign, us | check, decode and encode again, us |");
    println!("|---|---|---|---|");
    for seats in [7, 21, 70, 250] {
        let body = heartbeat(seats);
        let mut sender = codec(SENDER);
        let bytes = sender.encode(RECIPIENT, body.clone()).unwrap().len();
        let encoding =
            cpu_time_per_call(|| drop(black_box(sender.encode(RECIPIENT, body.clone()))));
        let mut recipient = codec(RECIPIENT);
        let round_trip = cpu_time_per_call(|| {
            let frame = sender.encode(RECIPIENT, body.clone()).unwrap();
            drop(black_box(recipient.decode(&frame).unwrap()));
        });
        println!("| {seats} | {bytes} | {encoding} | {round_trip} |");
    }
    println!();
}
