//! Serializes a row value as base64, which is a third larger than its bytes.

use base64::{
    Engine,
    prelude::BASE64_STANDARD, //
};
use serde::{
    Deserialize,
    Deserializer,
    Serializer,
    de::Error, //
};

pub(crate) fn serialize<Output>(value: &[u8], output: Output) -> Result<Output::Ok, Output::Error>
where
    Output: Serializer,
{
    output.serialize_str(&BASE64_STANDARD.encode(value))
}

pub(crate) fn deserialize<'de, Input>(input: Input) -> Result<Vec<u8>, Input::Error>
where
    Input: Deserializer<'de>,
{
    let text = String::deserialize(input)?;
    BASE64_STANDARD.decode(text).map_err(Input::Error::custom)
}
