//! The assignment of racks and jobs to shards.

use crate::JobId;

/// The offset basis and the prime of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the shard of a rack. Every daemon and every release must return the same shard (64-bit
/// FNV-1a, folded to 32 bits).
pub fn shard_of_rack(rack: &str, shards: u16) -> u16 {
    let hash = rack.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    shard_of_hash(hash ^ (hash >> 32), shards)
}

/// Returns the home shard of a job. Every daemon and every release must return the same shard.
pub fn shard_of_job(job: JobId, shards: u16) -> u16 {
    shard_of_hash(job.0 ^ (job.0 >> 32), shards)
}

fn shard_of_hash(hash: u64, shards: u16) -> u16 {
    // CAST: The remainder is below the count, which is a `u16`.
    (hash % u64::from(shards.max(1))) as u16
}
