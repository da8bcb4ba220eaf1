//! The configuration that every daemon follows.

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

/// The configuration that every daemon follows: targets, failure domains and quotas.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// The version; zero before the first change is accepted.
    #[serde(default)]
    pub version: ConfigurationVersion,
    /// The failure domains.
    #[serde(default)]
    pub domains: Vec<FailureDomain>,
    /// The classes of work.
    #[serde(default)]
    pub classes: Vec<ServiceClass>,
    /// The teams and their quotas.
    #[serde(default)]
    pub teams: Vec<TeamQuota>,
}

impl Configuration {
    /// Checks what one document can say about itself.
    ///
    /// # Errors
    ///
    /// Returns the first fault found. That the last failure domain is out is not among them, see
    /// [`Configuration::check_domain_left`].
    pub fn check(&self) -> Result<(), ConfigurationError> {
        check_names(
            "failure domain",
            self.domains.iter().map(|domain| domain.name.as_str()),
        )?;
        check_names(
            "class",
            self.classes.iter().map(|class| class.name.as_str()),
        )?;
        check_names("team", self.teams.iter().map(|team| team.name.as_str()))?;
        self.classes.iter().try_for_each(check_class)
    }

    /// Checks that some failure domain may take work.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigurationError::NoDomainIn`] if domains are declared and all are out.
    pub fn check_domain_left(&self) -> Result<(), ConfigurationError> {
        let all_out = self
            .domains
            .iter()
            .all(|domain| domain.state == DomainState::Out);
        if all_out && !self.domains.is_empty() {
            return Err(ConfigurationError::NoDomainIn);
        }
        Ok(())
    }

    /// Returns a failure domain's state; a domain that is not declared is in.
    pub fn domain_state(&self, name: &DomainName) -> DomainState {
        self.domains
            .iter()
            .find(|domain| domain.name == *name)
            .map_or(DomainState::In, |domain| domain.state)
    }

    /// Returns the class of this name.
    pub fn class(&self, name: &ClassName) -> Option<&ServiceClass> {
        self.classes.iter().find(|class| class.name == *name)
    }

    /// Returns the quota of this team.
    pub fn team(&self, name: &TeamName) -> Option<&TeamQuota> {
        self.teams.iter().find(|team| team.name == *name)
    }
}

fn check_names<'a, Names>(kind: &'static str, names: Names) -> Result<(), ConfigurationError>
where
    Names: Iterator<Item = &'a str>,
{
    let mut seen = IndexSet::new();
    for name in names {
        check_name(kind, name, &mut seen)?;
    }
    Ok(())
}

fn check_name<'a, Name>(
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

fn check_class(class: &ServiceClass) -> Result<(), ConfigurationError> {
    let name = class.name.to_string();
    let target = match (class.kind, class.target) {
        (ClassKind::Service, ClassTarget::AnswerWithin(target)) => target,
        (ClassKind::Batch, ClassTarget::FinishWithin(target)) => target,
        _ => return Err(ConfigurationError::TargetKind { class: name }),
    };
    if target.is_zero() {
        return Err(ConfigurationError::ZeroTarget { class: name });
    }
    if class.kind == ClassKind::Batch {
        return Ok(());
    }
    check_route(class)
}

fn check_route(class: &ServiceClass) -> Result<(), ConfigurationError> {
    let name = class.name.to_string();
    let (Some(_), Some(route)) = (&class.service, &class.route) else {
        return Err(ConfigurationError::MissingRoute { class: name });
    };
    if route.path_prefix.starts_with('/') {
        return Ok(());
    }
    Err(ConfigurationError::BadPrefix {
        class: name,
        prefix: route.path_prefix.clone(),
    })
}
