//! Parsed line of a daemon's JSON log.

use serde_json::{
    Map,
    Value, //
};

/// The fields of a `wait` line: each counts the workers that were rejected for the waiting step for one reason.
pub(crate) const WORKER_REJECTION_FIELDS: [&str; 13] = [
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
    "isolated",
    "other",
];

/// A parsed line of a daemon's JSON log.
#[derive(Debug)]
pub(crate) struct LogLine {
    /// The time at which the line was written, in seconds since the Unix epoch; 0 if the line has no `ts`.
    pub(crate) timestamp_s: f64,
    /// All fields in the order of the line, `ts`, `node` and `event` among them.
    pub(crate) fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line and ignores any prefix before the first `{`. Returns `None` if no JSON object follows.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let Ok(Value::Object(fields)) = serde_json::from_str(&text[start..]) else {
            return None;
        };
        Some(Self {
            timestamp_s: fields.get("ts").and_then(Value::as_f64).unwrap_or(0.0),
            fields,
        })
    }

    /// Returns the string in a field; empty if the field is missing or no string.
    pub(crate) fn str_field(&self, field: &str) -> &str {
        self.fields
            .get(field)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// Returns the unsigned integer in a field; 0 if the field is missing or no unsigned integer.
    pub(crate) fn u64_field(&self, field: &str) -> u64 {
        self.fields.get(field).and_then(Value::as_u64).unwrap_or(0)
    }

    /// Returns how many workers were rejected for the waiting step, with the reason; in the order of
    /// [`WORKER_REJECTION_FIELDS`].
    pub(crate) fn rejection_counts(&self) -> [(u64, &'static str); 13] {
        WORKER_REJECTION_FIELDS.map(|reason| (self.u64_field(reason), reason))
    }

    /// Returns whether a field is present and true.
    pub(crate) fn is_true(&self, field: &str) -> bool {
        self.fields.get(field).and_then(Value::as_bool) == Some(true)
    }

    /// Returns the number in a field as a float; 0 if the field is missing or no number.
    pub(crate) fn f64_field(&self, field: &str) -> f64 {
        self.fields
            .get(field)
            .and_then(Value::as_f64)
            .unwrap_or(0.0)
    }
}
