//! Reads a settings file.

use std::{
    fs,
    path::Path, //
};

use crate::{
    DaemonSettings,
    SettingsError,
    raw_settings::RawSettings,
    section_parser::RawText,
    yaml_error::YamlError, //
};

impl DaemonSettings {
    /// Reads a settings file, and checks that the files it names can be read.
    ///
    /// # Errors
    ///
    /// Returns a [`SettingsError`] for the first error found.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).map_err(|error| SettingsError::FileUnreadable {
            path: path.to_owned(),
            reason: error.to_string(),
        })?;
        let raw = parse(&text)?;
        let settings = raw.resolve()?;
        raw.check_files(&settings)?;
        Ok(settings)
    }

    /// Reads settings from text, without checking the files that it names.
    ///
    /// # Errors
    ///
    /// Returns any [`SettingsError`] except those of files.
    pub fn from_yaml(text: &str) -> Result<Self, SettingsError> {
        parse(text)?.resolve()
    }
}

fn parse(text: &str) -> Result<RawSettings, SettingsError> {
    serde_saphyr::from_str(text).map_err(|error| YamlError::new(text, &error).to_settings_error())
}

impl RawSettings {
    /// Checks that the files that the settings name can be read.
    fn check_files(&self, settings: &DaemonSettings) -> Result<(), SettingsError> {
        let peers = self
            .peers
            .as_ref()
            .and_then(|peers| peers.value.key_file.as_ref());
        let platform = self.platform.as_ref();
        let platform = platform.and_then(|platform| platform.value.token_file.as_ref());
        let tls = settings.tls.as_ref();
        let line = self.tls.as_ref().map_or(1, |tls| tls.referenced.line());
        check_file("peers.key_file", peers)?;
        check_file("platform.token_file", platform)?;
        check_file("tokens_file", self.tokens_file.as_ref())?;
        check_path(
            "tls.cert_file",
            line,
            tls.map(|tls| tls.cert_file.as_path()),
        )?;
        check_path("tls.key_file", line, tls.map(|tls| tls.key_file.as_path()))
    }
}

fn check_file(key: &'static str, raw: Option<&RawText>) -> Result<(), SettingsError> {
    let line = raw.map_or(1, |raw| raw.referenced.line());
    check_path(key, line, raw.map(|raw| Path::new(&raw.value)))
}

fn check_path(key: &'static str, line: u64, path: Option<&Path>) -> Result<(), SettingsError> {
    let Some(path) = path else {
        return Ok(());
    };
    let unreadable = |error: std::io::Error| SettingsError::NamedFile {
        line,
        key,
        path: path.to_owned(),
        reason: error.to_string(),
    };
    fs::read(path).map(drop).map_err(unreadable)
}
