//! Route of a service class.

use std::time::Duration;

use jasminebend_base::{
    ClassKind,
    ClassName,
    ClassTarget,
    IdempotencyRule,
    ServiceClass,
    ServiceName, //
};

/// Route of a service class, with the class settings that the request path uses.
#[derive(Clone, Debug)]
pub struct RouteEntry {
    /// Name of the class.
    pub class: ClassName,
    /// Service whose endpoints answer the requests of the class.
    pub service: ServiceName,
    /// Time from its arrival within which a request should be answered.
    pub latency_target: Duration,
    /// Determines which requests are idempotent, that is, may be executed more than once.
    pub idempotency: IdempotencyRule,
    /// Host that the route matches, in lower case; `None` matches every host.
    pub(crate) host: Option<String>,
    /// Path prefix that the route matches.
    pub(crate) path_prefix: String,
}

impl RouteEntry {
    /// Returns the route of `class`, or `None` if requests cannot be routed to it: a batch class,
    /// or one without an answer time, a route or a service.
    pub(crate) fn from_class(class: &ServiceClass) -> Option<Self> {
        if class.kind != ClassKind::Service {
            return None;
        }
        let ClassTarget::AnswerWithin(latency_target) = class.target else {
            return None;
        };
        let route = class.route.as_ref()?;
        Some(Self {
            class: class.name.clone(),
            service: class.service.clone()?,
            latency_target,
            idempotency: class.idempotency,
            host: route.host.as_ref().map(|host| host.to_ascii_lowercase()),
            path_prefix: route.path_prefix.clone(),
        })
    }

    /// Returns whether the route matches a request with this host and path.
    pub(crate) fn matches(&self, host: &str, path: &str) -> bool {
        let host_matches = self
            .host
            .as_deref()
            .is_none_or(|expected| expected.eq_ignore_ascii_case(host));
        host_matches && path.starts_with(&self.path_prefix)
    }
}
