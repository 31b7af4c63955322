//! One-way connections that carry consensus messages in frames.
//!
//! An RPC costs three messages per call, and consensus does not need its response: consensus
//! replies are separate messages. A frame is a length, the group's number and the encoded envelope;
//! the first frame of a connection contains the sender's control address instead. The receiver sends
//! one byte now and then as an acknowledgement; without it the sender reconnects.

use crate::meter::MeteredStream;
use crate::peer_client::{connect, PeerIdentity};
use crate::shared::lock;
use async_std::channel::{bounded, unbounded, Receiver, Sender};
use async_std::task;
use foxtailgauge_core::{AckMonitor, AckPacer, Envelope};
use foxtailgauge_wire::{decode, Group};
use futures::future::{select, Either};
use futures::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use std::collections::HashMap;
use std::io;
use std::pin::pin;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Capacity of the send queue of one replica, in messages.
const SEND_QUEUE_CAPACITY: usize = 4_096;
/// Largest frame, in bytes. A snapshot is sent in one frame.
const MAX_FRAME_BYTES: u32 = 256 << 20;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for writing one frame; an unresponsive or partitioned peer accepts no more data.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Acknowledgements read at once, of one byte each.
const ACK_BYTES: usize = 16;
/// Delay between attempts to connect.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// An encoded message in a send queue.
struct Frame {
    group: Group,
    envelope: Vec<u8>,
}

/// Outgoing connections to the other replicas, one for each address.
#[derive(Clone)]
pub(crate) struct ConsensusLinks {
    queues: Arc<Mutex<HashMap<String, Sender<Frame>>>>,
    /// Passes new links to the thread that serves them.
    new_links: Sender<(String, Receiver<Frame>)>,
}

/// Identity and control address that the sender presents on each link.
#[derive(Clone)]
struct SenderIdentity {
    identity: PeerIdentity,
    own_addr: String,
}

impl ConsensusLinks {
    /// Starts a thread that serves the links alone, so that no burst of calls delays a heartbeat.
    pub(crate) fn start(identity: PeerIdentity, own_addr: impl Into<String>) -> Self {
        let (new_links, links) = unbounded();
        let sender_identity = SenderIdentity {
            identity,
            own_addr: own_addr.into(),
        };
        std::thread::spawn(move || task::block_on(serve(sender_identity, links)));
        ConsensusLinks {
            queues: Arc::default(),
            new_links,
        }
    }

    /// Queues a message; drops it if the queue is full, as consensus retransmits lost messages.
    pub(crate) fn send(&self, addr: &str, group: Group, envelope: Vec<u8>) {
        let mut queues = lock(&self.queues);
        let queue = queues
            .entry(addr.to_owned())
            .or_insert_with(|| self.open(addr));
        let _ = queue.try_send(Frame { group, envelope });
    }

    fn open(&self, addr: &str) -> Sender<Frame> {
        let (sender, receiver) = bounded(SEND_QUEUE_CAPACITY);
        // The thread ends only with the process.
        let _ = self.new_links.try_send((addr.to_owned(), receiver));
        sender
    }
}

async fn serve(sender_identity: SenderIdentity, links: Receiver<(String, Receiver<Frame>)>) {
    while let Ok((addr, frames)) = links.recv().await {
        task::spawn_local(send_frames(sender_identity.clone(), addr, frames));
    }
}

impl SenderIdentity {
    async fn connect(&self, addr: &str) -> Option<impl AsyncRead + AsyncWrite + Unpin> {
        let connecting = connect(addr, &self.identity);
        let stream = async_std::future::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .ok()??;
        let mut stream = MeteredStream::new(stream, self.identity.counters.clone());
        let writing = write_frame(&mut stream, 0, self.own_addr.as_bytes());
        async_std::future::timeout(SEND_TIMEOUT, writing)
            .await
            .ok()?
            .ok()?;
        Some(stream)
    }
}

/// Sends the queued frames of one address and reconnects after a failure.
async fn send_frames(sender_identity: SenderIdentity, addr: String, frames: Receiver<Frame>) {
    loop {
        let Some(stream) = sender_identity.connect(&addr).await else {
            // Queued frames are stale by the time that a connection is open.
            while frames.try_recv().is_ok() {}
            task::sleep(RETRY_DELAY).await;
            continue;
        };
        let (mut reader, mut writer) = stream.split();
        let mut monitor = AckMonitor::default();
        let mut ack = [0; ACK_BYTES];
        loop {
            let next_frame = pin!(frames.recv());
            let next_ack = pin!(reader.read(&mut ack));
            let frame = match select(next_frame, next_ack).await {
                Either::Left((Ok(frame), _)) => frame,
                Either::Left((Err(_), _)) => return,
                Either::Right((Ok(count), _)) if count > 0 => {
                    monitor.acknowledged(Instant::now());
                    continue;
                }
                Either::Right(_) => break,
            };
            let writing = write_frame(&mut writer, frame.group.number(), &frame.envelope);
            let written = async_std::future::timeout(SEND_TIMEOUT, writing).await;
            if !matches!(written, Ok(Ok(()))) || monitor.sent(Instant::now()) {
                break;
            }
        }
    }
}

async fn write_frame(
    stream: &mut (impl AsyncWrite + Unpin),
    group_number: u8,
    payload: &[u8],
) -> io::Result<()> {
    let length = u32::try_from(payload.len()).map_err(|_| io::ErrorKind::InvalidInput)?;
    let mut frame = Vec::with_capacity(5 + payload.len());
    frame.extend_from_slice(&length.to_le_bytes());
    frame.push(group_number);
    frame.extend_from_slice(payload);
    stream.write_all(&frame).await
}

async fn read_frame(stream: &mut (impl AsyncRead + Unpin)) -> io::Result<(u8, Vec<u8>)> {
    let mut header = [0; 5];
    stream.read_exact(&mut header).await?;
    let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]);
    if length > MAX_FRAME_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut payload = vec![0; length as usize];
    stream.read_exact(&mut payload).await?;
    Ok((header[4], payload))
}

/// Reads messages from an accepted connection until it ends. Passes each to `deliver` with the
/// sender's control address and the size of the message in bytes.
pub(crate) async fn receive(
    mut stream: impl AsyncRead + AsyncWrite + Unpin,
    deliver: impl Fn(Group, Envelope, &str, usize),
) -> io::Result<()> {
    let (_, addr) = read_frame(&mut stream).await?;
    let addr = String::from_utf8(addr).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut pacer = AckPacer::default();
    loop {
        let (group_number, payload) = read_frame(&mut stream).await?;
        if pacer.is_due(Instant::now()) {
            let acknowledging = stream.write_all(&[0]);
            async_std::io::timeout(SEND_TIMEOUT, acknowledging).await?;
        }
        let group = Group::from_number(group_number).ok_or(io::ErrorKind::InvalidData)?;
        let envelope = decode(&payload).map_err(|_| io::ErrorKind::InvalidData)?;
        deliver(group, envelope, &addr, payload.len());
    }
}
