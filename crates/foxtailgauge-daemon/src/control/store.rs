//! Durable storage of one consensus group: a log of batches and one snapshot.
//!
//! A batch is a frame `magic, length, CRC-32, payload`. It is written with one call and synced
//! before anything depends on it. Nothing depends on an incomplete last batch, so
//! [`GroupStore::open`] truncates it. Any other damage is an error and keeps the replica from
//! starting.

use error_stack::{Report, ResultExt};
use foxtailgauge_core::{
    Entry, HardState, LogIndex, PersistedState, Ready, RecoveredVoter, StateSnapshot,
};
use foxtailgauge_wire::{decode, encode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// First bytes of every frame.
const MAGIC: [u8; 4] = *b"FXB1";
/// Size of the frame header: magic, length (u32, little-endian), CRC-32 (u32, little-endian).
const HEADER_BYTES: usize = 12;
const LOG_FILE: &str = "log";
const SNAPSHOT_FILE: &str = "snapshot";
/// The voter that this replica took over after the loss of its disk.
const RECOVERED_VOTER_FILE: &str = "recovered_voter";
/// Written and removed to find out whether the disk has space.
const SPACE_FILE: &str = "space";
const SPACE_CHECK_BYTES: usize = 4_096;

/// Why the store cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// A file operation failed.
    Io {
        /// File or directory.
        path: PathBuf,
    },
    /// The disk has no space for a write. What was written before is complete.
    Full {
        /// File.
        path: PathBuf,
    },
    /// A file is damaged, other than by an incomplete last batch.
    Damaged {
        /// File.
        path: PathBuf,
        /// Offset at which the damage starts, in bytes.
        offset_bytes: u64,
    },
    /// Log indexes are not consecutive.
    Gap {
        /// File.
        path: PathBuf,
        /// Index of the entry after the gap.
        index: LogIndex,
    },
    /// The store of a group that already exists is empty.
    Missing {
        /// Directory.
        path: PathBuf,
    },
    /// A record cannot be encoded or decoded.
    Encode,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Io { path } => write!(f, "{}: file operation failed", path.display()),
            StoreError::Full { path } => write!(f, "{}: no space left", path.display()),
            StoreError::Damaged { path, offset_bytes } => {
                write!(f, "{}: damaged at byte {offset_bytes}", path.display())
            }
            StoreError::Gap { path, index } => {
                write!(
                    f,
                    "{}: entry {index} does not follow the previous one",
                    path.display()
                )
            }
            StoreError::Missing { path } => {
                write!(f, "{}: log and snapshot are missing", path.display())
            }
            StoreError::Encode => write!(f, "record cannot be encoded or decoded"),
        }
    }
}

impl std::error::Error for StoreError {}

impl StoreError {
    /// Whether the store may be usable later without help: the disk refuses operations at present, and
    /// what it holds is not damaged.
    pub fn is_transient(&self) -> bool {
        match self {
            StoreError::Io { .. } | StoreError::Full { .. } => true,
            StoreError::Damaged { .. }
            | StoreError::Gap { .. }
            | StoreError::Missing { .. }
            | StoreError::Encode => false,
        }
    }
}

#[derive(Debug, Serialize, Deserialize)]
enum LogRecord {
    HardState(HardState),
    /// Removes the entries from this index on.
    Truncate(LogIndex),
    Entry(Entry),
}

/// Result of the recovery when a store is opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecoveryInfo {
    /// Size of the incomplete last batch that was truncated, in bytes.
    pub cut_bytes: u64,
}

/// Log and snapshot files of one group.
#[derive(Debug)]
pub struct GroupStore {
    dir: PathBuf,
    log: File,
}

impl GroupStore {
    /// Opens or creates the store in a directory and reads the persisted state.
    ///
    /// Fails if a file is damaged other than by an incomplete last batch, or if entries are
    /// missing.
    pub fn open(dir: &Path) -> Result<(Self, PersistedState, RecoveryInfo), Report<StoreError>> {
        std::fs::create_dir_all(dir).change_context_lazy(|| io_error(dir))?;
        let snapshot: Option<StateSnapshot> = read_frame(&dir.join(SNAPSHOT_FILE))?;
        let path = dir.join(LOG_FILE);
        let mut log = open_log(&path)?;
        let mut bytes = Vec::new();
        log.read_to_end(&mut bytes)
            .change_context_lazy(|| io_error(&path))?;
        let (records, valid_bytes) = read_batches(&path, &bytes)?;
        let cut_bytes = bytes.len() as u64 - valid_bytes;
        if cut_bytes > 0 {
            log.set_len(valid_bytes)
                .and_then(|()| log.sync_all())
                .change_context_lazy(|| io_error(&path))?;
        }
        log.seek(SeekFrom::End(0))
            .change_context_lazy(|| io_error(&path))?;
        sync_dir(dir)?;
        let persisted = replay(&path, records, snapshot)?;
        let store = GroupStore {
            dir: dir.to_owned(),
            log,
        };
        Ok((store, persisted, RecoveryInfo { cut_bytes }))
    }

