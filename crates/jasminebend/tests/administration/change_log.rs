//! Every change is logged with the operator and the values before and after; tokens are never logged.

use std::{
    io::{
        self,
        Write, //
    },
    sync::{
        Arc,
        Mutex, //
    }, //
};

use http::Method;
use jasminebend::{
    LogFormat,
    formatter, //
};
use jasminebend_base::{
    Configuration,
    ConfigurationVersion,
    DomainName,
    DomainState,
    FailureDomain, //
};
use spdlog::{
    Logger,
    sink::{
        SinkPropAccess,
        WriteSink, //
    }, //
};

use crate::{
    harness::{
        AdminHarness,
        HttpRequest,
        settings,
        tokens_file, //
    },
    temporary_directory::TemporaryDirectory, //
};

const OPERATOR_TOKEN: &str = "token-of-lena";

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("a buffer").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn collect_log() -> SharedBuffer {
    let buffer = SharedBuffer::default();
    let sink = WriteSink::builder().target(buffer.clone());
    let sink = Arc::new(sink.build().expect("a sink"));
    sink.set_formatter(formatter(LogFormat::Json));
    let logger = Logger::builder().sink(sink).build().expect("a logger");
    spdlog::set_default_logger(Arc::new(logger));
    buffer
}

#[tokio::test]
async fn a_change_is_logged_with_its_operator_and_difference() {
    let log = collect_log();
    let directory = TemporaryDirectory::new();
    let tokens = directory.write(
        "tokens.yaml",
        &tokens_file(&[("lena", "operate", OPERATOR_TOKEN)]),
    );
    let harness = AdminHarness::start(&settings().with_tokens_file(tokens)).await;
    harness.control.set_configuration(Configuration {
        version: ConfigurationVersion(3),
        domains: vec![FailureDomain {
            name: DomainName::from("a"),
            region: "north".to_owned(),
            state: DomainState::In,
        }],
        ..Configuration::default()
    });
    let out = HttpRequest::new(Method::POST, "/v1/domains/a/out").with_token(OPERATOR_TOKEN);
    harness.call(out).await;
    let replace = HttpRequest::new(Method::PUT, "/v1/configuration")
        .with_token(OPERATOR_TOKEN)
        .with_header("if-match", "\"4\"")
        .with_body(r#"{"domains": [{"name": "a", "region": "south"}]}"#);
    harness.call(replace).await;
    let stale = HttpRequest::new(Method::PUT, "/v1/configuration")
        .with_token(OPERATOR_TOKEN)
        .with_header("if-match", "\"4\"")
        .with_body("{}");
    harness.call(stale).await;
    let log = String::from_utf8(log.0.lock().unwrap().clone()).unwrap();
    let lines: Vec<serde_json::Value> = log
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    let payloads = lines.iter().filter_map(|line| line["payload"].as_str());
    let payloads: Vec<&str> = payloads.filter(|line| line.contains("lena")).collect();
    assert_eq!(
        payloads,
        [
            "[administration] lena took the failure domain a out: accepted. Change: a: in -> out.",
            "[administration] lena replaced the configuration of version 4: accepted. Change: \
             failure domain `a`: {\"name\":\"a\",\"region\":\"north\",\"state\":\"out\"} -> \
             {\"name\":\"a\",\"region\":\"south\",\"state\":\"in\"}.",
            "[administration] lena replaced the configuration of version 4: not accepted, the \
             configuration is at version 5 by now; read it and try again. Change: failure domain \
             `a`: {\"name\":\"a\",\"region\":\"south\",\"state\":\"in\"} -> none.",
        ]
    );
    assert!(!log.contains(OPERATOR_TOKEN));
}
