//! How a worker writes its answers.

use http::HeaderValue;

/// How a worker is asked to write its answers. A worker that knows JSON alone answers in JSON.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum AnswerFormat {
    /// JSON.
    Json,
    /// Postcard: a seventh of JSON's bytes for a report.
    #[default]
    Postcard,
}

impl AnswerFormat {
    /// The content type of answers in postcard.
    pub const POSTCARD_TYPE: &str = "application/x-postcard";

    /// Returns the value of the `Accept` header.
    pub fn accept(self) -> HeaderValue {
        match self {
            Self::Json => HeaderValue::from_static("application/json"),
            Self::Postcard => {
                HeaderValue::from_static("application/x-postcard, application/json;q=0.5")
            }
        }
    }

    /// Reads the format off the `Accept` header of a call.
    pub fn from_accept(header: Option<&HeaderValue>) -> Self {
        let text = header.and_then(|value| value.to_str().ok());
        match text {
            Some(text) if text.contains(Self::POSTCARD_TYPE) => Self::Postcard,
            _ => Self::Json,
        }
    }

    /// Reads the format off the `Content-Type` header of an answer.
    pub fn from_content_type(header: Option<&HeaderValue>) -> Self {
        match header {
            Some(value) if value == Self::POSTCARD_TYPE => Self::Postcard,
            _ => Self::Json,
        }
    }
}