    /// Persists the records of one round with one sync.
    ///
    /// `hard_state` is the term and vote after the round; it is written if `ready` has a snapshot,
    /// which replaces the log.
    pub fn persist(
        &mut self,
        ready: &Ready,
        hard_state: HardState,
    ) -> Result<(), Report<StoreError>> {
        if let Some(snapshot) = &ready.snapshot {
            return self.save_snapshot(snapshot, hard_state, &ready.entries);
        }
        let hard_state_record = ready.hard_state.map(LogRecord::HardState);
        let truncate_record = ready.truncate_from.map(LogRecord::Truncate);
        let entry_records = ready.entries.iter().cloned().map(LogRecord::Entry);
        let records: Vec<LogRecord> = hard_state_record
            .into_iter()
            .chain(truncate_record)
            .chain(entry_records)
            .collect();
        if records.is_empty() {
            return Ok(());
        }
        let batch = encode_frame(&records)?;
        let path = self.dir.join(LOG_FILE);
        let written = self.log.write_all(&batch);
        written.map_err(|error| write_error(&path, error))?;
        self.log.sync_data().change_context_lazy(|| io_error(&path))
    }

    /// The voter that this replica took over, if it did.
    pub fn recovered_voter(&self) -> Result<Option<RecoveredVoter>, Report<StoreError>> {
        read_frame(&self.dir.join(RECOVERED_VOTER_FILE))
    }

    /// Stores the voter that this replica takes over.
    pub fn save_recovered_voter(&self, voter: RecoveredVoter) -> Result<(), Report<StoreError>> {
        write_frame(&self.dir.join(RECOVERED_VOTER_FILE), &voter)
    }

    /// Checks that the disk has space for at least a small write.
    pub fn check_space(&mut self) -> Result<(), Report<StoreError>> {
        let path = self.dir.join(SPACE_FILE);
        std::fs::write(&path, [0; SPACE_CHECK_BYTES]).map_err(|error| write_error(&path, error))?;
        std::fs::remove_file(&path).change_context_lazy(|| io_error(&path))
    }

    /// Writes all files again, with what they were read to hold. After a failed sync, the disk may hold
    /// less than a read returns; what this has written is durable.
    pub fn rewrite(&mut self, persisted: &PersistedState) -> Result<(), Report<StoreError>> {
        if let Some(snapshot) = &persisted.snapshot {
            write_frame(&self.dir.join(SNAPSHOT_FILE), snapshot)?;
        }
        self.replace_log(persisted.hard_state, &persisted.entries)
    }

    /// Replaces the log by a snapshot and the entries after it.
    ///
    /// The snapshot is written and synced before the log is replaced, so that a crash between the
    /// two loses no entries.
    pub fn save_snapshot(
        &mut self,
        snapshot: &StateSnapshot,
        hard_state: HardState,
        entries: &[Entry],
    ) -> Result<(), Report<StoreError>> {
        write_frame(&self.dir.join(SNAPSHOT_FILE), snapshot)?;
        self.replace_log(hard_state, entries)
    }

    fn replace_log(
        &mut self,
        hard_state: HardState,
        entries: &[Entry],
    ) -> Result<(), Report<StoreError>> {
        let mut records = vec![LogRecord::HardState(hard_state)];
        records.extend(entries.iter().cloned().map(LogRecord::Entry));
        let path = self.dir.join(LOG_FILE);
        replace_file(&path, &encode_frame(&records)?)?;
        self.log = open_log(&path)?;
        self.log
            .seek(SeekFrom::End(0))
            .change_context_lazy(|| io_error(&path))?;
        Ok(())
    }
}

/// Reads a file that consists of one frame; `None` if the file does not exist.
pub fn read_frame<T: DeserializeOwned>(path: &Path) -> Result<Option<T>, Report<StoreError>> {
    let bytes = match std::fs::read(path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(Report::new(error).change_context(io_error(path))),
    };
    let damaged = || StoreError::Damaged {
        path: path.to_owned(),
        offset_bytes: 0,
    };
    match frame_at(&bytes, 0) {
        Some((payload, end)) if end == bytes.len() => {
            Ok(Some(decode(payload).change_context_lazy(damaged)?))
        }
        _ => Err(Report::new(damaged())),
    }
}

/// Atomically replaces a file by one frame.
pub fn write_frame(path: &Path, value: &impl Serialize) -> Result<(), Report<StoreError>> {
    replace_file(path, &encode_frame(value)?)
}

fn io_error(path: &Path) -> StoreError {
    StoreError::Io {
        path: path.to_owned(),
    }
}

/// A failed sync never counts as a lack of space: it is unknown what the disk holds then.
fn write_error(path: &Path, error: std::io::Error) -> Report<StoreError> {
    let context = match error.kind() {
        std::io::ErrorKind::StorageFull => StoreError::Full {
            path: path.to_owned(),
        },
        _ => io_error(path),
    };
    Report::new(error).change_context(context)
}

