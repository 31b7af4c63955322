//! Tracks requests that were in flight when a backend server crashed, and decides when to refuse
//! them.

use crate::ids::{DaemonName, Digest, Incarnation, UnixMs};
use crate::tree::weight;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::cmp::Reverse;
use std::collections::HashMap;

/// Crashes after which a request is refused.
pub const QUARANTINE_CRASHES: usize = 2;
/// Time for which a crash or completion of a suspect is counted, in milliseconds.
pub const SUSPECT_TTL_MS: u64 = 300_000;
/// Maximum number of suspects that one daemon publishes.
pub const MAX_SUSPECTS: usize = 64;
/// Daemons that publish a quarantined request after those that saw its crashes are gone.
const ADOPTERS: usize = 2;
/// Quarantined requests that one daemon considers for this at a time: each is compared with all live daemons.
const MAX_ORPHANS: usize = 256;
/// Maximum number of suspects that one daemon knows of, its own and those of others.
pub const MAX_KNOWN_SUSPECTS: usize = 4_096;

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
    /// Records a request that was in flight when a backend server crashed. `index` tells which suspects
    /// are quarantined; these are the last ones to make room for it.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, index: &SuspectIndex, now_ms: UnixMs) {
        let suspect = self.suspect(fingerprint, index, now_ms);
        // Two crashes of a request differ in time, as they are counted by it.
        let last_ms = suspect.crashes_ms.last().copied();
        let crash_ms = last_ms.map_or(now_ms, |last_ms| now_ms.max(last_ms.saturating_add(1)));
        suspect.crashes_ms.push(crash_ms);
        if suspect.crashes_ms.len() > QUARANTINE_CRASHES {
            suspect.crashes_ms.remove(0);
        }
    }

    /// Records that a suspect completed.
    pub fn record_completion(
        &mut self,
        fingerprint: Fingerprint,
        index: &SuspectIndex,
        now_ms: UnixMs,
    ) {
        let suspect = self.suspect(fingerprint, index, now_ms);
        suspect.completed_ms = now_ms;
        suspect.crashes_ms.clear();
    }

    /// Adds suspects that no other daemon publishes any more, as far as there is room. Returns whether
    /// any was added.
    pub fn adopt(&mut self, orphans: impl IntoIterator<Item = Suspect>, now_ms: UnixMs) -> bool {
        self.suspects.retain(|suspect| suspect.is_current(now_ms));
        let mut has_adopted = false;
        for orphan in orphans {
            let is_same = |suspect: &Suspect| suspect.fingerprint == orphan.fingerprint;
            match self.suspects.iter().position(is_same) {
                Some(at) if self.suspects[at] == orphan => continue,
                Some(at) => self.suspects[at] = orphan,
                None if self.suspects.len() < MAX_SUSPECTS => self.suspects.push(orphan),
                None => continue,
            }
            has_adopted = true;
        }
        has_adopted
    }

    fn suspect(
        &mut self,
        fingerprint: Fingerprint,
        index: &SuspectIndex,
        now_ms: UnixMs,
    ) -> &mut Suspect {
        self.suspects.retain(|suspect| suspect.is_current(now_ms));
        let is_same = |suspect: &Suspect| suspect.fingerprint == fingerprint;
        let at = self.suspects.iter().position(is_same).unwrap_or_else(|| {
            if self.suspects.len() >= MAX_SUSPECTS {
                self.remove_least_important(index, now_ms);
            }
            self.suspects.push(Suspect {
                fingerprint,
                crashes_ms: Vec::new(),
                completed_ms: 0,
            });
            self.suspects.len() - 1
        });
        &mut self.suspects[at]
    }

    /// A crash makes suspects of all requests in flight there, and one of them at most has caused it.
    fn remove_least_important(&mut self, index: &SuspectIndex, now_ms: UnixMs) {
        let importance = |(_, suspect): &(usize, &Suspect)| {
            let verdict = index.verdict(suspect.fingerprint, now_ms);
            let is_quarantined = matches!(verdict, SuspectVerdict::Quarantined { .. });
            (is_quarantined, suspect.last_ms())
        };
        if let Some((at, _)) = self.suspects.iter().enumerate().min_by_key(importance) {
            self.suspects.remove(at);
        }
    }

    /// Suspects whose last crash or completion is within [`SUSPECT_TTL_MS`].
    pub fn current(&self, now_ms: UnixMs) -> Vec<Suspect> {
        let is_current = |suspect: &&Suspect| suspect.is_current(now_ms);
        self.suspects.iter().filter(is_current).cloned().collect()
    }
}

impl Suspect {
    /// Time of the last crash or completion.
    fn last_ms(&self) -> UnixMs {
        let last_crash_ms = self.crashes_ms.last().copied().unwrap_or(0);
        last_crash_ms.max(self.completed_ms)
    }

    fn is_current(&self, now_ms: UnixMs) -> bool {
        self.last_ms().saturating_add(SUSPECT_TTL_MS) > now_ms
    }
}

/// What one daemon knows about a request from all others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct KnownSuspect {
    /// Times of the last crashes in ascending order; 0 for none. Crashes with the same time count as one,
    /// as several daemons may publish the same crash.
    crashes_ms: [UnixMs; QUARANTINE_CRASHES],
    completed_ms: UnixMs,
}

impl KnownSuspect {
    fn add(&mut self, suspect: &Suspect) {
        self.completed_ms = self.completed_ms.max(suspect.completed_ms);
        for crash_ms in &suspect.crashes_ms {
            let is_known = self.crashes_ms.contains(crash_ms);
            if !is_known && *crash_ms > self.crashes_ms[0] {
                self.crashes_ms[0] = *crash_ms;
                self.crashes_ms.sort_unstable();
            }
        }
    }

