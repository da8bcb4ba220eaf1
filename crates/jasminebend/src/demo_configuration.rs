//! The configuration of the demonstration.

use std::time::Duration;

use jasminebend_base::{
    ClassKind,
    ClassName,
    ClassTarget,
    Configuration,
    DomainName,
    DomainState,
    FailureDomain,
    IdempotencyRule,
    ResourceAmount,
    RouteRule,
    ServiceClass,
    ServiceName,
    TeamName,
    TeamQuota, //
};

use crate::demo_environment::{
    DOMAINS,
    SERVICE_NAME, //
};

/// Returns the configuration that the demonstration's operator sets at the start.
pub(crate) fn configuration() -> Configuration {
    Configuration {
        domains: DOMAINS.map(domain).to_vec(),
        classes: vec![
            service_class(
                "quote",
                "/quote",
                Duration::from_millis(200),
                IdempotencyRule::ByMethod,
            ),
            service_class(
                "booking",
                "/booking",
                Duration::from_millis(400),
                IdempotencyRule::Never,
            ),
            batch_class(),
        ],
        teams: vec![TeamQuota {
            name: TeamName::from("workshop"),
            limit: ResourceAmount::new(1_000_000, 1_000_000),
        }],
        ..Configuration::default()
    }
}

fn domain(name: &str) -> FailureDomain {
    FailureDomain {
        name: DomainName::from(name),
        region: "local".to_owned(),
        state: DomainState::In,
    }
}

fn service_class(
    name: &str,
    prefix: &str,
    target: Duration,
    idempotency: IdempotencyRule,
) -> ServiceClass {
    ServiceClass {
        name: ClassName::from(name),
        kind: ClassKind::Service,
        target: ClassTarget::AnswerWithin(target),
        service: Some(ServiceName::from(SERVICE_NAME)),
        route: Some(RouteRule {
            host: None,
            path_prefix: prefix.to_owned(),
        }),
        idempotency,
    }
}

fn batch_class() -> ServiceClass {
    ServiceClass {
        name: ClassName::from("reconciliation"),
        kind: ClassKind::Batch,
        target: ClassTarget::FinishWithin(Duration::from_secs(60)),
        service: None,
        route: None,
        idempotency: IdempotencyRule::ByMethod,
    }
}
