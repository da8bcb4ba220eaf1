//! Serializes an optional row value as base64, or as `null` if it is absent.

use serde::{
    Deserialize,
    Deserializer,
    Serialize,
    Serializer, //
};

/// A row value that is serialized as base64.
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
struct RowValue(#[serde(with = "crate::row_value")] Vec<u8>);

pub(crate) fn serialize<Output>(
    value: &Option<Vec<u8>>,
    output: Output,
) -> Result<Output::Ok, Output::Error>
where
    Output: Serializer,
{
    match value {
        Some(bytes) => crate::row_value::serialize(bytes, output),
        None => output.serialize_none(),
    }
}

pub(crate) fn deserialize<'de, Input>(input: Input) -> Result<Option<Vec<u8>>, Input::Error>
where
    Input: Deserializer<'de>,
{
    let value = Option::<RowValue>::deserialize(input)?;
    Ok(value.map(|value| value.0))
}
