//! A key of the settings file that may be absent.

use serde::{
    Deserialize,
    Deserializer, //
};

/// A key of the settings file that may be absent, but not empty.
///
/// An `Option` would read `seats:` without a value as if the key were absent, and take the default
/// without a word.
#[derive(Debug)]
pub(crate) struct GivenKey<Value>(Option<Value>);

impl<Value> GivenKey<Value> {
    pub(crate) fn as_ref(&self) -> Option<&Value> {
        self.0.as_ref()
    }
}

impl<Value> Default for GivenKey<Value> {
    fn default() -> Self {
        Self(None)
    }
}

impl<'de, Value> Deserialize<'de> for GivenKey<Value>
where
    Value: Deserialize<'de>,
{
    fn deserialize<Source>(source: Source) -> Result<Self, Source::Error>
    where
        Source: Deserializer<'de>,
    {
        Value::deserialize(source).map(|value| Self(Some(value)))
    }
}
