//! Line numbers of the entries of a configuration file.

use jasminebend_base::ConfigurationError;
use serde::{
    Deserialize,
    de::IgnoredAny, //
};
use serde_saphyr::Spanned;

/// The line reported if the entry with the fault is not found.
const FALLBACK_LINE: u64 = 1;

/// The entries of a configuration file with the positions of their names and targets, to report the line of a fault.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct ConfigurationLines {
    domains: Vec<NamedEntry>,
    classes: Vec<NamedEntry>,
    teams: Vec<NamedEntry>,
}

/// An entry of a configuration file; `target` is present for classes only.
#[derive(Debug, Deserialize)]
struct NamedEntry {
    name: Spanned<String>,
    target: Option<Spanned<IgnoredAny>>,
}

impl ConfigurationLines {
    /// Reads the positions from the file's text, which was parsed as a configuration before.
    pub(crate) fn parse(text: &str) -> Self {
        // Does not fail: the text was parsed as a configuration before.
        serde_saphyr::from_str(text).unwrap_or_default()
    }

    /// Returns the number of the line with a fault; the first line is 1.
    pub(crate) fn line_of(&self, error: &ConfigurationError) -> u64 {
        let entry = match error {
            ConfigurationError::DuplicateName { kind, name } => {
                let same_name = self.entries(kind).iter();
                same_name.filter(|entry| entry.name.value == *name).nth(1)
            }
            ConfigurationError::EmptyName { kind } => find_by_name(self.entries(kind), ""),
            ConfigurationError::TargetKindMismatch { class }
            | ConfigurationError::ZeroTarget { class } => {
                let entry = find_by_name(&self.classes, class);
                let target = entry.and_then(|entry| entry.target.as_ref());
                return target.map_or(FALLBACK_LINE, |target| target.referenced.line());
            }
            ConfigurationError::MissingServiceOrRoute { class }
            | ConfigurationError::InvalidPathPrefix { class, .. } => {
                find_by_name(&self.classes, class)
            }
            ConfigurationError::AllDomainsOut => self.domains.first(),
        };
        entry.map_or(FALLBACK_LINE, |entry| entry.name.referenced.line())
    }

    /// Returns the entries of a kind, named as in [`ConfigurationError`].
    fn entries(&self, kind: &str) -> &[NamedEntry] {
        match kind {
            "class" => &self.classes,
            "team" => &self.teams,
            _ => &self.domains,
        }
    }
}

/// Returns the first entry with a name.
fn find_by_name<'a>(entries: &'a [NamedEntry], name: &str) -> Option<&'a NamedEntry> {
    entries.iter().find(|entry| entry.name.value == name)
}
