//! Errors of administration requests, with their HTTP statuses.

use derive_more::{
    Display,
    Error,
    From, //
};
use http::StatusCode;
use jasminebend_base::ChangeOutcome;

use crate::{
    AccessRole,
    ControlError, //
};

/// Error that fails an administration request.
#[derive(Clone, Debug, Display, Error, From)]
pub(crate) enum AdminError {
    #[display("there is nothing at `{path}`")]
    NoSuchPath { path: String },
    #[from(ignore)]
    #[display("this path takes {allowed}")]
    WrongMethod { allowed: &'static str },
    #[from(ignore)]
    #[display("the query `{query}` is not known; `force=true` or `force=false` would do")]
    BadQuery { query: String },
    #[from(ignore)]
    #[display("`{query}` does not fit; give `limit=N` from 1 to 1000, and `after=ID` of a job")]
    BadPage { query: String },
    #[display("send a bearer token that the tokens file lists")]
    Unidentified,
    #[display("too many tokens from this address were nobody's; try again in a second")]
    TooManyAttempts,
    #[from(ignore)]
    #[display("`{name}` has no role `{role}`")]
    Forbidden { name: String, role: AccessRole },
    #[from(ignore)]
    #[display("the body is larger than {limit} bytes")]
    BodyTooLarge { limit: usize },
    #[display("the body was cut short")]
    BodyCut,
    #[display("the request did not arrive in time")]
    SlowRequest,
    #[display("there is no memory for the request beside others")]
    MemoryFull,
    #[display("send `If-Match` with the version that the change was made from, such as `\"12\"`")]
    MissingVersion,
    #[from]
    #[display("{_0}")]
    Control(ControlError),
}

impl AdminError {
    /// Returns the HTTP status of the response.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            Self::NoSuchPath { .. } => StatusCode::NOT_FOUND,
            Self::WrongMethod { .. } => StatusCode::METHOD_NOT_ALLOWED,
            Self::BadQuery { .. } | Self::BadPage { .. } | Self::BodyCut => StatusCode::BAD_REQUEST,
            Self::Unidentified => StatusCode::UNAUTHORIZED,
            Self::TooManyAttempts => StatusCode::TOO_MANY_REQUESTS,
            Self::Forbidden { .. } => StatusCode::FORBIDDEN,
            Self::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowRequest => StatusCode::REQUEST_TIMEOUT,
            Self::MemoryFull => StatusCode::GATEWAY_TIMEOUT,
            Self::MissingVersion => StatusCode::PRECONDITION_REQUIRED,
            Self::Control(error) => control_status(error),
        }
    }

    /// Returns the response body: unknown if the change may still take effect, else not accepted.
    pub(crate) fn outcome(&self) -> ChangeOutcome {
        match self {
            Self::Control(ControlError::Unknown { find_out }) => ChangeOutcome::Unknown {
                find_out: find_out.clone(),
            },
            Self::MemoryFull => ChangeOutcome::Unknown {
                find_out: format!(
                    "{self}; an earlier attempt may have taken effect: read the configuration or the job and compare before \
                     trying again"
                ),
            },
            other => ChangeOutcome::NotAccepted {
                reason: other.to_string(),
            },
        }
    }
}

fn control_status(error: &ControlError) -> StatusCode {
    match error {
        ControlError::Malformed { .. } => StatusCode::BAD_REQUEST,
        ControlError::Stale { .. } => StatusCode::PRECONDITION_FAILED,
        ControlError::Refused { .. } => StatusCode::CONFLICT,
        ControlError::NotFound { .. } => StatusCode::NOT_FOUND,
        ControlError::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
        ControlError::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    }
}