fn open_log(path: &Path) -> Result<File, Report<StoreError>> {
    OpenOptions::new()
        .read(true)
        .write(true)
        .create(true)
        .truncate(false)
        .open(path)
        .change_context_lazy(|| io_error(path))
}

fn replace_file(path: &Path, bytes: &[u8]) -> Result<(), Report<StoreError>> {
    let temporary = path.with_extension("new");
    let mut file = File::create(&temporary).change_context_lazy(|| io_error(path))?;
    file.write_all(bytes)
        .map_err(|error| write_error(path, error))?;
    file.sync_all()
        .and_then(|()| std::fs::rename(&temporary, path))
        .change_context_lazy(|| io_error(path))?;
    match path.parent() {
        Some(dir) => sync_dir(dir),
        None => Ok(()),
    }
}

fn sync_dir(dir: &Path) -> Result<(), Report<StoreError>> {
    File::open(dir)
        .and_then(|dir| dir.sync_all())
        .change_context_lazy(|| io_error(dir))
}

fn encode_frame(value: &impl Serialize) -> Result<Vec<u8>, Report<StoreError>> {
    let payload = encode(value).change_context(StoreError::Encode)?;
    let length = u32::try_from(payload.len()).change_context(StoreError::Encode)?;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    bytes.extend_from_slice(&payload);
    Ok(bytes)
}

/// Returns the payload of the frame at an offset and the end offset of the frame; `None` if the
/// frame is incomplete or damaged.
fn frame_at(bytes: &[u8], offset: usize) -> Option<(&[u8], usize)> {
    let header = bytes.get(offset..offset + HEADER_BYTES)?;
    let (magic, length_and_crc) = header.split_at(MAGIC.len());
    let (length, crc) = length_and_crc.split_at(4);
    if magic != MAGIC {
        return None;
    }
    let length = u32::from_le_bytes(length.try_into().ok()?) as usize;
    let crc = u32::from_le_bytes(crc.try_into().ok()?);
    let start = offset + HEADER_BYTES;
    let payload = bytes.get(start..start.checked_add(length)?)?;
    (crc32fast::hash(payload) == crc).then_some((payload, start + length))
}

/// Reads all batches; returns the records and the length of the valid part in bytes.
fn read_batches(path: &Path, bytes: &[u8]) -> Result<(Vec<LogRecord>, u64), Report<StoreError>> {
    let mut records = Vec::new();
    let mut offset = 0;
    let damaged = |offset: usize| StoreError::Damaged {
        path: path.to_owned(),
        offset_bytes: offset as u64,
    };
    while offset < bytes.len() {
        let Some((payload, end)) = frame_at(bytes, offset) else {
            // Only the last batch can be incomplete; a valid frame after it proves damage.
            if has_frame_after(bytes, offset + 1) {
                return Err(Report::new(damaged(offset)));
            }
            break;
        };
        let batch: Vec<LogRecord> = decode(payload).change_context_lazy(|| damaged(offset))?;
        records.extend(batch);
        offset = end;
    }
    Ok((records, offset as u64))
}

fn has_frame_after(bytes: &[u8], from: usize) -> bool {
    (from..bytes.len()).any(|offset| frame_at(bytes, offset).is_some())
}

fn replay(
    path: &Path,
    records: Vec<LogRecord>,
    snapshot: Option<StateSnapshot>,
) -> Result<PersistedState, Report<StoreError>> {
    let mut hard_state = HardState::default();
    let mut entries: Vec<Entry> = Vec::new();
    for record in records {
        match record {
            LogRecord::HardState(state) => hard_state = state,
            LogRecord::Truncate(from) => entries.retain(|entry| entry.index < from),
            LogRecord::Entry(entry) => {
                let expected_index = entries.last().map(|last| last.index + 1);
                if expected_index.is_some_and(|expected| expected != entry.index) {
                    let index = entry.index;
                    let path = path.to_owned();
                    return Err(Report::new(StoreError::Gap { path, index }));
                }
                entries.push(entry);
            }
        }
    }
    let entries = entries_after_snapshot(path, entries, snapshot.as_ref())?;
    Ok(PersistedState {
        hard_state,
        snapshot,
        entries,
    })
}

/// Drops the entries that the snapshot covers. They remain in the log after a crash between writing
/// the snapshot and replacing the log.
fn entries_after_snapshot(
    path: &Path,
    entries: Vec<Entry>,
    snapshot: Option<&StateSnapshot>,
) -> Result<Vec<Entry>, Report<StoreError>> {
    let (index, term) = snapshot.map_or((0, 0), |s| (s.index, s.term));
    let Some(first) = entries.first().map(|entry| entry.index) else {
        return Ok(entries);
    };
    if first > index + 1 {
        let path = path.to_owned();
        return Err(Report::new(StoreError::Gap { path, index: first }));
    }
    let continues_snapshot = first == index + 1
        || entries
            .iter()
            .any(|entry| entry.index == index && entry.term == term);
    if !continues_snapshot {
        return Ok(Vec::new());
    }
    Ok(entries
        .into_iter()
        .filter(|entry| entry.index > index)
        .collect())
}
