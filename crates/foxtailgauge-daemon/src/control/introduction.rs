//! The leader tells daemons that it misses where it is; see [`Introductions`].

use crate::control::store::{read_frame, write_frame, StoreError};
use crate::emit;
use crate::events;
use crate::peer_client::PeerRequest;
use crate::shared::Shared;
use error_stack::Report;
use foxtailgauge_core::Introductions;
use foxtailgauge_wire::encode;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Name of the file with the addresses of the daemons.
const FILE: &str = "daemons";
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a new leader takes a daemon that has not reported for one that knows no replica.
const REPORT_TIME: Duration = Duration::from_secs(3);
const TELL_TIMEOUT: Duration = Duration::from_millis(500);

/// Stores the addresses of the daemons on each replica, and introduces this one while it leads.
pub(crate) async fn run(shared: Arc<Shared>, dir: PathBuf) {
    let file = dir.join(FILE);
    let mut introductions = load(&shared, &file).await;
    let mut is_unsaved = false;
    let mut leading_since: Option<Instant> = None;
    loop {
        async_std::task::sleep(ROUND_INTERVAL).await;
        is_unsaved |= shared.with_directory(|directory| introductions.update(directory));
        if is_unsaved {
            is_unsaved = !save(&shared, &file, &introductions).await;
        }
        if !shared.is_root() {
            leading_since = None;
            continue;
        }
        if leading_since.get_or_insert_with(Instant::now).elapsed() < REPORT_TIME {
            continue;
        }
        let missing = shared.with_directory(|directory| introductions.next_round(directory));
        introduce(&shared, &missing).await;
    }
}

/// The stored addresses; none if they cannot be read. The daemons that report are added.
async fn load(shared: &Shared, file: &Path) -> Introductions {
    let path = file.to_owned();
    let loading = async_std::task::spawn_blocking(move || read_frame(&path));
    match loading.await {
        Ok(stored) => stored.unwrap_or_default(),
        Err(error) => {
            log_failure(shared, &error);
            Introductions::default()
        }
    }
}

/// Returns whether the addresses are stored.
async fn save(shared: &Shared, file: &Path, introductions: &Introductions) -> bool {
    let (path, value) = (file.to_owned(), introductions.clone());
    let saving = async_std::task::spawn_blocking(move || write_frame(&path, &value));
    let saved = saving.await;
    saved
        .inspect_err(|error| log_failure(shared, error))
        .is_ok()
}

fn log_failure(shared: &Shared, error: &Report<StoreError>) {
    emit!(shared.log, events::DAEMONS_NOT_STORED, "error" => format!("{error:?}"));
}

/// Sends the own directory entry to daemons, from which they know a replica.
async fn introduce(shared: &Shared, addrs: &[String]) {
    let own = shared.with_directory(|directory| directory.get(&shared.settings.name).cloned());
    let Some(Ok(bytes)) = own.map(|own| encode(&own)) else {
        return;
    };
    let telling = addrs.iter().map(|addr| {
        shared.metrics.record_payload("sent", "tell", bytes.len());
        let request = PeerRequest::Publish(bytes.clone());
        shared.clients.control.call(addr, request, TELL_TIMEOUT)
    });
    let replies = futures::future::join_all(telling).await;
    let told = replies.iter().filter(|reply| reply.is_ok()).count();
    if told > 0 {
        emit!(shared.log, events::DAEMONS_INTRODUCED, "missing" => addrs.len(), "told" => told);
    }
}
