//! An optional key of the settings file.

use serde::{
    Deserialize,
    Deserializer, //
};

/// An optional key of the settings file, which must have a value if it is present.
///
/// A plain `Option` would treat `seats:` without a value as an absent key and silently use the default.
#[derive(Debug)]
pub(crate) struct OptionalKey<Value>(Option<Value>);

impl<Value> OptionalKey<Value> {
    pub(crate) fn as_ref(&self) -> Option<&Value> {
        self.0.as_ref()
    }
}

impl<Value> Default for OptionalKey<Value> {
    fn default() -> Self {
        Self(None)
    }
}

impl<'de, Value> Deserialize<'de> for OptionalKey<Value>
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
