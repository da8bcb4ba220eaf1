//! Generates inputs by mutating valid ones.

use arbtest::{
    arbitrary,
    arbitrary::Unstructured,
    arbtest, //
};

/// The number of seeds for each property.
const SEED_COUNT: u64 = 300;
/// The size of the first seed's random input, in bytes.
const MIN_INPUT_BYTES: u64 = 1 << 6;
/// The upper bound of the random input's size, in bytes.
const MAX_INPUT_BYTES: u64 = 1 << 10;
const MAX_EDITS: usize = 6;

/// Runs a property with fixed seeds of growing size. A failure prints its seed.
pub(crate) fn with_fixed_seeds<Property>(property: Property)
where
    Property: FnMut(&mut Unstructured<'_>) -> arbitrary::Result<()>,
{
    let mut property = property;
    for number in 0..SEED_COUNT {
        let size = MIN_INPUT_BYTES + (MAX_INPUT_BYTES - MIN_INPUT_BYTES) * number / SEED_COUNT;
        arbtest(&mut property).seed(number << 32 | size);
    }
}

/// Returns one of the valid inputs with 1 to 6 random edits, or in one of eight cases random bytes.
pub(crate) fn mutate_input(
    source: &mut Unstructured<'_>,
    valid: &[Vec<u8>],
) -> arbitrary::Result<Vec<u8>> {
    if source.ratio(1, 8)? {
        return source.arbitrary();
    }
    let mut bytes = source.choose(valid)?.clone();
    for _ in 0..source.int_in_range(1..=MAX_EDITS)? {
        apply_edit(source, &mut bytes)?;
    }
    Ok(bytes)
}

fn apply_edit(source: &mut Unstructured<'_>, bytes: &mut Vec<u8>) -> arbitrary::Result<()> {
    if bytes.is_empty() {
        return Ok(());
    }
    let index = source.choose_index(bytes.len())?;
    match source.int_in_range(0..=5)? {
        0 => bytes[index] ^= 1 << source.int_in_range(0..=7)?,
        1 => bytes[index] = *source.choose(b"{}[]\",:0-9enul\\\0\n: \xff")?,
        2 => bytes.truncate(index),
        3 => {
            bytes.remove(index);
        }
        4 => {
            let end = source.int_in_range(index..=bytes.len() - 1)?;
            let repeated = bytes[index..=end].to_vec();
            bytes.splice(index..index, repeated);
        }
        _ => {
            let end = source.int_in_range(index..=bytes.len() - 1)?;
            bytes.drain(index..=end);
        }
    }
    Ok(())
}
