//! Applies a change to the configuration in force.

use jasminebend_base::{
    Configuration,
    ConfigurationError,
    DomainName,
    DomainState, //
};

use crate::{
    ConfigurationChange,
    RefusalReason, //
};

/// Returns the document after a change, or `None` if the document already is as requested, so that
/// a repeated command changes nothing.
///
/// # Errors
///
/// Returns the reason why the change cannot be applied to `current`.
pub(crate) fn edit_configuration(
    current: &Configuration,
    change: &ConfigurationChange,
) -> Result<Option<Configuration>, RefusalReason> {
    let edited = match change {
        ConfigurationChange::Replace { configuration, .. } => {
            replace_document(current, configuration)?
        }
        ConfigurationChange::SetDomainState { name, state, force } => {
            set_domain_state(current, name, *state, *force)?
        }
    };
    if edited == *current {
        return Ok(None);
    }
    check_expected_version(current, change)?;
    Ok(Some(edited))
}

/// Rejects a replacement that is based on another version than the one in force.
fn check_expected_version(
    current: &Configuration,
    change: &ConfigurationChange,
) -> Result<(), RefusalReason> {
    match change {
        ConfigurationChange::Replace {
            expected: Some(expected),
            ..
        } if *expected != current.version => Err(RefusalReason::Superseded {
            expected: *expected,
            current: current.version,
        }),
        _ => Ok(()),
    }
}

/// Returns the replacement with the current version. Rejects it if it is invalid, or if it changes the
/// failure domains so that all are out.
fn replace_document(
    current: &Configuration,
    replacement: &Configuration,
) -> Result<Configuration, RefusalReason> {
    let mut edited = replacement.clone();
    edited.version = current.version;
    edited.validate().map_err(RefusalReason::Invalid)?;
    if current.domains != edited.domains {
        check_any_domain_in(&edited)?;
    }
    Ok(edited)
}

/// Returns the document with another state of a failure domain. Without `force`, rejects the change if all
/// domains would be out.
fn set_domain_state(
    current: &Configuration,
    name: &DomainName,
    state: DomainState,
    force: bool,
) -> Result<Configuration, RefusalReason> {
    let mut edited = current.clone();
    let Some(domain) = edited
        .domains
        .iter_mut()
        .find(|domain| domain.name == *name)
    else {
        return Err(RefusalReason::UnknownDomain {
            domain: name.clone(),
        });
    };
    let unchanged = domain.state == state;
    domain.state = state;
    if !force && !unchanged {
        check_any_domain_in(&edited)?;
    }
    Ok(edited)
}

/// Rejects a document that declares failure domains and has all of them out.
fn check_any_domain_in(edited: &Configuration) -> Result<(), RefusalReason> {
    edited
        .check_any_domain_in()
        .map_err(|fault: ConfigurationError| RefusalReason::Invalid(fault))
}