    /// Times of the crashes since the last completion that are not too old.
    fn counted_ms(&self, now_ms: UnixMs) -> impl Iterator<Item = UnixMs> + use<'_> {
        let is_counted = move |at_ms: &UnixMs| {
            *at_ms > self.completed_ms && at_ms.saturating_add(SUSPECT_TTL_MS) > now_ms
        };
        self.crashes_ms.iter().copied().filter(is_counted)
    }

    fn verdict(&self, now_ms: UnixMs) -> SuspectVerdict {
        match self.counted_ms(now_ms).count() {
            0 => SuspectVerdict::Clear,
            count if count < QUARANTINE_CRASHES => SuspectVerdict::Suspect,
            _ => SuspectVerdict::Quarantined {
                until_ms: self.crashes_ms[QUARANTINE_CRASHES - 1].saturating_add(SUSPECT_TTL_MS),
            },
        }
    }

    fn is_current(&self, now_ms: UnixMs) -> bool {
        let last_ms = self
            .completed_ms
            .max(self.crashes_ms[QUARANTINE_CRASHES - 1]);
        last_ms.saturating_add(SUSPECT_TTL_MS) > now_ms
    }

    fn importance(&self, now_ms: UnixMs) -> (usize, UnixMs) {
        let last_crash_ms = self.crashes_ms[QUARANTINE_CRASHES - 1];
        (self.counted_ms(now_ms).count(), last_crash_ms)
    }
}

/// Suspects of all daemons, merged by fingerprint. Crashes stay known after the daemon that saw them has
/// restarted or is lost.
///
/// Invariant: at most [`MAX_KNOWN_SUSPECTS`] entries.
#[derive(Clone, Debug, Default)]
pub struct SuspectIndex {
    by_fingerprint: HashMap<Fingerprint, KnownSuspect>,
}

impl SuspectIndex {
    /// The index after this one, with what daemons publish now.
    pub fn updated<'a>(
        &self,
        published: impl Iterator<Item = &'a Suspect>,
        now_ms: UnixMs,
    ) -> Self {
        let mut by_fingerprint = self.by_fingerprint.clone();
        for suspect in published {
            by_fingerprint
                .entry(suspect.fingerprint)
                .or_default()
                .add(suspect);
        }
        by_fingerprint.retain(|_, known| known.is_current(now_ms));
        if by_fingerprint.len() > MAX_KNOWN_SUSPECTS {
            let mut known: Vec<(Fingerprint, KnownSuspect)> = by_fingerprint.into_iter().collect();
            known.sort_unstable_by_key(|(_, known)| Reverse(known.importance(now_ms)));
            known.truncate(MAX_KNOWN_SUSPECTS);
            by_fingerprint = known.into_iter().collect();
        }
        SuspectIndex { by_fingerprint }
    }

    /// Number of requests with a crash or a completion that is not too old.
    pub fn len(&self) -> usize {
        self.by_fingerprint.len()
    }

    /// Whether no request is known.
    pub fn is_empty(&self) -> bool {
        self.by_fingerprint.is_empty()
    }

    /// Decides about a request at `now_ms`.
    pub fn verdict(&self, fingerprint: Fingerprint, now_ms: UnixMs) -> SuspectVerdict {
        let known = self.by_fingerprint.get(&fingerprint);
        known.map_or(SuspectVerdict::Clear, |known| known.verdict(now_ms))
    }

    /// Quarantined requests that are not quarantined by what daemons publish now, as the daemons that saw the
    /// crashes are gone. Each is returned to [`ADOPTERS`] of the `live` daemons only, preferably to those that
    /// were running at its crashes and know of them for this reason.
    pub fn orphans<'a>(
        &self,
        published: impl Iterator<Item = &'a Suspect>,
        own_name: &str,
        live: impl Iterator<Item = (&'a DaemonName, Incarnation)> + Clone,
        now_ms: UnixMs,
    ) -> Vec<Suspect> {
        if self.is_empty() {
            return Vec::new();
        }
        let published = SuspectIndex::default().updated(published, now_ms);
        let is_quarantined = |verdict| matches!(verdict, SuspectVerdict::Quarantined { .. });
        let known = self.by_fingerprint.iter();
        let orphans = known.filter(|(fingerprint, known)| {
            is_quarantined(known.verdict(now_ms))
                && !is_quarantined(published.verdict(**fingerprint, now_ms))
        });
        let adopted = orphans.take(MAX_ORPHANS).filter(|(fingerprint, known)| {
            is_adopter(own_name, live.clone(), **fingerprint, known)
        });
        let suspect = |(fingerprint, known): (&Fingerprint, &KnownSuspect)| Suspect {
            fingerprint: *fingerprint,
            crashes_ms: known.crashes_ms.to_vec(),
            completed_ms: known.completed_ms,
        };
        adopted.map(suspect).collect()
    }
}

/// Whether a daemon is among those with the highest weight for a request.
fn is_adopter<'a>(
    own_name: &str,
    live: impl Iterator<Item = (&'a DaemonName, Incarnation)> + Clone,
    fingerprint: Fingerprint,
    known: &KnownSuspect,
) -> bool {
    let key = fingerprint.to_string();
    let rank = |(name, incarnation): (&'a DaemonName, Incarnation)| {
        let started_ms = incarnation / 1_000;
        let was_running = started_ms < known.crashes_ms[QUARANTINE_CRASHES - 1];
        (was_running, weight(&key, name))
    };
    let Some(own) = live.clone().find(|(name, _)| *name == own_name) else {
        return false;
    };
    let own_rank = rank(own);
    let preferred = live.filter(|daemon| rank(*daemon) > own_rank);
    preferred.take(ADOPTERS).count() < ADOPTERS
}
