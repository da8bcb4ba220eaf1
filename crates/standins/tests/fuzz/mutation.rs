//! Inputs near to valid ones.

use arbtest::{
    arbitrary,
    arbitrary::Unstructured,
    arbtest, //
};

const SEEDS: u64 = 300;
const SMALLEST: u64 = 1 << 6;
const LARGEST: u64 = 1 << 10;
const MOST_EDITS: usize = 6;

/// Runs a property with fixed seeds, of sizes that grow. A failure prints its seed.
pub(crate) fn with_fixed_seeds<Property>(property: Property)
where
    Property: FnMut(&mut Unstructured<'_>) -> arbitrary::Result<()>,
{
    let mut property = property;
    for number in 0..SEEDS {
        let size = SMALLEST + (LARGEST - SMALLEST) * number / SEEDS;
        arbtest(&mut property).seed(number << 32 | size);
    }
}

/// Returns one of the valid inputs with a few bytes changed, or bytes of no form at all.
pub(crate) fn mutate(
    source: &mut Unstructured<'_>,
    valid: &[Vec<u8>],
) -> arbitrary::Result<Vec<u8>> {
    if source.ratio(1, 8)? {
        return source.arbitrary();
    }
    let mut bytes = source.choose(valid)?.clone();
    for _ in 0..source.int_in_range(1..=MOST_EDITS)? {
        edit(source, &mut bytes)?;
    }
    Ok(bytes)
}

fn edit(source: &mut Unstructured<'_>, bytes: &mut Vec<u8>) -> arbitrary::Result<()> {
    if bytes.is_empty() {
        return Ok(());
    }
    let place = source.choose_index(bytes.len())?;
    match source.int_in_range(0..=5)? {
        0 => bytes[place] ^= 1 << source.int_in_range(0..=7)?,
        1 => bytes[place] = *source.choose(b"{}[]\",:0-9enul\\\0\n: \xff")?,
        2 => bytes.truncate(place),
        3 => {
            bytes.remove(place);
        }
        4 => {
            let end = source.int_in_range(place..=bytes.len() - 1)?;
            let twice = bytes[place..=end].to_vec();
            bytes.splice(place..place, twice);
        }
        _ => {
            let end = source.int_in_range(place..=bytes.len() - 1)?;
            bytes.drain(place..=end);
        }
    }
    Ok(())
}
