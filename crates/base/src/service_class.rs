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

/// A class of work, as declared in the configuration: the requests of a service, or batch jobs.
/// Serde prints the type's name in the error for a malformed configuration, which the
/// administration API returns.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceClass {
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
