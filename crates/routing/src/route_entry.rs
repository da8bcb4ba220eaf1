//! What the request path needs of a service class.

use std::time::Duration;

use jasminebend_base::{
    ClassKind,
    ClassName,
    ClassTarget,
    IdempotencyRule,
    ServiceClass,
    ServiceName, //
};

/// What the request path needs of a service class.
#[derive(Clone, Debug)]
pub struct RouteEntry {
    /// The class.
    pub class: ClassName,
    /// The service whose endpoints answer its requests.
    pub service: ServiceName,
    /// The time from arrival within which it is to be answered.
    pub target: Duration,
    /// Which of its requests may run more than once.
    pub idempotency: IdempotencyRule,
    pub(crate) host: Option<String>,
    pub(crate) prefix: String,
}

impl RouteEntry {
    pub(crate) fn of(class: &ServiceClass) -> Option<Self> {
        if class.kind != ClassKind::Service {
            return None;
        }
        let ClassTarget::AnswerWithin(target) = class.target else {
            return None;
        };
        let route = class.route.as_ref()?;
        Some(Self {
            class: class.name.clone(),
            service: class.service.clone()?,
            target,
            idempotency: class.idempotency,
            host: route.host.as_ref().map(|host| host.to_ascii_lowercase()),
            prefix: route.path_prefix.clone(),
        })
    }

    pub(crate) fn takes(&self, host: &str, path: &str) -> bool {
        let host_fits = self
            .host
            .as_deref()
            .is_none_or(|own| own.eq_ignore_ascii_case(host));
        host_fits && path.starts_with(&self.prefix)
    }
}
