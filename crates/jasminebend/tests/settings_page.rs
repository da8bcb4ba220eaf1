//! docs/SETTINGS.md lists every key that there is.

use jasminebend::{
    DaemonSettings,
    SettingsError, //
};

const PAGE: &str = include_str!("../../../docs/SETTINGS.md");
const BOGUS: &str = "no_such_key: 1";

fn keys(text: &str) -> Vec<String> {
    let error = DaemonSettings::from_yaml(text).expect_err("an unknown key");
    let SettingsError::UnknownKey { known, .. } = error else {
        panic!("{error}");
    };
    let names = known.split(", ").map(|name| name.trim_matches('`'));
    names.map(str::to_owned).collect()
}

fn is_section(name: &str) -> bool {
    let text = format!("{name}:\n  {BOGUS}\n");
    let error = DaemonSettings::from_yaml(&text).expect_err("an unknown key");
    matches!(error, SettingsError::UnknownKey { .. })
}

#[test]
fn every_key_has_its_row() {
    let mut rows = 0;
    for name in keys(BOGUS) {
        let listed = match is_section(&name) {
            false => vec![name],
            true => {
                let inner = keys(&format!("{name}:\n  {BOGUS}\n"));
                inner.iter().map(|key| format!("{name}.{key}")).collect()
            }
        };
        for key in listed {
            assert!(PAGE.contains(&format!("\n| `{key}`")), "{key}");
            rows += 1;
        }
    }
    let table = PAGE.lines().filter(|line| line.starts_with("| `"));
    assert_eq!(table.count(), rows);
}
