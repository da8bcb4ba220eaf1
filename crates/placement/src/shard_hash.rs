//! Which shard a rack or a job belongs to.

use crate::JobId;

const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0100_0000_01b3;

/// Returns the shard of a rack: the same in every daemon and release (FNV-1a, folded).
pub fn shard_of_rack(rack: &str, shards: u16) -> u16 {
    let hash = rack.bytes().fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    });
    fold(hash ^ (hash >> 32), shards)
}

/// Returns the home shard of a job.
pub fn shard_of_job(job: JobId, shards: u16) -> u16 {
    fold(job.0 ^ (job.0 >> 32), shards)
}

fn fold(hash: u64, shards: u16) -> u16 {
    // CAST: The remainder is below the count, which is a `u16`.
    (hash % u64::from(shards.max(1))) as u16
}
