//! Addresses of replicas in the settings file, which may be written anew while the daemon runs.

use crate::emit;
use crate::events;
use crate::settings::{read_seeds, Settings};
use crate::shared::lock;
use async_std::future::timeout;
use async_std::task::spawn_blocking;
use slog::Logger;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time to wait for the file: nothing that needs the seeds may wait for a disk that stands still.
const READ_TIMEOUT: Duration = Duration::from_millis(200);

/// The seeds as last read.
pub(crate) struct Seeds {
    file: PathBuf,
    /// Held by the thread that reads the file. There is one at most, which may never end.
    reading: Arc<Mutex<()>>,
    addrs: Mutex<Arc<Vec<String>>>,
}

impl Seeds {
    /// The seeds of the settings at the start.
    pub(crate) fn new(settings: &Settings) -> Self {
        Seeds {
            file: settings.file.clone(),
            reading: Arc::default(),
            addrs: Mutex::new(Arc::new(settings.seeds.clone())),
        }
    }

    /// Control addresses.
    pub(crate) fn addrs(&self) -> Arc<Vec<String>> {
        Arc::clone(&lock(&self.addrs))
    }

    /// Reads the settings file again. The previous seeds stay if it is invalid or cannot be read, or not in time.
    pub(crate) async fn reload(&self, log: &Logger) {
        let (file, reading) = (self.file.clone(), Arc::clone(&self.reading));
        let read = spawn_blocking(move || {
            let _guard = reading.try_lock().ok()?;
            Some(read_seeds(&file).map_err(|error| error.to_string()))
        });
        let read = timeout(READ_TIMEOUT, read).await.ok().flatten();
        let late = || Err("the file could not be read in time".to_owned());
        let seeds = match read.unwrap_or_else(late) {
            Ok(seeds) => seeds,
            Err(error) => {
                emit!(log, events::SEEDS_UNREADABLE, "error" => error);
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
