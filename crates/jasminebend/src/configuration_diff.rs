//! Differences between two configurations.

use derive_more::Display;
use jasminebend_base::Configuration;
use serde::Serialize;

/// One item that differs between two configurations.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{kind} `{name}`: {before} -> {after}")]
pub struct ConfigurationDiff {
    /// The item's kind: `class`, `failure domain` or `team`.
    pub kind: &'static str,
    /// The item's name.
    pub name: String,
    /// The item before, in JSON; `none` if it did not exist.
    pub before: String,
    /// The item after, in JSON; `none` if it was removed.
    pub after: String,
}

impl ConfigurationDiff {
    /// Lists the items that differ between two configurations.
    pub fn between(before: &Configuration, after: &Configuration) -> Vec<Self> {
        let domain =
            |list: &Configuration| names_and_json(&list.domains, |item| item.name.to_string());
        let class =
            |list: &Configuration| names_and_json(&list.classes, |item| item.name.to_string());
        let team = |list: &Configuration| names_and_json(&list.teams, |item| item.name.to_string());
        let mut differences = diff_items("failure domain", domain(before), domain(after));
        differences.extend(diff_items("class", class(before), class(after)));
        differences.extend(diff_items("team", team(before), team(after)));
        differences
    }
}

fn names_and_json<Item, Name>(list: &[Item], name: Name) -> Vec<(String, String)>
where
    Item: Serialize,
    Name: Fn(&Item) -> String,
{
    let text = |item| serde_json::to_string(item).unwrap_or_default();
    list.iter().map(|item| (name(item), text(item))).collect()
}

fn diff_items(
    kind: &'static str,
    before: Vec<(String, String)>,
    after: Vec<(String, String)>,
) -> Vec<ConfigurationDiff> {
    let removed = before
        .iter()
        .filter(|(name, _)| find_json(&after, name).is_none());
    let names = after.iter().chain(removed).map(|(name, _)| name);
    let diff = |name: &String| ConfigurationDiff {
        kind,
        name: name.clone(),
        before: find_json(&before, name).unwrap_or("none").to_owned(),
        after: find_json(&after, name).unwrap_or("none").to_owned(),
    };
    names
        .map(diff)
        .filter(|diff| diff.before != diff.after)
        .collect()
}

/// Returns the JSON of the item with this name.
fn find_json<'a>(list: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = list.iter().find(|(other, _)| other == name);
    found.map(|(_, text)| text.as_str())
}
