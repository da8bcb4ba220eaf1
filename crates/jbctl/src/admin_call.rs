//! One call of the administration API.

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

/// What the reader of times calls them.
const DURATION: &str = "a duration";
const TIME: &str = "give a time with its unit, such as `200ms` or `5h`";

/// One call of the administration API.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdminCall {
    /// The method.
    pub method: Method,
    /// The path, with its query.
    pub path: String,
    /// The configuration's version that the change was made from.
    pub expected: Option<ConfigurationVersion>,
    /// The body.
    pub body: Bytes,
}

impl AdminCall {
    /// Makes the call of a command; `None` if the command needs no daemon.
    ///
    /// # Errors
    ///
    /// [`UsageError`] if a file that the command names cannot be read or is refused.
    pub fn new(command: &OperatorCommand) -> Result<Option<Self>, UsageError> {
        let call = match command {
            OperatorCommand::Status => get("/v1/status"),
            OperatorCommand::ConfigGet => get("/v1/configuration"),
            OperatorCommand::ClassList => get("/v1/classes"),
            OperatorCommand::JobList(listing) => get(&listing.path()),
            OperatorCommand::JobStatus(job) => get(&format!("/v1/jobs/{job}")),
            OperatorCommand::JobCancel(job) => bare(Method::DELETE, format!("/v1/jobs/{job}")),
            OperatorCommand::Domain { name, state, force } => {
                let path = format!("/v1/domains/{name}/{state}?force={force}");
                bare(Method::POST, path)
            }
            OperatorCommand::ConfigPut(file) => put(file)?,
            OperatorCommand::JobSubmit(file) => submit(file)?,
            OperatorCommand::ConfigCheck(_)
            | OperatorCommand::Explain(_)
            | OperatorCommand::Summary { .. }
            | OperatorCommand::TokenHash(_) => return Ok(None),
        };
        Ok(Some(call))
    }

    /// Tells whether the call changes something.
    pub fn is_change(&self) -> bool {
        self.method != Method::GET
    }
}

/// Reads a configuration file and checks it.
///
/// # Errors
///
/// [`UsageError`] if it cannot be read or is refused.
pub(crate) fn read_configuration(file: &Path) -> Result<Configuration, UsageError> {
    let text = read_text(file)?;
    let configuration: Configuration = parse_yaml(file, &text)?;
    let refused = |error| UsageError::BadConfiguration {
        path: file.to_owned(),
        line: ConfigurationLines::read(&text).line(&error),
        error,
    };
    configuration.check().map_err(refused)?;
    Ok(configuration)
}

/// Reads a file as text.
///
/// # Errors
///
/// [`UsageError::Unreadable`].
pub(crate) fn read_text(file: &Path) -> Result<String, UsageError> {
    fs::read_to_string(file).map_err(|error| UsageError::Unreadable {
        path: file.to_owned(),
        reason: error.to_string(),
    })
}

fn parse_yaml<Content>(file: &Path, text: &str) -> Result<Content, UsageError>
where
    Content: DeserializeOwned,
{
    serde_saphyr::from_str(text).map_err(|error| UsageError::BadFile {
        path: file.to_owned(),
        reason: explain(error.without_snippet()),
    })
}

fn explain(error: &YamlError) -> String {
    let line = error.location().map_or(1, |location| location.line());
    match error {
        YamlError::DuplicateMappingKey { key, .. } => {
            let key = key.as_deref().unwrap_or_default();
            format!("line {line}: the key `{key}` is given twice; give it once")
        }
        YamlError::SerdeInvalidValue { expected, .. } if expected == DURATION => {
            format!("{error}; {TIME}")
        }
        other => other.to_string(),
    }
}

fn get(path: &str) -> AdminCall {
    bare(Method::GET, path.to_owned())
}

fn bare(method: Method, path: String) -> AdminCall {
    AdminCall {
        method,
        path,
        expected: None,
        body: Bytes::new(),
    }
}

fn put(file: &Path) -> Result<AdminCall, UsageError> {
    let configuration = read_configuration(file)?;
    let mut call = bare(Method::PUT, "/v1/configuration".to_owned());
    call.expected = Some(configuration.version);
    call.body = encode(&configuration);
    Ok(call)
}

fn submit(file: &Path) -> Result<AdminCall, UsageError> {
    let job: serde_json::Value = parse_yaml(file, &read_text(file)?)?;
    let mut call = bare(Method::POST, "/v1/jobs".to_owned());
    call.body = encode(&job);
    Ok(call)
}

fn encode<Content>(content: &Content) -> Bytes
where
    Content: serde::Serialize,
{
    serde_json::to_vec(content).unwrap_or_default().into()
}
