//! Checks that every file and test that `tests/README.md` names exists.

#![expect(
    clippy::unwrap_used,
    reason = "a test's helpers panic as the test does"
)]

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
};

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn append_sources(directory: &Path, text: &mut String) {
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            append_sources(&path, text);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            text.push_str(&fs::read_to_string(path).unwrap());
        }
    }
}

fn read_all_tests() -> String {
    let mut text = String::new();
    for entry in fs::read_dir(repository_root().join("crates")).unwrap() {
        let tests = entry.unwrap().path().join("tests");
        if tests.is_dir() {
            append_sources(&tests, &mut text);
        }
    }
    append_sources(&repository_root().join("platform/tests"), &mut text);
    text
}

fn is_test_name(word: &str) -> bool {
    let is_name = |letter: char| letter.is_ascii_lowercase() || letter == '_';
    word.chars().all(is_name) && word.matches('_').count() >= 2
}

#[test]
fn every_file_and_test_in_the_readme_exists() {
    let map = fs::read_to_string(repository_root().join("tests/README.md")).unwrap();
    let tests = read_all_tests();
    let words = map.split('`').skip(1).step_by(2);
    let mut missing = Vec::new();
    let mut named_tests = 0;
    for word in words {
        let exists = if word.ends_with(".rs") {
            repository_root().join(word).is_file()
        } else if is_test_name(word) {
            named_tests += 1;
            tests.contains(&format!("fn {word}("))
        } else {
            true
        };
        if !exists {
            missing.push(word);
        }
    }
    assert!(missing.is_empty(), "{missing:#?}");
    assert!(
        named_tests > 50,
        "the format of tests/README.md has changed"
    );
}
