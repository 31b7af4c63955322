//! Starts the components of one daemon and stops them in order.

use crate::admin_http;
use crate::control::consensus_link::ConsensusLinks;
use crate::control::formation;
use crate::control::introduction;
use crate::control::replica_client::ReplicaClient;
use crate::control::subscriber;
use crate::emit;
use crate::events;
use crate::executor::announce_http;
use crate::executor::call_executor::Executor;
use crate::gateway::call_gateway::Gateway;
use crate::gateway::caller_http;
use crate::gateway::ledger_client::LedgerClient;
use crate::limited_http;
use crate::listen_settings::Listen;
use crate::logger;
use crate::mesh;
use crate::meter::ByteCounters;
use crate::metrics::Metrics;
use crate::peer_client::{PeerClient, PeerIdentity};
use crate::peer_server::{serve_calls, serve_control, DaemonContext};
use crate::rollout;
use crate::settings::Settings;
use crate::shared::{Clients, Shared};
use crate::stop;
use crate::usage;
use async_std::channel::{bounded, Receiver};
use async_std::net::TcpListener;
use async_std::task;
use error_stack::{Report, ResultExt};
use foxtailgauge_wire::handshake::{ConnectionKind, Hello};
use futures::future::{select, Either};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use slog::Logger;
use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::pin::pin;
use std::sync::Arc;

/// Number of client threads for calls to other daemons.
const CALL_CLIENT_THREADS: usize = 2;

/// Why the daemon cannot run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DaemonError {
    /// Listening on an address failed.
    Listen(SocketAddr),
    /// The store cannot be opened or used.
    Store,
    /// The signal handlers cannot be installed.
    Signals,
}

impl fmt::Display for DaemonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DaemonError::Listen(address) => write!(f, "cannot listen on {address}"),
            DaemonError::Store => write!(f, "cannot use the store"),
            DaemonError::Signals => write!(f, "cannot install signal handlers"),
        }
    }
}

impl std::error::Error for DaemonError {}

struct Listeners {
    callers: TcpListener,
    admin: TcpListener,
    announce: TcpListener,
    control: TcpListener,
    calls: TcpListener,
}

/// Runs a daemon until it receives SIGTERM or SIGINT.
pub fn run(settings: Settings) -> Result<(), Report<DaemonError>> {
    let (log, _flush_guard) =
        logger::build(settings.log_level, &settings.name, &settings.failure_domain);
    let signals = handle_signals(log.clone())?;
    task::block_on(async {
        let listeners = listen(&settings.listen, &log).await?;
        let store_dir = settings.store_dir.clone();
        let (context, replicas) = build(settings, log);
        let shared = Arc::clone(&context.shared);
        start(&context, replicas.clone(), listeners);
        task::spawn(reload_seeds(Arc::clone(&shared), signals.reload));
        mesh::start(&context, &replicas, &shared.log).await?;
        emit!(shared.log, events::STARTED, "pid" => std::process::id());
        // The channel closes if the signal thread ends, which also stops the daemon.
        let stop = signals.stop.recv();
        let taking_part = pin!(take_part(&context, store_dir.as_deref()));
        if let Either::Left((outcome, _)) = select(taking_part, stop).await {
            outcome?;
        }
        stop::run(&context).await;
        Ok(())
    })
}

/// Starts the replica, if there is a store, and what depends on it. Returns only if the store cannot be
/// used.
async fn take_part(
    context: &DaemonContext,
    store_dir: Option<&Path>,
) -> Result<Infallible, Report<DaemonError>> {
    if let Some(dir) = store_dir {
        let starting = formation::start(context, dir).await;
        starting.change_context(DaemonError::Store)?;
        let introducing = introduction::run(Arc::clone(&context.shared), dir.to_owned());
        async_std::task::spawn(introducing);
    }
    subscriber::start(&context.shared);
    usage::start(&context.shared);
    std::future::pending().await
}

fn build(settings: Settings, log: Logger) -> (DaemonContext, ReplicaClient) {
    let metrics = Metrics::new();
    let clients = clients(&settings, &metrics);
    let shared = Arc::new(Shared::new(settings, log, metrics, clients));
    let replicas = ReplicaClient::new(&shared);
    let ledger = LedgerClient::new(&shared, replicas.clone());
    let context = DaemonContext {
        executor: Arc::new(Executor::new(&shared, ledger)),
        forward: mesh::executor(&shared),
        formation: Arc::default(),
        shared,
    };
    (context, replicas)
}

