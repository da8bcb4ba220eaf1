//! One line of a daemon's log.

use serde_json::{
    Map,
    Value, //
};

/// Why a step waits, as its lines count workers.
pub(crate) const WAIT_REASONS: [&str; 12] = [
    "processors",
    "memory",
    "leaving",
    "silent",
    "set_aside",
    "unfit",
    "kept",
    "busy",
    "shielded",
    "learning",
    "harm",
    "other",
];

/// One line of a daemon's log.
#[derive(Debug)]
pub(crate) struct LogLine {
    /// Seconds since 1970.
    pub(crate) at: f64,
    pub(crate) fields: Map<String, Value>,
}

impl LogLine {
    /// Reads a line; what stands before the object is passed over. Nothing if it is no log line.
    pub(crate) fn read(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let Ok(Value::Object(fields)) = serde_json::from_str(&text[start..]) else {
            return None;
        };
        Some(Self {
            at: fields.get("ts").and_then(Value::as_f64).unwrap_or(0.0),
            fields,
        })
    }

    /// Returns a field's text; empty if it has none.
    pub(crate) fn str(&self, field: &str) -> &str {
        self.fields
            .get(field)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// Returns a field's number; 0 if it has none.
    pub(crate) fn number(&self, field: &str) -> u64 {
        self.fields.get(field).and_then(Value::as_u64).unwrap_or(0)
    }

    /// Returns how many workers speak against a waiting step, by reason.
    pub(crate) fn wait_reasons(&self) -> [(u64, &'static str); 12] {
        WAIT_REASONS.map(|reason| (self.number(reason), reason))
    }

    /// Tells whether a field is there and true.
    pub(crate) fn flag(&self, field: &str) -> bool {
        self.fields.get(field).and_then(Value::as_bool) == Some(true)
    }

    /// Returns a field's number with its fraction; 0 if it has none.
    pub(crate) fn decimal(&self, field: &str) -> f64 {
        self.fields
            .get(field)
            .and_then(Value::as_f64)
            .unwrap_or(0.0)
    }
}
