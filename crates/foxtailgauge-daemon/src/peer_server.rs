//! Server side of the connections between daemons.

use crate::capacity;
use crate::control::consensus_link;
use crate::control::replica::group_of;
use crate::control::replica_search;
use crate::control::source;
use crate::emit;
use crate::events;
use crate::executor::call_executor::Executor;
use crate::executor::forward_executor::ForwardExecutor;
use crate::meter::{ByteCounters, MeteredStream};
use crate::shared::Shared;
use crate::socket;
use async_std::channel::{bounded, Receiver, Sender};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use capnp_rpc::RpcSystem;
use foxtailgauge_core::{InstanceState, PollReply, PollRequest, ReportRequest};
use foxtailgauge_wire::foxtailgauge_capnp::{calls, control};
use foxtailgauge_wire::handshake::{self, ConnectionKind};
use foxtailgauge_wire::{
    decode, encode, encode_compressed, CallRequest, FormationState, SubmitReply, SubmitRequest,
};
use futures::io::{AsyncReadExt, BufReader, BufWriter};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Number of threads that serve calls.
const CALL_THREADS: usize = 2;
/// Timeout of a handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Capacity of the connection queue of a serving thread.
const CONNECTION_QUEUE_CAPACITY: usize = 1024;

/// State used by the servers of one daemon.
#[derive(Clone)]
pub(crate) struct DaemonContext {
    pub(crate) shared: Arc<Shared>,
    pub(crate) executor: Arc<Executor>,
    /// Executes forwarded requests, on instances that forward plain HTTP.
    pub(crate) forward: Option<Arc<ForwardExecutor>>,
    /// Reply to formation queries of other replicas; `None` on daemons that are not replicas, and
    /// on a replica until it starts to form or rejoin the groups.
    pub(crate) formation: Arc<Mutex<Option<FormationState>>>,
}

/// Serves control and consensus connections.
pub(crate) fn serve_control(context: &DaemonContext, listener: TcpListener) {
    let metrics = &context.shared.metrics;
    let control = start_threads(context, 1, metrics.control.clone(), serve_control_stream);
    let consensus = start_threads(
        context,
        1,
        metrics.consensus.clone(),
        serve_consensus_stream,
    );
    let threads = HashMap::from([
        (ConnectionKind::Control, control),
        (ConnectionKind::Consensus, consensus),
    ]);
    task::spawn(accept(context.clone(), listener, threads));
}

/// Serves call connections.
pub(crate) fn serve_calls(context: &DaemonContext, listener: TcpListener) {
    let counters = context.shared.metrics.call_bytes.clone();
    let calls = start_threads(context, CALL_THREADS, counters, serve_calls_stream);
    let threads = HashMap::from([(ConnectionKind::Calls, calls)]);
    task::spawn(accept(context.clone(), listener, threads));
}

/// Serving threads by kind of connection.
type Threads = HashMap<ConnectionKind, Vec<Sender<TcpStream>>>;
type Metered = MeteredStream<TcpStream>;

fn start_threads(
    context: &DaemonContext,
    count: usize,
    counters: ByteCounters,
    serve: fn(DaemonContext, Metered),
) -> Vec<Sender<TcpStream>> {
    let start = |_| {
        let (sender, receiver): (_, Receiver<TcpStream>) = bounded(CONNECTION_QUEUE_CAPACITY);
        let context = context.clone();
        let counters = counters.clone();
        std::thread::spawn(move || {
            task::block_on(async move {
                while let Ok(stream) = receiver.recv().await {
                    serve(
                        context.clone(),
                        MeteredStream::new(stream, counters.clone()),
                    );
                }
            });
        });
        sender
    };
    (0..count).map(start).collect()
}

async fn accept(context: DaemonContext, listener: TcpListener, threads: Threads) {
    let threads = Arc::new(threads);
    let mut next_index: usize = 0;
    loop {
        let stream = socket::accept(&listener, &context.shared.log).await;
        next_index = next_index.wrapping_add(1);
        task::spawn(accept_handshake(
            context.clone(),
            stream,
            Arc::clone(&threads),
            next_index,
        ));
    }
}

/// Accepts the handshake of a connection, which proves knowledge of the cluster key, and passes the
/// connection to a thread that serves its kind.
async fn accept_handshake(
    context: DaemonContext,
    mut stream: TcpStream,
    threads: Arc<Threads>,
    connection_index: usize,
) {
    let shared = &context.shared;
    if socket::set_options(&stream).is_err() {
        return;
    }
    let handshake = handshake::accept(&mut stream, &shared.settings.cluster_key);
    let reason = match async_std::future::timeout(HANDSHAKE_TIMEOUT, handshake).await {
        Ok(Ok(hello)) => match (threads.get(&hello.kind), &context.forward) {
            (None, Some(forward)) if hello.kind == ConnectionKind::Forward => {
                let counters = shared.metrics.call_bytes.clone();
                return Arc::clone(forward)
                    .serve(MeteredStream::new(stream, counters))
                    .await;
            }
            (Some(serving), _) => {
                // The threads end only with the process.
                let _ = serving[connection_index % serving.len()].send(stream).await;
                return;
            }
            (None, _) => "kind of connection not served on this address".to_owned(),
        },
        Ok(Err(error)) => error.to_string(),
        Err(_) => "handshake timed out".to_owned(),
    };
    emit!(shared.log, events::PEER_REFUSED, "error" => reason);
}

fn serve_consensus_stream(context: DaemonContext, stream: Metered) {
    task::spawn_local(async move {
        let shared = Arc::clone(&context.shared);
        let deliver = |group, envelope, addr: &str, bytes| {
            shared
                .metrics
                .record_payload("received", "consensus", bytes);
            if let Some(replica) = shared.replica.get() {
                replica.group(group).deliver(envelope, addr.to_owned());
            }
        };
        // The sender opens another connection when this one ends.
        let _ = consensus_link::receive(BufReader::new(stream), deliver).await;
    });
}