/// Identity that this daemon presents in the handshake of a kind of connection.
pub(crate) fn peer_identity(
    settings: &Settings,
    kind: ConnectionKind,
    counters: &ByteCounters,
) -> PeerIdentity {
    PeerIdentity {
        hello: Hello {
            kind,
            failure_domain: settings.failure_domain.clone(),
            name: settings.name.clone(),
        },
        key: settings.cluster_key.clone(),
        counters: counters.clone(),
    }
}

fn clients(settings: &Settings, metrics: &Metrics) -> Clients {
    let identity = |kind, counters| peer_identity(settings, kind, counters);
    let control = identity(ConnectionKind::Control, &metrics.control);
    let calls = identity(ConnectionKind::Calls, &metrics.call_bytes);
    let consensus = identity(ConnectionKind::Consensus, &metrics.consensus);
    Clients {
        control: PeerClient::start(&control, 1),
        consensus: ConsensusLinks::start(consensus, settings.advertise_control.clone()),
        bulk_calls: PeerClient::start(&calls, 1),
        calls: PeerClient::start(&calls, CALL_CLIENT_THREADS),
    }
}

fn start(context: &DaemonContext, replicas: ReplicaClient, listeners: Listeners) {
    let DaemonContext {
        shared, executor, ..
    } = context;
    let ledger = LedgerClient::new(shared, replicas.clone());
    let gateway = Arc::new(Gateway::new(shared, executor, ledger));
    serve_control(context, listeners.control);
    serve_calls(context, listeners.calls);
    task::spawn(Arc::clone(executor).expire_leases());
    task::spawn(rollout::leader::run(Arc::clone(shared)));
    let admin = admin_http::server(context, &replicas);
    limited_http::serve(shared, admin, listeners.admin);
    limited_http::serve(
        shared,
        announce_http::server(Arc::clone(executor)),
        listeners.announce,
    );
    caller_http::serve(shared, &gateway, listeners.callers);
}

async fn listen(listen: &Listen, log: &Logger) -> Result<Listeners, Report<DaemonError>> {
    Ok(Listeners {
        callers: bind(listen.callers, log).await?,
        admin: bind(listen.admin, log).await?,
        announce: bind(listen.announce, log).await?,
        control: bind(listen.control, log).await?,
        calls: bind(listen.calls, log).await?,
    })
}

pub(crate) async fn bind(
    address: SocketAddr,
    log: &Logger,
) -> Result<TcpListener, Report<DaemonError>> {
    let listener = TcpListener::bind(address).await;
    if let Err(error) = &listener {
        emit!(log, events::LISTEN_FAILED,
            "address" => address.to_string(), "error" => error.to_string());
    }
    listener.change_context(DaemonError::Listen(address))
}

/// Signals to the daemon.
struct SignalReceivers {
    /// Receives a message at SIGTERM or SIGINT.
    stop: Receiver<()>,
    /// Receives a message at SIGHUP. Of several in a row, the later ones may be left out.
    reload: Receiver<()>,
}

/// Handles signals on a thread.
fn handle_signals(log: Logger) -> Result<SignalReceivers, Report<DaemonError>> {
    let handled_signals = [SIGTERM, SIGINT, SIGHUP];
    let mut signals = Signals::new(handled_signals).change_context(DaemonError::Signals)?;
    let (stop_sender, stop) = bounded(1);
    let (reload_sender, reload) = bounded(1);
    std::thread::spawn(move || {
        for signal in signals.forever() {
            if signal != SIGHUP {
                // The receiver is dropped only if the daemon is stopping already.
                let _ = stop_sender.try_send(());
                return;
            }
            emit!(log, events::RELOAD_REQUESTED);
            // A queued message covers this signal: the file is read after the message is taken.
            let _ = reload_sender.try_send(());
        }
    });
    Ok(SignalReceivers { stop, reload })
}

async fn reload_seeds(shared: Arc<Shared>, reload: Receiver<()>) {
    while reload.recv().await.is_ok() {
        shared.seeds.reload(&shared.log).await;
    }
}
