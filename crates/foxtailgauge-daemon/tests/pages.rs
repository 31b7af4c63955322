//! Checks that the pages under `docs` agree with the code.

use foxtailgauge_daemon::events;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

#[test]
fn event_catalogue_lists_what_the_code_logs() {
    let page = std::fs::read_to_string(root().join("docs/EVENTS.md")).unwrap();
    let listed: BTreeSet<(u32, String)> = page
        .lines()
        .filter_map(|line| {
            let mut cells = line.strip_prefix("| ")?.split(" | ");
            let number = cells.next()?.trim().parse().ok()?;
            cells.next()?;
            Some((number, cells.next()?.trim().to_owned()))
        })
        .collect();
    let in_code: BTreeSet<(u32, String)> = events::ALL
        .iter()
        .map(|event| (event.number, event.text.to_owned()))
        .collect();
    assert_eq!(listed, in_code);
    let numbers: BTreeSet<u32> = events::ALL.iter().map(|event| event.number).collect();
    assert_eq!(numbers.len(), events::ALL.len(), "duplicate event number");
}

#[test]
fn every_test_named_as_a_proof_exists() {
    let page = std::fs::read_to_string(root().join("docs/PROOFS.md")).unwrap();
    let names: BTreeSet<&str> = page
        .split('`')
        .skip(1)
        .step_by(2)
        .filter(|name| name.contains("::"))
        .collect();
    assert!(!names.is_empty());
    for name in names {
        let (file, test) = name.split_once("::").unwrap();
        let found = ["core", "wire", "daemon", "cli", "bench"]
            .iter()
            .any(|part| {
                let path = root().join(format!("crates/foxtailgauge-{part}/tests/{file}.rs"));
                let text = std::fs::read_to_string(path).unwrap_or_default();
                text.contains(&format!("fn {test}("))
            });
        assert!(found, "{name}");
    }
}
