//! What a change of the configuration changed, item by item.

use derive_more::Display;
use jasminebend_base::Configuration;
use serde::Serialize;

/// One item that a change of the configuration changed.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{kind} `{name}`: {before} -> {after}")]
pub struct ConfigurationDiff {
    /// Class, failure domain or team.
    pub kind: &'static str,
    /// The item's name.
    pub name: String,
    /// The item before, in JSON; `none` if it did not exist.
    pub before: String,
    /// The item after, in JSON; `none` if it was taken away.
    pub after: String,
}

impl ConfigurationDiff {
    /// Lists what differs between two configurations.
    pub fn between(before: &Configuration, after: &Configuration) -> Vec<Self> {
        let domain = |list: &Configuration| items(&list.domains, |item| item.name.to_string());
        let class = |list: &Configuration| items(&list.classes, |item| item.name.to_string());
        let team = |list: &Configuration| items(&list.teams, |item| item.name.to_string());
        let mut differences = compare("failure domain", domain(before), domain(after));
        differences.extend(compare("class", class(before), class(after)));
        differences.extend(compare("team", team(before), team(after)));
        differences
    }
}

fn items<Item, Name>(list: &[Item], name: Name) -> Vec<(String, String)>
where
    Item: Serialize,
    Name: Fn(&Item) -> String,
{
    let text = |item| serde_json::to_string(item).unwrap_or_default();
    list.iter().map(|item| (name(item), text(item))).collect()
}

fn compare(
    kind: &'static str,
    before: Vec<(String, String)>,
    after: Vec<(String, String)>,
) -> Vec<ConfigurationDiff> {
    let gone = before
        .iter()
        .filter(|(name, _)| find(&after, name).is_none());
    let names = after.iter().chain(gone).map(|(name, _)| name);
    let diff = |name: &String| ConfigurationDiff {
        kind,
        name: name.clone(),
        before: find(&before, name).unwrap_or("none").to_owned(),
        after: find(&after, name).unwrap_or("none").to_owned(),
    };
    names
        .map(diff)
        .filter(|diff| diff.before != diff.after)
        .collect()
}

fn find<'a>(list: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = list.iter().find(|(other, _)| other == name);
    found.map(|(_, text)| text.as_str())
}