fn serve_control_stream(context: DaemonContext, stream: Metered) {
    let client: control::Client = capnp_rpc::new_client(ControlServer { context });
    serve_stream(stream, client.client);
}

fn serve_calls_stream(context: DaemonContext, stream: Metered) {
    let client: calls::Client = capnp_rpc::new_client(CallsServer { context });
    serve_stream(stream, client.client);
}

fn serve_stream(stream: Metered, bootstrap: capnp::capability::Client) {
    let (reader, writer) = stream.split();
    let network = VatNetwork::new(
        BufReader::new(reader),
        BufWriter::new(writer),
        Side::Server,
        Default::default(),
    );
    let system = RpcSystem::new(Box::new(network), Some(bootstrap));
    task::spawn_local(async move {
        // A failed connection ends the calls on it; the client retries.
        let _ = system.await;
    });
}

struct CallsServer {
    context: DaemonContext,
}

impl calls::Server for CallsServer {
    async fn execute(
        self: Rc<Self>,
        params: calls::ExecuteParams,
        mut results: calls::ExecuteResults,
    ) -> Result<(), capnp::Error> {
        let request = CallRequest::read(params.get()?.get_request()?)?;
        let executor = Arc::clone(&self.context.executor);
        let reply = executor.execute(request).await;
        reply.write(results.get().init_reply());
        Ok(())
    }
}

struct ControlServer {
    context: DaemonContext,
}

impl ControlServer {
    /// Decodes a received payload and counts its bytes by kind.
    fn decode_payload<T: DeserializeOwned>(
        &self,
        kind: &'static str,
        bytes: &[u8],
    ) -> capnp::Result<T> {
        self.context
            .shared
            .metrics
            .record_payload("received", kind, bytes.len());
        decode(bytes).map_err(|error| capnp::Error::failed(error.to_string()))
    }
}

fn encode_reply(value: &impl Serialize) -> capnp::Result<Vec<u8>> {
    encode_compressed(value).map_err(|error| capnp::Error::failed(error.to_string()))
}

impl control::Server for ControlServer {
    async fn poll(
        self: Rc<Self>,
        params: control::PollParams,
        mut results: control::PollResults,
    ) -> Result<(), capnp::Error> {
        let request: PollRequest = self.decode_payload("poll", params.get()?.get_request()?)?;
        let shared = &self.context.shared;
        let reply = source::poll(shared, request).await;
        let bytes = match &reply {
            // The update is already compressed.
            PollReply::Changes {
                update: Some(_), ..
            } => encode(&reply).map_err(|error| capnp::Error::failed(error.to_string()))?,
            _ => encode_reply(&reply)?,
        };
        source::record_reply(shared, &reply, bytes.len());
        results.get().set_reply(&bytes);
        Ok(())
    }

    async fn report(
        self: Rc<Self>,
        params: control::ReportParams,
        mut results: control::ReportResults,
    ) -> Result<(), capnp::Error> {
        let request: ReportRequest = self.decode_payload("report", params.get()?.get_request()?)?;
        let reply = source::report(&self.context.shared, request);
        results.get().set_reply(&encode_reply(&reply)?);
        Ok(())
    }

    async fn probe(
        self: Rc<Self>,
        _params: control::ProbeParams,
        mut results: control::ProbeResults,
    ) -> Result<(), capnp::Error> {
        let reply = source::probe(&self.context.shared);
        results.get().set_reply(&encode_reply(&reply)?);
        Ok(())
    }

    async fn tell(
        self: Rc<Self>,
        params: control::TellParams,
        _results: control::TellResults,
    ) -> Result<(), capnp::Error> {
        let instance: InstanceState = self.decode_payload("tell", params.get()?.get_instance()?)?;
        let sender = instance.name.clone();
        self.context.shared.merge_instances(vec![instance], &sender);
        Ok(())
    }

    async fn submit(
        self: Rc<Self>,
        params: control::SubmitParams,
        mut results: control::SubmitResults,
    ) -> Result<(), capnp::Error> {
        let request: SubmitRequest = self.decode_payload("submit", params.get()?.get_request()?)?;
        let reply = submit(&self.context, request).await;
        results.get().set_reply(&encode_reply(&reply)?);
        Ok(())
    }
}

async fn submit(context: &DaemonContext, request: SubmitRequest) -> SubmitReply {
    let replica = context.shared.replica.get();
    match (request, replica) {
        (SubmitRequest::Formation, _) => {
            let formation = crate::shared::lock(&context.formation).clone();
            formation.map_or(SubmitReply::Unavailable, SubmitReply::Formation)
        }
        (SubmitRequest::Usage(request), _) => {
            let reply = context.shared.usage.collect(&request);
            reply.map_or(SubmitReply::Unavailable, SubmitReply::Usage)
        }
        (SubmitRequest::ServerLoads { service }, _) => {
            let (loads, left_out) = capacity::local_loads(context, service.as_deref());
            SubmitReply::ServerLoads { loads, left_out }
        }
        (SubmitRequest::ReadReplicas, _) => {
            SubmitReply::Replicas(replica_search::known_replicas(&context.shared))
        }
        (SubmitRequest::WorkspaceLoads, _) => match capacity::local_workspaces(&context.shared) {
            Some((loads, silent_collectors)) => SubmitReply::WorkspaceLoads {
                loads,
                silent_collectors,
            },
            None => SubmitReply::Unavailable,
        },
        (request, Some(replica)) => replica.group(group_of(&request)).submit(request).await,
        (_, None) => SubmitReply::Unavailable,
    }
}
