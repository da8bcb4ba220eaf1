//! Authentication and roles of the administration API.

use std::path::Path;

use http::Method;
use jasminebend::{
    AccessKeys,
    AdminListeners,
    DaemonError,
    DaemonSettings,
    ListenSettings,
    PeerKeySource,
    SecretText,
    TlsSettings,
    TokenTable, //
};
use jbctl::{
    AdminClient,
    AdminClientError,
    AdminRequest,
    GlobalOptions, //
    OperatorCommand,
};
use rcgen::generate_simple_self_signed;

use crate::{
    harness::{
        AdminHarness,
        HttpRequest,
        OPERATE_TOKEN,
        READ_TOKEN,
        settings,
        tokens_file,
        wait_until, //
    },
    temporary_directory::TemporaryDirectory, //
};

/// Returns settings with a tokens file that lists `olga`, who may operate, and `rita`, who may read.
pub(crate) fn protected_settings(directory: &TemporaryDirectory) -> DaemonSettings {
    let operators = [
        ("olga", "operate", OPERATE_TOKEN),
        ("rita", "read", READ_TOKEN),
    ];
    settings().with_tokens_file(directory.write("tokens.yaml", &tokens_file(&operators)))
}

fn write_certificate(directory: &TemporaryDirectory) -> TlsSettings {
    let certified = generate_simple_self_signed(["127.0.0.1".to_owned()]).expect("a certificate");
    TlsSettings {
        cert_file: directory.write("tls.crt", &certified.cert.pem()),
        key_file: directory.write("tls.key", &certified.signing_key.serialize_pem()),
    }
}

#[tokio::test]
async fn a_token_allows_the_requests_of_its_role() {
    let directory = TemporaryDirectory::new();
    let harness = AdminHarness::start(&protected_settings(&directory)).await;
    let table = [
        ("", "/v1/status", Method::GET, 401),
        ("wrong", "/v1/status", Method::GET, 401),
        (READ_TOKEN, "/v1/status", Method::GET, 200),
        (READ_TOKEN, "/metrics", Method::GET, 200),
        (READ_TOKEN, "/v1/jobs", Method::POST, 403),
        (READ_TOKEN, "/v1/domains/a/out", Method::POST, 403),
        (READ_TOKEN, "/v1/configuration", Method::PUT, 403),
        (READ_TOKEN, "/v1/jobs/1", Method::DELETE, 403),
        (OPERATE_TOKEN, "/v1/status", Method::GET, 200),
        (OPERATE_TOKEN, "/v1/jobs", Method::POST, 200),
        ("", "/healthz", Method::GET, 200),
        ("", "/readyz", Method::GET, 200),
        ("", "/metrics", Method::GET, 401),
    ];
    for (token, path, method, status) in table {
        let mut call = HttpRequest::new(method, path);
        if !token.is_empty() {
            call = call.with_token(token);
        }
        let answer = harness.call(call).await;
        assert_eq!(answer.status.as_u16(), status, "{token} {path} {answer:?}");
    }
    assert_eq!(harness.control.change_count(), 1);
}

/// After a token has leaked, operators replace it in the tokens file. The daemon must apply the file without a restart.
#[tokio::test]
async fn a_changed_tokens_file_is_reloaded() {
    let directory = TemporaryDirectory::new();
    let harness = AdminHarness::start(&protected_settings(&directory)).await;
    let status = async |token| {
        let call = HttpRequest::new(Method::GET, "/v1/status").with_token(token);
        harness.call(call).await.status.as_u16()
    };
    directory.write("tokens.yaml", &tokens_file(&[("olga", "operate", "new")]));
    wait_until("the new token in force", async || {
        status("new").await == 200
    })
    .await;
    assert_eq!(status(OPERATE_TOKEN).await, 401);
}

