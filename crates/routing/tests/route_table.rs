//! Matching of requests to classes by host and path.

use std::time::Duration;

use jasminebend_base::{
    ClassKind,
    ClassTarget,
    Configuration,
    RouteRule,
    ServiceClass, //
};
use jasminebend_routing::RouteTable;

fn service_class(name: &str, host: Option<&str>, prefix: &str) -> ServiceClass {
    ServiceClass {
        name: name.into(),
        kind: ClassKind::Service,
        target: ClassTarget::AnswerWithin(Duration::from_millis(100)),
        service: Some("shop".into()),
        route: Some(RouteRule {
            host: host.map(str::to_owned),
            path_prefix: prefix.to_owned(),
        }),
        idempotency: Default::default(),
    }
}

#[test]
fn longest_prefix_wins_then_explicit_host() {
    let table = RouteTable::new(&Configuration {
        classes: vec![
            service_class("any", None, "/"),
            service_class("quote", None, "/quote"),
            service_class("shop", Some("Shop.example"), "/"),
            service_class("urgent", Some("shop.example"), "/quote/urgent"),
        ],
        ..Configuration::default()
    });
    for (host, path, expected) in [
        ("other", "/a", "any"),
        ("other", "/quote/1", "quote"),
        ("shop.EXAMPLE", "/a", "shop"),
        ("shop.example", "/quote/1", "quote"),
        ("shop.example", "/quote/urgent/1", "urgent"),
        ("other", "/quote/urgent/1", "quote"),
        ("other", "/%71uote", "quote"),
        ("other", "/%71uote%2F%zz%", "quote"),
        ("other", "/%2Fquote", "any"),
    ] {
        let key = table.find_route(host, path).unwrap();
        assert_eq!(
            table.entry(key).unwrap().class.as_str(),
            expected,
            "{host}{path}"
        );
    }
}

#[test]
fn batch_classes_have_no_routes() {
    let mut batch = service_class("night", None, "/");
    batch.kind = ClassKind::Batch;
    batch.target = ClassTarget::FinishWithin(Duration::from_secs(1));
    let table = RouteTable::new(&Configuration {
        classes: vec![batch],
        ..Configuration::default()
    });
    assert!(table.find_route("shop", "/").is_none());
}
