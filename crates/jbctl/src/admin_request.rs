//! Request to the administration API.

use std::{
    fs,
    path::Path, //
};

use bytes::Bytes;
use http::Method;
use jasminebend_base::{
    Configuration,
    ConfigurationVersion, //
};
use serde::de::DeserializeOwned;
use serde_saphyr::Error as YamlError;

use crate::{
    OperatorCommand,
    UsageError,
    configuration_lines::ConfigurationLines, //
};

/// The name that the YAML parser's errors give to a duration when it expected one.
const EXPECTED_DURATION: &str = "a duration";
/// The advice that is added to the parser's error for an invalid duration.
const DURATION_ADVICE: &str = "give a time with its unit, such as `200ms` or `5h`";

/// A request to the administration API.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdminRequest {
    /// The HTTP method.
    pub method: Method,
    /// The URL path and query.
    pub path: String,
    /// The configuration's version on which the change is based, sent as `If-Match`; `None` sends no such header.
    pub expected_version: Option<ConfigurationVersion>,
    /// The JSON body; empty if the request has none.
    pub body: Bytes,
}

impl AdminRequest {
    /// Returns the request for a command; `None` if the command needs no daemon.
    ///
    /// # Errors
    ///
    /// Returns a [`UsageError`] if a file that the command names can't be read or is invalid.
    pub fn new(command: &OperatorCommand) -> Result<Option<Self>, UsageError> {
        let request = match command {
            OperatorCommand::Status => get_request("/v1/status"),
            OperatorCommand::ConfigGet => get_request("/v1/configuration"),
            OperatorCommand::ClassList => get_request("/v1/classes"),
            OperatorCommand::JobList(query) => get_request(&query.path()),
            OperatorCommand::JobStatus(job) => get_request(&format!("/v1/jobs/{job}")),
            OperatorCommand::JobCancel(job) => {
                request_without_body(Method::DELETE, format!("/v1/jobs/{job}"))
            }
            OperatorCommand::Domain { name, state, force } => {
                let path = format!("/v1/domains/{name}/{state}?force={force}");
                request_without_body(Method::POST, path)
            }
            OperatorCommand::ConfigPut(file) => configuration_replacement(file)?,
            OperatorCommand::JobSubmit(file) => job_submission(file)?,
            OperatorCommand::ConfigCheck(_)
            | OperatorCommand::Explain(_)
            | OperatorCommand::Summary { .. }
            | OperatorCommand::TokenHash(_) => return Ok(None),
        };
        Ok(Some(request))
    }

    /// Returns whether the request may change something.
    pub fn is_change(&self) -> bool {
        self.method != Method::GET
    }
}

/// Reads a configuration file and checks it.
///
/// # Errors
///
/// Returns a [`UsageError`] if the file can't be read or its configuration is invalid.
pub(crate) fn read_configuration(file: &Path) -> Result<Configuration, UsageError> {
    let text = read_text(file)?;
    let configuration: Configuration = parse_yaml(file, &text)?;
    let invalid = |error| UsageError::InvalidConfiguration {
        path: file.to_owned(),
        line: ConfigurationLines::parse(&text).line_of(&error),
        error,
    };
    configuration.validate().map_err(invalid)?;
    Ok(configuration)
}

/// Reads a file as text.
///
/// # Errors
///
/// Returns [`UsageError::UnreadableFile`].
pub(crate) fn read_text(file: &Path) -> Result<String, UsageError> {
    fs::read_to_string(file).map_err(|error| UsageError::UnreadableFile {
        path: file.to_owned(),
        reason: error.to_string(),
    })
}

/// Parses the text of a YAML file.
fn parse_yaml<Content>(file: &Path, text: &str) -> Result<Content, UsageError>
where
    Content: DeserializeOwned,
{
    serde_saphyr::from_str(text).map_err(|error| UsageError::InvalidFile {
        path: file.to_owned(),
        reason: yaml_error_message(error.without_snippet()),
    })
}

/// Returns the message for a YAML error, with its line and what to write instead.
fn yaml_error_message(error: &YamlError) -> String {
    let line = error.location().map_or(1, |location| location.line());
    match error {
        YamlError::DuplicateMappingKey { key, .. } => {
            let key = key.as_deref().unwrap_or_default();
            format!("line {line}: the key `{key}` is given twice; give it once")
        }
        YamlError::SerdeInvalidValue { expected, .. } if expected == EXPECTED_DURATION => {
            format!("{error}; {DURATION_ADVICE}")
        }
        other => other.to_string(),
    }
}

fn get_request(path: &str) -> AdminRequest {
    request_without_body(Method::GET, path.to_owned())
}

fn request_without_body(method: Method, path: String) -> AdminRequest {
    AdminRequest {
        method,
        path,
        expected_version: None,
        body: Bytes::new(),
    }
}

/// Returns the request that replaces the configuration by the one in a file.
fn configuration_replacement(file: &Path) -> Result<AdminRequest, UsageError> {
    let configuration = read_configuration(file)?;
    let mut request = request_without_body(Method::PUT, "/v1/configuration".to_owned());
    request.expected_version = Some(configuration.version);
    request.body = encode_json(&configuration);
    Ok(request)
}

/// Returns the request that submits the job in a file.
fn job_submission(file: &Path) -> Result<AdminRequest, UsageError> {
    let job: serde_json::Value = parse_yaml(file, &read_text(file)?)?;
    let mut request = request_without_body(Method::POST, "/v1/jobs".to_owned());
    request.body = encode_json(&job);
    Ok(request)
}

/// Encodes a value as JSON; returns an empty body if that fails.
fn encode_json<Content>(content: &Content) -> Bytes
where
    Content: serde::Serialize,
{
    serde_json::to_vec(content).unwrap_or_default().into()
}
