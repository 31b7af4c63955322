//! Requests that were in flight when a backend server died, and when to refuse them.

use crate::ids::{Digest, UnixMs};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::collections::HashMap;

/// Crashes after which a request is refused.
pub const QUARANTINE_CRASHES: u32 = 2;
/// Time a sighting counts, in milliseconds.
pub const SUSPECT_TTL_MS: u64 = 300_000;
/// Suspects one daemon announces at most.
pub const MAX_SUSPECTS: usize = 64;

/// First eight bytes of the hash over method, path and body.
pub type Fingerprint = u64;

/// A request seen in flight at the death of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Deaths seen by this daemon.
    pub crashes: u32,
    /// When the sightings stop counting.
    pub until_ms: UnixMs,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// Nothing is known against it.
    Clear,
    /// Seen at one crash: at most one at a time, on one backend server.
    Suspect,
    /// Seen at [`QUARANTINE_CRASHES`] crashes or more: refused until the time named.
    Quarantined {
        /// When it may be tried again.
        until_ms: UnixMs,
    },
}

/// Hash over everything that makes a request the same one.
pub fn request_digest(method: &str, path: &str, body: &[u8]) -> Digest {
    let mut hasher = Sha256::new();
    hasher.update((method.len() as u64).to_be_bytes());
    hasher.update(method);
    hasher.update((path.len() as u64).to_be_bytes());
    hasher.update(path);
    hasher.update(body);
    hasher.finalize().into()
}

/// Short form of [`request_digest`].
pub fn fingerprint(digest: &Digest) -> Fingerprint {
    let mut head = [0; 8];
    head.copy_from_slice(&digest[..8]);
    Fingerprint::from_be_bytes(head)
}

/// Sightings of one daemon, as it announces them.
#[derive(Clone, Debug, Default)]
pub struct Sightings {
    suspects: Vec<Suspect>,
}

impl Sightings {
    /// Records a request that was in flight at the death of a backend server.
    pub fn record(&mut self, fingerprint: Fingerprint, now_ms: UnixMs) {
        self.suspects.retain(|s| s.until_ms > now_ms);
        let until_ms = now_ms + SUSPECT_TTL_MS;
        match self
            .suspects
            .iter_mut()
            .find(|s| s.fingerprint == fingerprint)
        {
            Some(suspect) => {
                suspect.crashes += 1;
                suspect.until_ms = until_ms;
            }
            None => self.suspects.push(Suspect {
                fingerprint,
                crashes: 1,
                until_ms,
            }),
        }
        if self.suspects.len() > MAX_SUSPECTS {
            self.suspects.remove(0);
        }
    }

    /// The sightings that still count.
    pub fn announced(&self, now_ms: UnixMs) -> Vec<Suspect> {
        let is_current = |s: &&Suspect| s.until_ms > now_ms;
        self.suspects.iter().filter(is_current).copied().collect()
    }
}

/// The sightings of all daemons together.
#[derive(Clone, Debug, Default)]
pub struct SuspectIndex {
    totals: HashMap<Fingerprint, Suspect>,
}

impl SuspectIndex {
    /// Sums up the sightings of several daemons.
    pub fn collect(sightings: impl Iterator<Item = Suspect>) -> Self {
        let mut index = SuspectIndex::default();
        for suspect in sightings {
            let total = index.totals.entry(suspect.fingerprint).or_insert(Suspect {
                crashes: 0,
                ..suspect
            });
            total.crashes += suspect.crashes;
            total.until_ms = total.until_ms.max(suspect.until_ms);
        }
        index
    }

    /// What to do with a request now.
    pub fn verdict(&self, fingerprint: Fingerprint, now_ms: UnixMs) -> SuspectVerdict {
        match self.totals.get(&fingerprint) {
            Some(s) if s.until_ms <= now_ms => SuspectVerdict::Clear,
            Some(s) if s.crashes >= QUARANTINE_CRASHES => SuspectVerdict::Quarantined {
                until_ms: s.until_ms,
            },
            Some(_) => SuspectVerdict::Suspect,
            None => SuspectVerdict::Clear,
        }
    }
}
