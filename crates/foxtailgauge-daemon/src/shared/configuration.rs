//! The configuration that this daemon has, and the updates to it for its subscribers.

use crate::mutex::{lock, Mutex};
use arc_swap::ArcSwap;
use foxtailgauge_core::{ConfigVersion, Digest, Snapshot, SnapshotError, SnapshotHistory, Update};
use foxtailgauge_wire::encode_compressed;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Number of past versions kept as bases for deltas.
const DELTA_BASES: usize = 256;

/// The newest snapshot of this daemon. Readers of it wait for no writer.
///
/// Invariants: versions of `current` strictly increase; no other lock is taken while `history` is held.
pub(super) struct Configuration {
    current: ArcSwap<Snapshot>,
    /// Highest version known to exist anywhere.
    highest_known_version: AtomicU64,
    history: Mutex<EncodedHistory>,
}

struct EncodedHistory {
    snapshots: SnapshotHistory,
    /// Encoded updates to the current version, by the version and digest of their base.
    encoded: HashMap<(ConfigVersion, Digest), Arc<Vec<u8>>>,
}

impl Configuration {
    /// Starts with the empty configuration.
    pub(super) fn new() -> Self {
        let snapshots = SnapshotHistory::new(DELTA_BASES);
        Configuration {
            current: ArcSwap::new(Arc::clone(snapshots.current())),
            highest_known_version: AtomicU64::new(0),
            history: Mutex::new(EncodedHistory {
                snapshots,
                encoded: HashMap::new(),
            }),
        }
    }

    /// The newest snapshot.
    pub(super) fn current(&self) -> Arc<Snapshot> {
        self.current.load_full()
    }

    /// Highest version known to exist.
    pub(super) fn highest_known_version(&self) -> ConfigVersion {
        self.highest_known_version.load(Ordering::SeqCst)
    }

    /// Records that a version exists on some daemon.
    pub(super) fn observe_version(&self, version: ConfigVersion) {
        self.highest_known_version
            .fetch_max(version, Ordering::SeqCst);
    }

    /// Applies an update as a whole.
    ///
    /// # Errors
    ///
    /// The update does not apply to the newest snapshot, or this daemon has no configuration and knows of
    /// a newer version.
    pub(super) fn apply_update(&self, update: &Update) -> Result<(), SnapshotError> {
        let mut history = lock(&self.history);
        let current = history.snapshots.current();
        if update.version() < self.highest_known_version() && current.version == 0 {
            // This daemon may have had a newer version before its restart.
            return Err(SnapshotError::OlderVersion);
        }
        let next = current.with_update(update)?;
        self.advance(&mut history, next)
    }

    /// Makes a newer snapshot the current one.
    ///
    /// # Errors
    ///
    /// [`SnapshotError::OlderVersion`] if the version is equal to the newest one or older.
    pub(super) fn replace(&self, next: Snapshot) -> Result<(), SnapshotError> {
        self.advance(&mut lock(&self.history), Arc::new(next))
    }

    fn advance(
        &self,
        history: &mut EncodedHistory,
        next: Arc<Snapshot>,
    ) -> Result<(), SnapshotError> {
        history.snapshots.advance(Arc::clone(&next))?;
        history.encoded.clear();
        self.observe_version(next.version);
        self.current.store(next);
        Ok(())
    }

    /// The encoded update for a subscriber at the given version, if it is behind.
    pub(super) fn encoded_update(
        &self,
        base_version: ConfigVersion,
        base_digest: &Digest,
    ) -> Option<Arc<Vec<u8>>> {
        if base_version >= self.current.load().version {
            return None;
        }
        let mut history = lock(&self.history);
        let base = (base_version, *base_digest);
        if let Some(encoded) = history.encoded.get(&base) {
            return Some(Arc::clone(encoded));
        }
        let update = history.snapshots.update_for(base_version, base_digest)?;
        // Encoding does not fail: an update consists of maps and numbers.
        let encoded = Arc::new(encode_compressed(&update).ok()?);
        history.encoded.insert(base, Arc::clone(&encoded));
        Some(encoded)
    }
}
