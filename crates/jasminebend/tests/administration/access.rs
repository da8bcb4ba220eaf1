//! Who may come in, and with which role.

use std::path::Path;

use http::Method;
use jasminebend::{
    AccessKeys,
    AdminFront,
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
        OPERATE,
        PlainCall,
        READ,
        settings,
        tokens_file,
        until, //
    },
    temporary_directory::TemporaryDirectory, //
};

pub(crate) fn guarded(directory: &TemporaryDirectory) -> DaemonSettings {
    let operators = [("olga", "operate", OPERATE), ("rita", "read", READ)];
    settings().with_tokens_file(directory.write("tokens.yaml", &tokens_file(&operators)))
}

fn write_certificate(directory: &TemporaryDirectory) -> TlsSettings {
    let made = generate_simple_self_signed(["127.0.0.1".to_owned()]).expect("a certificate");
    TlsSettings {
        cert_file: directory.write("tls.crt", &made.cert.pem()),
        key_file: directory.write("tls.key", &made.signing_key.serialize_pem()),
    }
}

#[tokio::test]
async fn a_token_opens_what_its_role_may() {
    let directory = TemporaryDirectory::new();
    let harness = AdminHarness::start(&guarded(&directory)).await;
    let table = [
        ("", "/v1/status", Method::GET, 401),
        ("wrong", "/v1/status", Method::GET, 401),
        (READ, "/v1/status", Method::GET, 200),
        (READ, "/metrics", Method::GET, 200),
        (READ, "/v1/jobs", Method::POST, 403),
        (READ, "/v1/domains/a/out", Method::POST, 403),
        (READ, "/v1/configuration", Method::PUT, 403),
        (READ, "/v1/jobs/1", Method::DELETE, 403),
        (OPERATE, "/v1/status", Method::GET, 200),
        (OPERATE, "/v1/jobs", Method::POST, 200),
        ("", "/healthz", Method::GET, 200),
        ("", "/readyz", Method::GET, 200),
        ("", "/metrics", Method::GET, 401),
    ];
    for (token, path, method, status) in table {
        let mut call = PlainCall::new(method, path);
        if !token.is_empty() {
            call = call.with_token(token);
        }
        let answer = harness.call(call).await;
        assert_eq!(answer.status.as_u16(), status, "{token} {path} {answer:?}");
    }
    assert_eq!(harness.control.set_count(), 1);
}

/// A token leaks, and the operators replace it. The daemon must follow without a restart.
#[tokio::test]
async fn tokens_are_replaced_while_the_daemon_runs() {
    let directory = TemporaryDirectory::new();
    let harness = AdminHarness::start(&guarded(&directory)).await;
    let status = async |token| {
        let call = PlainCall::new(Method::GET, "/v1/status").with_token(token);
        harness.call(call).await.status.as_u16()
    };
    directory.write("tokens.yaml", &tokens_file(&[("olga", "operate", "new")]));
    until("the new token in force", async || {
        status("new").await == 200
    })
    .await;
    assert_eq!(status(OPERATE).await, 401);
}

/// A slip of the hand makes the tokens file unreadable while a domain fails. The tokens in force
/// must go on to work, or nobody could take the domain out.
#[test]
fn keys_that_are_of_no_use_leave_the_old_ones_in_force() {
    let directory = TemporaryDirectory::new();
    let settings = guarded(&directory).with_tls(write_certificate(&directory));
    let keys = AccessKeys::load(&settings).expect("keys");
    directory.write("tls.key", "nonsense");
    keys.reload().expect_err("a key without a certificate");
    directory.write("tokens.yaml", "- nonsense");
    keys.reload().expect_err("no tokens");
    assert_eq!(keys.identify(Some(OPERATE)).expect("olga").name, "olga");
    assert!(keys.identify(Some("wrong")).is_none());
    assert!(keys.identify(None).is_none());
    assert!(keys.tls().is_some());
}

#[test]
fn bad_tokens_files_are_told() {
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
async fn the_api_off_loopback_does_not_start_open() {
    let open = ([0, 0, 0, 0], 0).into();
    let mut settings = settings();
    settings.listen = ListenSettings::new().with_administration(open);
    let refused = AdminFront::bind(&settings).await;
    assert!(matches!(refused, Err(DaemonError::OpenAdministration)));
    let directory = TemporaryDirectory::new();
    settings.tls = Some(write_certificate(&directory));
    let refused = AdminFront::bind(&settings).await;
    assert!(matches!(refused, Err(DaemonError::OpenAdministration)));
    settings.tokens_file = guarded(&directory).tokens_file;
    AdminFront::bind(&settings).await.expect("a guarded API");
    settings.tls = None;
    settings.allow_open_administration = true;
    AdminFront::bind(&settings).await.expect("an open API");
}

async fn ask_over_tls(
    harness: &AdminHarness,
    ca: &Path,
    token: &Path,
) -> Result<u16, AdminClientError> {
    let mut options = GlobalOptions::new();
    options.address = harness.guard.address().to_string();
    options.ca_file = Some(ca.to_owned());
    options.token_file = Some(token.to_owned());
    let client = AdminClient::new(&options)?;
    let call = AdminRequest::new(&OperatorCommand::Status)?.expect("a call");
    Ok(client.call(&call).await?.status.as_u16())
}

/// The certificate runs out next week, and the operators put a new one in place. New connections
/// must meet the new one without a restart, though its two files are written one after the other.
#[tokio::test]
async fn the_operators_program_speaks_tls_and_the_certificate_is_replaced() {
    let directory = TemporaryDirectory::new();
    let tls = write_certificate(&directory);
    let harness = AdminHarness::start(&guarded(&directory).with_tls(tls.clone())).await;
    let token = directory.write("token", &format!("{OPERATE}\n"));
    let old = directory.write("old.crt", &std::fs::read_to_string(&tls.cert_file).unwrap());
    assert_eq!(ask_over_tls(&harness, &old, &token).await, Ok(200));
    write_certificate(&directory);
    let replaced = async || ask_over_tls(&harness, &tls.cert_file, &token).await == Ok(200);
    until("the new certificate in force", replaced).await;
    let stale = ask_over_tls(&harness, &old, &token).await;
    assert!(matches!(stale, Err(AdminClientError::Unreachable { .. })));
}

#[test]
fn secrets_are_not_shown() {
    let source = PeerKeySource::Text(SecretText::new("hush"));
    assert!(!format!("{source:?}").contains("hush"));
}
