//! Log and snapshot files of the store: an incomplete last batch is truncated, any other damage is
//! an error.

use foxtailgauge_core::{Entry, HardState, Membership, Payload, Ready, StateSnapshot};
use foxtailgauge_daemon::store::{GroupStore, StoreError};
use std::path::Path;
use std::sync::Arc;

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        payload: Payload::Command(Arc::new(vec![index as u8; 10])),
    }
}

fn batch(entries: &[Entry]) -> Ready {
    Ready {
        entries: entries.to_vec(),
        ..Ready::default()
    }
}

const HARD_STATE: HardState = HardState {
    term: 3,
    voted_for: Some(7),
};

/// Writes three batches: hard state with entry 1, entry 2, entry 3. Returns the end offsets of the
/// batches in bytes.
fn write_log(dir: &Path) -> Vec<u64> {
    let (mut store, ..) = GroupStore::open(dir).unwrap();
    let mut ends = Vec::new();
    for index in 1..=3 {
        let mut ready = batch(&[entry(index, 1)]);
        ready.hard_state = (index == 1).then_some(HARD_STATE);
        store.persist(&ready, HARD_STATE).unwrap();
        ends.push(std::fs::metadata(dir.join("log")).unwrap().len());
    }
    ends
}

fn indexes(entries: &[Entry]) -> Vec<u64> {
    entries.iter().map(|entry| entry.index).collect()
}

#[test]
fn persisted_records_are_read_back() {
    let dir = tempfile::tempdir().unwrap();
    write_log(dir.path());
    let (mut store, persisted, recovery) = GroupStore::open(dir.path()).unwrap();
    assert_eq!(persisted.hard_state, HARD_STATE);
    assert_eq!(indexes(&persisted.entries), [1, 2, 3]);
    assert_eq!(recovery.cut_bytes, 0);
    let mut ready = batch(&[entry(2, 3)]);
    ready.truncate_from = Some(2);
    store.persist(&ready, HARD_STATE).unwrap();
    let (_, persisted, _) = GroupStore::open(dir.path()).unwrap();
    assert_eq!(persisted.entries, [entry(1, 1), entry(2, 3)]);
}

#[test]
fn rewritten_store_holds_what_was_read() {
    let dir = tempfile::tempdir().unwrap();
    write_log(dir.path());
    let log = dir.path().join("log");
    let before = std::fs::read(&log).unwrap();
    let (mut store, persisted, _) = GroupStore::open(dir.path()).unwrap();
    store.rewrite(&persisted).unwrap();
    assert_ne!(
        std::fs::read(&log).unwrap(),
        before,
        "one batch, in a new file"
    );
    store.persist(&batch(&[entry(4, 3)]), HARD_STATE).unwrap();
    let (_, read, recovery) = GroupStore::open(dir.path()).unwrap();
    assert_eq!(read.hard_state, persisted.hard_state);
    assert_eq!(indexes(&read.entries), [1, 2, 3, 4]);
    assert_eq!(recovery.cut_bytes, 0);
}

#[test]
fn incomplete_last_batch_is_truncated_at_every_length() {
    let source = tempfile::tempdir().unwrap();
    let ends = write_log(source.path());
    let bytes = std::fs::read(source.path().join("log")).unwrap();
    for length in ends[1] + 1..ends[2] {
        let dir = tempfile::tempdir().unwrap();
        std::fs::write(dir.path().join("log"), &bytes[..length as usize]).unwrap();
        let (mut store, persisted, recovery) = GroupStore::open(dir.path()).unwrap();
        assert_eq!(indexes(&persisted.entries), [1, 2], "truncated at {length}");
        assert_eq!(recovery.cut_bytes, length - ends[1]);
        store.persist(&batch(&[entry(3, 9)]), HARD_STATE).unwrap();
        let (_, persisted, _) = GroupStore::open(dir.path()).unwrap();
        assert_eq!(
            persisted.entries[2],
            entry(3, 9),
            "the log continues after the truncation"
        );
    }
}

