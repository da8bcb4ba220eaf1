//! Assignment of slots to slot shares.

use std::net::{
    IpAddr,
    SocketAddr, //
};

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the slot share, from 0 to `shares - 1`, to which a slot of an endpoint belongs.
///
/// Every daemon, of whatever version, must compute the same share. The hash function is therefore
/// fixed (FNV-1a, then the splitmix64 finalizer), and only the address is hashed, not the name or
/// the incarnation of the VM: the VM list is updated with a delay, so two daemons may know the same
/// address under different VM names and would then assign the same slot to two shares.
pub fn slot_share(address: SocketAddr, slot: u16, shares: u16) -> u16 {
    let hash = match address.ip() {
        IpAddr::V4(ip) => fnv1a(FNV_OFFSET_BASIS, &ip.octets()),
        IpAddr::V6(ip) => fnv1a(FNV_OFFSET_BASIS, &ip.octets()),
    };
    let hash = fnv1a(hash, &address.port().to_be_bytes());
    let first_share = splitmix64_finalize(hash) % u64::from(shares.max(1));
    // The slots of one endpoint are in distinct shares if there are at least as many shares as
    // slots, and a daemon that owns adjacent shares gets slots of many endpoints.
    let share = (first_share + share_offset(slot, shares)) % u64::from(shares.max(1));
    u16::try_from(share).unwrap_or_default()
}

/// Returns by how many shares, modulo `shares`, a slot is offset from the endpoint's first slot: a
/// multiple of a step that is coprime to `shares` and close to 0.618 (the golden ratio) of it.
fn share_offset(slot: u16, shares: u16) -> u64 {
    let step = u64::from(shares.max(1)) * 618 / 1000;
    let step = first_coprime_from(step.max(1), u64::from(shares.max(1)));
    u64::from(slot) * step
}

/// Returns the smallest number, not below `step`, that is coprime to `shares`.
fn first_coprime_from(step: u64, shares: u64) -> u64 {
    (step..)
        .find(|step| greatest_common_divisor(*step, shares) == 1)
        .unwrap_or(1)
}

fn greatest_common_divisor(left: u64, right: u64) -> u64 {
    if right == 0 {
        return left;
    }
    greatest_common_divisor(right, left % right)
}

fn fnv1a(seed: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(seed, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

fn splitmix64_finalize(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
