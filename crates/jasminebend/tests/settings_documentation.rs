//! docs/SETTINGS.md documents every key of the settings file.

use jasminebend::{
    DaemonSettings,
    SettingsError, //
};

const SETTINGS_PAGE: &str = include_str!("../../../docs/SETTINGS.md");
const UNKNOWN_KEY: &str = "no_such_key: 1";

/// Returns the keys that exist where `text` has an unknown one, as its error lists them.
fn known_keys(text: &str) -> Vec<String> {
    let error = DaemonSettings::from_yaml(text).expect_err("an unknown key");
    let SettingsError::UnknownKey { known, .. } = error else {
        panic!("{error}");
    };
    let names = known.split(", ").map(|name| name.trim_matches('`'));
    names.map(str::to_owned).collect()
}

fn is_section(name: &str) -> bool {
    let text = format!("{name}:\n  {UNKNOWN_KEY}\n");
    let error = DaemonSettings::from_yaml(&text).expect_err("an unknown key");
    matches!(error, SettingsError::UnknownKey { .. })
}

#[test]
fn every_key_is_documented() {
    let mut rows = 0;
    for name in known_keys(UNKNOWN_KEY) {
        let listed = match is_section(&name) {
            false => vec![name],
            true => {
                let inner = known_keys(&format!("{name}:\n  {UNKNOWN_KEY}\n"));
                inner.iter().map(|key| format!("{name}.{key}")).collect()
            }
        };
        for key in listed {
            assert!(SETTINGS_PAGE.contains(&format!("\n| `{key}`")), "{key}");
            rows += 1;
        }
    }
    let table = SETTINGS_PAGE.lines().filter(|line| line.starts_with("| `"));
    assert_eq!(table.count(), rows);
}