#[test]
fn last_batch_with_zeroed_sectors_is_truncated() {
    let dir = tempfile::tempdir().unwrap();
    let ends = write_log(dir.path());
    let mut bytes = std::fs::read(dir.path().join("log")).unwrap();
    bytes[ends[1] as usize + 20..].fill(0);
    std::fs::write(dir.path().join("log"), &bytes).unwrap();
    let (_, persisted, recovery) = GroupStore::open(dir.path()).unwrap();
    assert_eq!(indexes(&persisted.entries), [1, 2]);
    assert_eq!(recovery.cut_bytes, ends[2] - ends[1]);
}

#[test]
fn damage_before_the_last_batch_is_an_error() {
    let source = tempfile::tempdir().unwrap();
    let ends = write_log(source.path());
    let bytes = std::fs::read(source.path().join("log")).unwrap();
    for offset in 0..ends[1] as usize {
        let dir = tempfile::tempdir().unwrap();
        let path = dir.path().join("log");
        let mut damaged = bytes.clone();
        damaged[offset] ^= 0x40;
        std::fs::write(&path, &damaged).unwrap();
        let error = GroupStore::open(dir.path()).unwrap_err();
        let start = if (offset as u64) < ends[0] {
            0
        } else {
            ends[0]
        };
        let expected = StoreError::Damaged {
            path,
            offset_bytes: start,
        };
        assert_eq!(*error.current_context(), expected, "byte {offset}");
    }
}

#[test]
fn missing_batch_is_an_error() {
    let dir = tempfile::tempdir().unwrap();
    let ends = write_log(dir.path());
    let path = dir.path().join("log");
    let mut bytes = std::fs::read(&path).unwrap();
    bytes.drain(ends[0] as usize..ends[1] as usize);
    std::fs::write(&path, &bytes).unwrap();
    let error = GroupStore::open(dir.path()).unwrap_err();
    assert_eq!(*error.current_context(), StoreError::Gap { path, index: 3 });
}

fn snapshot(index: u64, term: u64) -> StateSnapshot {
    StateSnapshot {
        index,
        term,
        membership: Membership::default(),
        data: Arc::new(b"state".to_vec()),
    }
}

#[test]
fn snapshot_replaces_the_log_before_it() {
    let dir = tempfile::tempdir().unwrap();
    write_log(dir.path());
    let (mut store, ..) = GroupStore::open(dir.path()).unwrap();
    store
        .save_snapshot(&snapshot(2, 1), HARD_STATE, &[entry(3, 1)])
        .unwrap();
    store.persist(&batch(&[entry(4, 1)]), HARD_STATE).unwrap();
    let (_, persisted, _) = GroupStore::open(dir.path()).unwrap();
    assert_eq!(persisted.snapshot, Some(snapshot(2, 1)));
    assert_eq!(indexes(&persisted.entries), [3, 4]);
    assert_eq!(persisted.hard_state, HARD_STATE);
}

#[test]
fn crash_between_snapshot_and_log_replacement_loses_no_entries() {
    // The new snapshot is written, the log is not replaced yet.
    let cases = [
        ("compacted", snapshot(2, 1), vec![3]),
        ("installed past the log", snapshot(9, 2), vec![]),
        ("installed over a conflicting log", snapshot(2, 2), vec![]),
    ];
    for (name, snapshot, expected) in cases {
        let dir = tempfile::tempdir().unwrap();
        write_log(dir.path());
        let other = tempfile::tempdir().unwrap();
        let (mut store, ..) = GroupStore::open(other.path()).unwrap();
        store.save_snapshot(&snapshot, HARD_STATE, &[]).unwrap();
        std::fs::copy(other.path().join("snapshot"), dir.path().join("snapshot")).unwrap();
        let (_, persisted, _) = GroupStore::open(dir.path()).unwrap();
        assert_eq!(indexes(&persisted.entries), expected, "{name}");
        assert_eq!(persisted.snapshot, Some(snapshot), "{name}");
    }
}

#[test]
fn damaged_snapshot_is_an_error() {
    let dir = tempfile::tempdir().unwrap();
    let (mut store, ..) = GroupStore::open(dir.path()).unwrap();
    store
        .save_snapshot(&snapshot(2, 1), HARD_STATE, &[])
        .unwrap();
    let path = dir.path().join("snapshot");
    let bytes = std::fs::read(&path).unwrap();
    for offset in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[offset] ^= 1;
        std::fs::write(&path, &damaged).unwrap();
        assert!(GroupStore::open(dir.path()).is_err(), "byte {offset}");
    }
}
