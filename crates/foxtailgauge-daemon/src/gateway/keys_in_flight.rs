//! Idempotency keys that requests of this gateway may still claim.

use crate::shared::lock;
use foxtailgauge_core::ActionKey;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// Number of requests in process and of abandoned attempts that are not decided yet, by key.
#[derive(Clone, Default)]
pub(crate) struct KeysInFlight(Arc<Mutex<HashMap<ActionKey, usize>>>);

impl KeysInFlight {
    /// Counts a request with the key until the returned mark is dropped.
    pub(crate) fn mark(&self, key: ActionKey) -> KeyMark {
        *lock(&self.0).entry(key).or_default() += 1;
        KeyMark {
            keys: self.clone(),
            key,
        }
    }
}

/// Ends the count of a request when dropped.
pub(crate) struct KeyMark {
    keys: KeysInFlight,
    key: ActionKey,
}

impl KeyMark {
    /// The key.
    pub(crate) fn key(&self) -> ActionKey {
        self.key
    }

    /// Whether something else may still claim the key.
    pub(crate) fn is_shared(&self) -> bool {
        lock(&self.keys.0).get(&self.key).copied() > Some(1)
    }
}

impl Drop for KeyMark {
    fn drop(&mut self) {
        let mut counts = lock(&self.keys.0);
        if let Some(count) = counts.get_mut(&self.key) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.key);
            }
        }
    }
}
