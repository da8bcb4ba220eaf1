//! A class of work as operators declare it.

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

/// A class of work as operators declare it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceClass {
    /// The class's name; unique in the configuration.
    pub name: ClassName,
    /// Requests or batch jobs.
    pub kind: ClassKind,
    /// What operators ask of it.
    pub target: ClassTarget,
    /// The service whose endpoints answer its requests; for the kind `service` only.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// The requests that belong to it; for the kind `service` only.
    #[serde(default)]
    pub route: Option<RouteRule>,
    /// Which of its requests may run more than once.
    #[serde(default)]
    pub idempotency: IdempotencyRule,
}
