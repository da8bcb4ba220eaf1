//! The encoding of a worker's answers.

use http::HeaderValue;

/// The encoding of a worker's answers, negotiated by HTTP headers. A worker that supports only JSON
/// answers in JSON.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum AnswerFormat {
    /// JSON, content type `application/json`.
    Json,
    /// Postcard, content type [`Self::POSTCARD_TYPE`]. A report has a seventh of the bytes that it
    /// has in JSON.
    #[default]
    Postcard,
}

impl AnswerFormat {
    /// The content type of an answer in postcard.
    pub const POSTCARD_TYPE: &str = "application/x-postcard";

    /// Returns the value of the `Accept` header that requests this encoding.
    pub fn accept_header(self) -> HeaderValue {
        match self {
            Self::Json => HeaderValue::from_static("application/json"),
            Self::Postcard => {
                HeaderValue::from_static("application/x-postcard, application/json;q=0.5")
            }
        }
    }

    /// Returns the encoding in which to answer a call with this `Accept` header; JSON without one.
    pub fn from_accept_header(header: Option<&HeaderValue>) -> Self {
        let text = header.and_then(|value| value.to_str().ok());
        match text {
            Some(text) if text.contains(Self::POSTCARD_TYPE) => Self::Postcard,
            _ => Self::Json,
        }
    }

    /// Returns the encoding of an answer with this `Content-Type` header; JSON without one.
    pub fn from_content_type_header(header: Option<&HeaderValue>) -> Self {
        match header {
            Some(value) if value == Self::POSTCARD_TYPE => Self::Postcard,
            _ => Self::Json,
        }
    }
}
