//! Tracks requests that were in flight when a backend server crashed, and decides when to refuse
//! them.

use crate::ids::{Digest, UnixMs};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::collections::HashMap;

/// Crashes after which a request is refused.
pub const QUARANTINE_CRASHES: usize = 2;
/// Time for which a crash or completion of a suspect is counted, in milliseconds.
pub const SUSPECT_TTL_MS: u64 = 300_000;
/// Maximum number of suspects that one daemon publishes.
pub const MAX_SUSPECTS: usize = 64;

/// First 8 bytes of the hash over method, path and body.
pub type Fingerprint = u64;

/// Record of one daemon about a request that was in flight when a backend server crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Times of the last crashes, oldest first; at most [`QUARANTINE_CRASHES`].
    pub crashes_ms: Vec<UnixMs>,
    /// When the request last completed; 0 for never. A request that completes is not regarded as
    /// the cause of earlier crashes.
    pub completed_ms: UnixMs,
}

/// Decision about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// No crash counts against it.
    Clear,
    /// In flight at one crash: runs at most once at a time, on one backend server.
    Suspect,
    /// In flight at [`QUARANTINE_CRASHES`] crashes or more: refused until `until_ms`.
    Quarantined {
        /// When the request may run again.
        until_ms: UnixMs,
    },
}

/// Hash over method, path and body, which identify a request.
pub fn request_digest(method: &str, path: &str, body: &[u8]) -> Digest {
    let mut hasher = Sha256::new();
    hasher.update((method.len() as u64).to_be_bytes());
    hasher.update(method);
    hasher.update((path.len() as u64).to_be_bytes());
    hasher.update(path);
    hasher.update(body);
    hasher.finalize().into()
}

/// Hash over method, path, length and beginning of the body, which identify a request with a body that
/// is too large to be held. `length` is `None` if it is not known in advance.
///
/// Requests whose bodies differ only behind the beginning, at the same length, have the same digest.
pub fn large_request_digest(
    method: &str,
    path: &str,
    length: Option<u64>,
    beginning: &[u8],
) -> Digest {
    let mut hasher = Sha256::new();
    hasher.update(b"large");
    hasher.update(length.unwrap_or(u64::MAX).to_be_bytes());
    hasher.update(request_digest(method, path, beginning));
    hasher.finalize().into()
}

/// First 8 bytes of the digest of a request, as a big-endian number.
pub fn fingerprint(digest: &Digest) -> Fingerprint {
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&digest[..8]);
    Fingerprint::from_be_bytes(prefix)
}

/// Suspects of one daemon, as it publishes them.
#[derive(Clone, Debug, Default)]
pub struct SuspectLog {
    suspects: Vec<Suspect>,
}

impl SuspectLog {
    /// Records a request that was in flight when a backend server crashed.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, now_ms: UnixMs) {
        let suspect = self.suspect(fingerprint, now_ms);
        suspect.crashes_ms.push(now_ms);
        if suspect.crashes_ms.len() > QUARANTINE_CRASHES {
            suspect.crashes_ms.remove(0);
        }
    }

    /// Records that a suspect completed.
    pub fn record_completion(&mut self, fingerprint: Fingerprint, now_ms: UnixMs) {
        let suspect = self.suspect(fingerprint, now_ms);
        suspect.completed_ms = now_ms;
        suspect.crashes_ms.clear();
    }

    fn suspect(&mut self, fingerprint: Fingerprint, now_ms: UnixMs) -> &mut Suspect {
        self.suspects.retain(|suspect| suspect.is_current(now_ms));
        if let Some(index) = self
            .suspects
            .iter()
            .position(|s| s.fingerprint == fingerprint)
        {
            return &mut self.suspects[index];
        }
        if self.suspects.len() >= MAX_SUSPECTS {
            self.suspects.remove(0);
        }
        self.suspects.push(Suspect {
            fingerprint,
            crashes_ms: Vec::new(),
            completed_ms: 0,
        });
        let last = self.suspects.len() - 1;
        &mut self.suspects[last]
    }

    /// Suspects whose last crash or completion is within [`SUSPECT_TTL_MS`].
    pub fn current(&self, now_ms: UnixMs) -> Vec<Suspect> {
        let is_current = |suspect: &&Suspect| suspect.is_current(now_ms);
        self.suspects.iter().filter(is_current).cloned().collect()
    }
}

impl Suspect {
    fn is_current(&self, now_ms: UnixMs) -> bool {
        let last_ms = self
            .crashes_ms
            .last()
            .copied()
            .unwrap_or(0)
            .max(self.completed_ms);
        last_ms + SUSPECT_TTL_MS > now_ms
    }
}

/// Suspects of all daemons, merged by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct SuspectIndex {
    by_fingerprint: HashMap<Fingerprint, Suspect>,
}

impl SuspectIndex {
    /// Merges the suspects of several daemons.
    pub fn collect<'a>(suspects: impl Iterator<Item = &'a Suspect>) -> Self {
        let mut index = SuspectIndex::default();
        for suspect in suspects {
            let merged = index
                .by_fingerprint
                .entry(suspect.fingerprint)
                .or_insert_with(|| Suspect {
                    fingerprint: suspect.fingerprint,
                    crashes_ms: Vec::new(),
                    completed_ms: 0,
                });
            merged.crashes_ms.extend(&suspect.crashes_ms);
            merged.completed_ms = merged.completed_ms.max(suspect.completed_ms);
        }
        index
    }

    /// Decides about a request at `now_ms`.
    pub fn verdict(&self, fingerprint: Fingerprint, now_ms: UnixMs) -> SuspectVerdict {
        let Some(merged) = self.by_fingerprint.get(&fingerprint) else {
            return SuspectVerdict::Clear;
        };
        let is_counted =
            |at_ms: &&UnixMs| **at_ms > merged.completed_ms && **at_ms + SUSPECT_TTL_MS > now_ms;
        let crashes = merged.crashes_ms.iter().filter(is_counted);
        match crashes.clone().count() {
            0 => SuspectVerdict::Clear,
            count if count < QUARANTINE_CRASHES => SuspectVerdict::Suspect,
            _ => SuspectVerdict::Quarantined {
                until_ms: crashes.max().copied().unwrap_or(now_ms) + SUSPECT_TTL_MS,
            },
        }
    }
}
