//! Workspaces of callers: who holds which key, and how urgent and how frequent its requests may be.

use crate::ids::{Digest, WorkspaceName};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::sync::Arc;

/// Longest key that is looked up, in bytes; a longer one is unknown.
pub const MAX_KEY_BYTES: usize = 1_024;

/// SHA-256 digest of a caller's key. Keys themselves are neither stored nor logged.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest(Digest);

impl KeyDigest {
    /// Digest of a key as the caller sends it.
    pub fn of_key(key: &[u8]) -> Self {
        KeyDigest(Sha256::digest(key).into())
    }

    /// Parses 64 hexadecimal digits, as written in a configuration.
    pub fn from_hex(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        if bytes.len() != 64 || !bytes.iter().all(u8::is_ascii_hexdigit) {
            return None;
        }
        let mut digest = Digest::default();
        for (byte, pair) in digest.iter_mut().zip(bytes.chunks(2)) {
            *byte = u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()?;
        }
        Some(KeyDigest(digest))
    }

    /// The digest in hexadecimal digits.
    pub fn to_hex(self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    pub(crate) fn bytes(&self) -> &Digest {
        &self.0
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Sum that all gateways together admit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotment {
    /// Requests per second, in thousandths; above 0.
    pub rate_milli: u64,
    /// Requests that may be admitted at once after a pause.
    pub burst_requests: u64,
}

impl Allotment {
    /// Requests per second.
    pub fn rate_per_s(&self) -> f64 {
        self.rate_milli as f64 / 1_000.0
    }
}

/// A workspace of callers.
///
/// Invariant: no key belongs to two workspaces of a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Digests of its keys.
    pub keys: BTreeSet<KeyDigest>,
    /// Rank of its requests, in place of that of the route; 0 is the highest.
    pub rank: Option<u64>,
    /// What all gateways together admit; `None` without a limit.
    pub allotment: Option<Allotment>,
}

/// Workspaces of a snapshot, indexed by key.
#[derive(Debug, Default)]
pub struct WorkspaceTable {
    by_key: HashMap<KeyDigest, (WorkspaceName, Arc<Workspace>)>,
    has_workspaces: bool,
    has_allotments: bool,
}

impl WorkspaceTable {
    /// Indexes the workspaces of a configuration.
    pub fn new(workspaces: &BTreeMap<WorkspaceName, Arc<Workspace>>) -> Self {
        let with_keys = workspaces.iter().flat_map(|(name, workspace)| {
            let entry = move |key| (key, (name.clone(), Arc::clone(workspace)));
            workspace.keys.iter().copied().map(entry)
        });
        WorkspaceTable {
            by_key: with_keys.collect(),
            has_workspaces: !workspaces.is_empty(),
            has_allotments: workspaces.values().any(|w| w.allotment.is_some()),
        }
    }

    /// Whether the configuration has workspaces, so that requests need a key.
    pub fn requires_key(&self) -> bool {
        self.has_workspaces
    }

    /// Whether a workspace has an allotment.
    pub fn has_allotments(&self) -> bool {
        self.has_allotments
    }

    /// The workspace that holds a key. Takes one lookup by digest, so that its time says nothing
    /// about how much of a wrong key is right.
    pub fn find(&self, key: &[u8]) -> Option<&(WorkspaceName, Arc<Workspace>)> {
        if key.len() > MAX_KEY_BYTES {
            return None;
        }
        self.by_key.get(&KeyDigest::of_key(key))
    }
}
