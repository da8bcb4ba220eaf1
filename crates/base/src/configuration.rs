//! The configuration shared by all daemons.

use std::hash::Hash;

use indexmap::IndexSet;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ClassKind,
    ClassName,
    ClassTarget,
    ConfigurationError,
    ConfigurationVersion,
    DomainName,
    DomainState,
    FailureDomain,
    ServiceClass,
    TeamName,
    TeamQuota, //
};

/// The configuration shared by all daemons: failure domains, classes of work with their targets,
/// and team quotas.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// The version of the configuration; 0 until the first change is accepted.
    #[serde(default)]
    pub version: ConfigurationVersion,
    /// The declared failure domains; names are unique.
    #[serde(default)]
    pub domains: Vec<FailureDomain>,
    /// The declared classes of work; names are unique.
    #[serde(default)]
    pub classes: Vec<ServiceClass>,
    /// The teams and their quotas; names are unique.
    #[serde(default)]
    pub teams: Vec<TeamQuota>,
}

impl Configuration {
    /// Validates the names, targets and routes of the configuration.
    ///
    /// # Errors
    ///
    /// Returns the first fault found. A configuration in which every failure domain is out passes;
    /// [`Configuration::check_any_domain_in`] checks that separately.
    pub fn validate(&self) -> Result<(), ConfigurationError> {
        check_unique_names(
            "failure domain",
            self.domains.iter().map(|domain| domain.name.as_str()),
        )?;
        check_unique_names(
            "class",
            self.classes.iter().map(|class| class.name.as_str()),
        )?;
        check_unique_names("team", self.teams.iter().map(|team| team.name.as_str()))?;
        self.classes.iter().try_for_each(check_class)
    }

    /// Checks that at least one failure domain is in.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigurationError::AllDomainsOut`] if domains are declared and all of them are
    /// out.
    pub fn check_any_domain_in(&self) -> Result<(), ConfigurationError> {
        let all_out = self
            .domains
            .iter()
            .all(|domain| domain.state == DomainState::Out);
        if all_out && !self.domains.is_empty() {
            return Err(ConfigurationError::AllDomainsOut);
        }
        Ok(())
    }

    /// Returns the state of a failure domain; [`DomainState::In`] if it is not declared.
    pub fn domain_state(&self, name: &DomainName) -> DomainState {
        self.domains
            .iter()
            .find(|domain| domain.name == *name)
            .map_or(DomainState::In, |domain| domain.state)
    }

    /// Returns the class with this name; `None` if it is not declared.
    pub fn class(&self, name: &ClassName) -> Option<&ServiceClass> {
        self.classes.iter().find(|class| class.name == *name)
    }

    /// Returns the quota of the team with this name; `None` if it is not declared.
    pub fn team(&self, name: &TeamName) -> Option<&TeamQuota> {
        self.teams.iter().find(|team| team.name == *name)
    }
}

/// Checks that the names are non-empty and unique; `kind` says in errors what they name.
fn check_unique_names<'a, Names>(kind: &'static str, names: Names) -> Result<(), ConfigurationError>
where
    Names: Iterator<Item = &'a str>,
{
    let mut seen = IndexSet::new();
    for name in names {
        check_unique_name(kind, name, &mut seen)?;
    }
    Ok(())
}

/// Checks that the name is non-empty and not in `seen`, and adds it to `seen`.
fn check_unique_name<'a, Name>(
    kind: &'static str,
    name: Name,
    seen: &mut IndexSet<Name>,
) -> Result<(), ConfigurationError>
where
    Name: AsRef<str> + Copy + Eq + Hash + 'a,
{
    if name.as_ref().is_empty() {
        return Err(ConfigurationError::EmptyName { kind });
    }
    if seen.insert(name) {
        return Ok(());
    }
    Err(ConfigurationError::DuplicateName {
        kind,
        name: name.as_ref().to_owned(),
    })
}

/// Checks that the target fits the kind of the class and is not zero, and that a service class has
/// a service and a valid route.
fn check_class(class: &ServiceClass) -> Result<(), ConfigurationError> {
    let class_name = class.name.to_string();
    let target = match (class.kind, class.target) {
        (ClassKind::Service, ClassTarget::AnswerWithin(target)) => target,
        (ClassKind::Batch, ClassTarget::FinishWithin(target)) => target,
        _ => return Err(ConfigurationError::TargetKindMismatch { class: class_name }),
    };
    if target.is_zero() {
        return Err(ConfigurationError::ZeroTarget { class: class_name });
    }
    if class.kind == ClassKind::Batch {
        return Ok(());
    }
    check_route(class)
}

/// Checks that a service class has a service, and a route whose path prefix begins with `/`.
fn check_route(class: &ServiceClass) -> Result<(), ConfigurationError> {
    let class_name = class.name.to_string();
    let (Some(_), Some(route)) = (&class.service, &class.route) else {
        return Err(ConfigurationError::MissingServiceOrRoute { class: class_name });
    };
    if route.path_prefix.starts_with('/') {
        return Ok(());
    }
    Err(ConfigurationError::InvalidPathPrefix {
        class: class_name,
        prefix: route.path_prefix.clone(),
    })
}
