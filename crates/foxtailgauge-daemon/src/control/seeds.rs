//! Addresses of replicas in the settings file, which may be written anew while the daemon runs.

use crate::emit;
use crate::events;
use crate::settings::{read_seeds, Settings};
use crate::shared::lock;
use slog::Logger;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

/// The seeds as last read.
pub(crate) struct Seeds {
    file: PathBuf,
    addrs: Mutex<Arc<Vec<String>>>,
}

impl Seeds {
    /// The seeds of the settings at the start.
    pub(crate) fn new(settings: &Settings) -> Self {
        Seeds {
            file: settings.file.clone(),
            addrs: Mutex::new(Arc::new(settings.seeds.clone())),
        }
    }

    /// Control addresses.
    pub(crate) fn addrs(&self) -> Arc<Vec<String>> {
        Arc::clone(&lock(&self.addrs))
    }

    /// Reads the settings file again. The previous seeds stay if it cannot be read or is invalid.
    pub(crate) fn reload(&self, log: &Logger) {
        let seeds = match read_seeds(&self.file) {
            Ok(seeds) => seeds,
            Err(error) => {
                emit!(log, events::SEEDS_UNREADABLE, "error" => error.to_string());
                return;
            }
        };
        let mut addrs = lock(&self.addrs);
        if **addrs == seeds {
            return;
        }
        emit!(log, events::SEEDS_CHANGED, "seeds" => seeds.join(","));
        *addrs = Arc::new(seeds);
    }
}
