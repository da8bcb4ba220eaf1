//! A class of work, as declared in the configuration.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ClassKind,
    ClassName,
    ClassTarget,
    IdempotencyRule,
    RouteRule,
    ServiceName, //
};

/// A class of work, as declared in the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
// The administration API returns this text in the error for a malformed configuration.
#[serde(deny_unknown_fields, expecting = "struct ServiceClass")]
pub struct WorkClass {
    /// The name of the class; unique in the configuration.
    pub name: ClassName,
    /// Whether the class consists of requests or of batch jobs.
    pub kind: ClassKind,
    /// The target time; its variant fits the kind.
    pub target: ClassTarget,
    /// The service whose endpoints serve the class's requests; required for the kind `service`,
    /// unused for `batch`.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// The rule that assigns requests to the class; required for the kind `service`, unused for
    /// `batch`.
    #[serde(default)]
    pub route: Option<RouteRule>,
    /// The rule that decides which of the class's requests may run more than once.
    #[serde(default)]
    pub idempotency: IdempotencyRule,
}
