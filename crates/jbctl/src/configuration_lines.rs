//! Where the parts of a configuration file stand.

use jasminebend_base::ConfigurationError;
use serde::{
    Deserialize,
    de::IgnoredAny, //
};
use serde_saphyr::Spanned;

const FIRST_LINE: u64 = 1;

/// Where the parts of a configuration file stand.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct ConfigurationLines {
    domains: Vec<NamedEntry>,
    classes: Vec<NamedEntry>,
    teams: Vec<NamedEntry>,
}

#[derive(Debug, Deserialize)]
struct NamedEntry {
    name: Spanned<String>,
    target: Option<Spanned<IgnoredAny>>,
}

impl ConfigurationLines {
    pub(crate) fn read(text: &str) -> Self {
        // The text was read as a configuration before, so that it is one.
        serde_saphyr::from_str(text).unwrap_or_default()
    }

    /// Finds the line of a fault, from one.
    pub(crate) fn line(&self, fault: &ConfigurationError) -> u64 {
        let entry = match fault {
            ConfigurationError::DuplicateName { kind, name } => {
                let same = self.entries(kind).iter();
                same.filter(|entry| entry.name.value == *name).nth(1)
            }
            ConfigurationError::EmptyName { kind } => named(self.entries(kind), ""),
            ConfigurationError::TargetKind { class } | ConfigurationError::ZeroTarget { class } => {
                let entry = named(&self.classes, class);
                let target = entry.and_then(|entry| entry.target.as_ref());
                return target.map_or(FIRST_LINE, |target| target.referenced.line());
            }
            ConfigurationError::MissingRoute { class }
            | ConfigurationError::BadPrefix { class, .. } => named(&self.classes, class),
            ConfigurationError::NoDomainIn => self.domains.first(),
        };
        entry.map_or(FIRST_LINE, |entry| entry.name.referenced.line())
    }

    fn entries(&self, kind: &str) -> &[NamedEntry] {
        match kind {
            "class" => &self.classes,
            "team" => &self.teams,
            _ => &self.domains,
        }
    }
}

fn named<'a>(entries: &'a [NamedEntry], name: &str) -> Option<&'a NamedEntry> {
    entries.iter().find(|entry| entry.name.value == name)
}