/// A mistake makes the new tokens file invalid while a failure domain fails. The current tokens must go on working, or
/// no operator could take the failure domain out.
#[test]
fn invalid_new_keys_leave_the_current_ones_in_use() {
    let directory = TemporaryDirectory::new();
    let settings = protected_settings(&directory).with_tls(write_certificate(&directory));
    let keys = AccessKeys::load(&settings).expect("keys");
    directory.write("tls.key", "nonsense");
    keys.reload().expect_err("a key without a certificate");
    directory.write("tokens.yaml", "- nonsense");
    keys.reload().expect_err("no tokens");
    assert_eq!(
        keys.identify(Some(OPERATE_TOKEN)).expect("olga").name,
        "olga"
    );
    assert!(keys.identify(Some("wrong")).is_none());
    assert!(keys.identify(None).is_none());
    assert!(keys.tls().is_some());
}

#[test]
fn invalid_tokens_files_are_reported() {
    let digest = blake3::hash(b"x").to_string();
    let twice = format!("- {{name: o, role: read, blake3: \"{digest}\"}}\n").repeat(2);
    let table = [
        ("[]".to_owned(), "lists nobody"),
        (twice, "`o` is listed twice"),
        (
            "- {name: o, role: read, blake3: abc}".to_owned(),
            "the digest of `o` is not 64 hexadecimal digits",
        ),
        (
            "- {name: o, role: root, blake3: abc}".to_owned(),
            "unknown variant `root`",
        ),
        (
            "- {name: o, role: read, token: abc}".to_owned(),
            "unknown field `token`",
        ),
    ];
    for (text, reason) in table {
        let error = TokenTable::from_yaml(&text).expect_err(&text).to_string();
        assert!(error.contains(reason), "{error}");
    }
}

#[tokio::test]
async fn the_api_off_loopback_does_not_start_unprotected() {
    let open = ([0, 0, 0, 0], 0).into();
    let mut settings = settings();
    settings.listen = ListenSettings::new().with_administration(open);
    let refused = AdminListeners::bind(&settings).await;
    assert!(matches!(refused, Err(DaemonError::OpenAdministration)));
    let directory = TemporaryDirectory::new();
    settings.tls = Some(write_certificate(&directory));
    let refused = AdminListeners::bind(&settings).await;
    assert!(matches!(refused, Err(DaemonError::OpenAdministration)));
    settings.tokens_file = protected_settings(&directory).tokens_file;
    AdminListeners::bind(&settings)
        .await
        .expect("a protected API");
    settings.tls = None;
    settings.allow_open_administration = true;
    AdminListeners::bind(&settings).await.expect("an open API");
}

async fn status_over_tls(
    harness: &AdminHarness,
    ca: &Path,
    token: &Path,
) -> Result<u16, AdminClientError> {
    let mut options = GlobalOptions::new();
    options.address = harness.handle.address().to_string();
    options.ca_file = Some(ca.to_owned());
    options.token_file = Some(token.to_owned());
    let client = AdminClient::new(&options)?;
    let call = AdminRequest::new(&OperatorCommand::Status)?.expect("a call");
    Ok(client.call(&call).await?.status.as_u16())
}

/// Operators replace an expiring certificate. New connections must get the new certificate without a restart, although
/// its two files are written one after the other.
#[tokio::test]
async fn jbctl_connects_over_tls_and_a_changed_certificate_is_reloaded() {
    let directory = TemporaryDirectory::new();
    let tls = write_certificate(&directory);
    let harness = AdminHarness::start(&protected_settings(&directory).with_tls(tls.clone())).await;
    let token = directory.write("token", &format!("{OPERATE_TOKEN}\n"));
    let old = directory.write("old.crt", &std::fs::read_to_string(&tls.cert_file).unwrap());
    assert_eq!(status_over_tls(&harness, &old, &token).await, Ok(200));
    write_certificate(&directory);
    let uses_new_certificate =
        async || status_over_tls(&harness, &tls.cert_file, &token).await == Ok(200);
    wait_until("the new certificate in force", uses_new_certificate).await;
    let stale = status_over_tls(&harness, &old, &token).await;
    assert!(matches!(stale, Err(AdminClientError::Unreachable { .. })));
}

#[test]
fn debug_output_hides_secrets() {
    let source = PeerKeySource::Text(SecretText::new("hush"));
    assert!(!format!("{source:?}").contains("hush"));
}
