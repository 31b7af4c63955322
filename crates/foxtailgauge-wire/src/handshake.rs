//! Mutual authentication with the cluster key on a new connection between daemons, before any
//! message.
//!
//! The initiator sends a hello: magic, connection kind, failure domain, name and a nonce. The
//! responder replies with its nonce and its proof; the initiator sends its proof last. Proofs are
//! HMAC-SHA-256 over a direction label, the initiator's hello and the responder's nonce.

use async_std::io::{Read, ReadExt, Write, WriteExt};
use hmac::{Hmac, Mac};
use rand::RngCore;
use sha2::Sha256;
use std::fmt;

/// First bytes of every connection between daemons.
const MAGIC: [u8; 4] = *b"FXG2";
/// Length of a nonce, in bytes.
const NONCE_BYTES: usize = 16;
/// Length of a proof (HMAC-SHA-256), in bytes.
const PROOF_BYTES: usize = 32;
/// Maximum length of a failure domain or daemon name, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Minimum length of a cluster key, in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// Secret shared by all daemons of a cluster.
#[derive(Clone)]
pub struct ClusterKey(Vec<u8>);

impl ClusterKey {
    /// Creates a key; `None` if it is shorter than [`MIN_KEY_BYTES`].
    pub fn new(bytes: impl Into<Vec<u8>>) -> Option<Self> {
        let bytes = bytes.into();
        (bytes.len() >= MIN_KEY_BYTES).then_some(ClusterKey(bytes))
    }

    fn mac(&self, label: &[u8], hello: &[u8], nonce: &[u8]) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).ok()?;
        mac.update(label);
        mac.update(hello);
        mac.update(nonce);
        Some(mac)
    }
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterKey(..)")
    }
}

/// Protocol that a connection carries after the handshake.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionKind {
    /// Configuration, directory and requests to the replicas.
    Control,
    /// Calls from a gateway to an executor.
    Calls,
    /// Consensus messages between replicas, in one direction.
    Consensus,
    /// Forwarded HTTP requests.
    Forward,
}

/// First message of the initiator, which identifies it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hello {
    /// Protocol that the connection carries.
    pub kind: ConnectionKind,
    /// Failure domain of the initiator.
    pub failure_domain: String,
    /// Daemon name of the initiator.
    pub name: String,
}

/// Why a handshake failed.
#[derive(Debug)]
pub enum HandshakeError {
    /// Reading or writing failed.
    Io(std::io::Error),
    /// The handshake is malformed, or the peer does not speak this protocol.
    Protocol,
    /// The peer does not hold the cluster key.
    WrongKey,
}

impl fmt::Display for HandshakeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HandshakeError::Io(error) => write!(f, "connection failed during handshake: {error}"),
            HandshakeError::Protocol => write!(f, "peer does not speak this protocol"),
            HandshakeError::WrongKey => write!(f, "peer does not hold the cluster key"),
        }
    }
}

impl std::error::Error for HandshakeError {}

impl From<std::io::Error> for HandshakeError {
    fn from(error: std::io::Error) -> Self {
        HandshakeError::Io(error)
    }
}

/// Performs the handshake as the initiator.
pub async fn connect(
    stream: &mut (impl Read + Write + Unpin),
    hello: &Hello,
    key: &ClusterKey,
) -> Result<(), HandshakeError> {
    let frame = encode_hello(hello).ok_or(HandshakeError::Protocol)?;
    stream.write_all(&frame).await?;
    let mut nonce = [0; NONCE_BYTES];
    stream.read_exact(&mut nonce).await?;
    let mut proof = [0; PROOF_BYTES];
    stream.read_exact(&mut proof).await?;
    let expected_mac = key
        .mac(b"accept", &frame, &nonce)
        .ok_or(HandshakeError::Protocol)?;
    expected_mac
        .verify_slice(&proof)
        .map_err(|_| HandshakeError::WrongKey)?;
    let own_mac = key
        .mac(b"connect", &frame, &nonce)
        .ok_or(HandshakeError::Protocol)?;
    stream.write_all(&own_mac.finalize().into_bytes()).await?;
    Ok(())
}

/// Performs the handshake as the responder; returns the hello of the authenticated initiator.
pub async fn accept(
    stream: &mut (impl Read + Write + Unpin),
    key: &ClusterKey,
) -> Result<Hello, HandshakeError> {
    let (hello, frame) = read_hello(stream).await?;
    let mut nonce = [0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut nonce);
    let own_mac = key
        .mac(b"accept", &frame, &nonce)
        .ok_or(HandshakeError::Protocol)?;
    let mut reply = nonce.to_vec();
    reply.extend_from_slice(&own_mac.finalize().into_bytes());
    stream.write_all(&reply).await?;
    let mut proof = [0; PROOF_BYTES];
    stream.read_exact(&mut proof).await?;
    let expected_mac = key
        .mac(b"connect", &frame, &nonce)
        .ok_or(HandshakeError::Protocol)?;
    expected_mac
        .verify_slice(&proof)
        .map_err(|_| HandshakeError::WrongKey)?;
    Ok(hello)
}

/// Reads the initiator's hello; returns it and its encoded bytes. It is not yet authenticated.
pub async fn read_hello(
    stream: &mut (impl Read + Unpin),
) -> Result<(Hello, Vec<u8>), HandshakeError> {
    let mut frame = vec![0; MAGIC.len() + 1];
    stream.read_exact(&mut frame).await?;
    if frame[..MAGIC.len()] != MAGIC {
        return Err(HandshakeError::Protocol);
    }
    let kind = match frame[MAGIC.len()] {
        0 => ConnectionKind::Control,
        1 => ConnectionKind::Calls,
        2 => ConnectionKind::Consensus,
        3 => ConnectionKind::Forward,
        _ => return Err(HandshakeError::Protocol),
    };
    let failure_domain = read_name(stream, &mut frame).await?;
    let name = read_name(stream, &mut frame).await?;
    let mut nonce = [0; NONCE_BYTES];
    stream.read_exact(&mut nonce).await?;
    frame.extend_from_slice(&nonce);
    let hello = Hello {
        kind,
        failure_domain,
        name,
    };
    Ok((hello, frame))
}

fn encode_hello(hello: &Hello) -> Option<Vec<u8>> {
    let mut frame = MAGIC.to_vec();
    frame.push(match hello.kind {
        ConnectionKind::Control => 0,
        ConnectionKind::Calls => 1,
        ConnectionKind::Consensus => 2,
        ConnectionKind::Forward => 3,
    });
    for name in [&hello.failure_domain, &hello.name] {
        if name.len() > MAX_NAME_BYTES {
            return None;
        }
        frame.push(u8::try_from(name.len()).ok()?);
        frame.extend_from_slice(name.as_bytes());
    }
    let mut nonce = [0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut nonce);
    frame.extend_from_slice(&nonce);
    Some(frame)
}

async fn read_name(
    stream: &mut (impl Read + Unpin),
    frame: &mut Vec<u8>,
) -> Result<String, HandshakeError> {
    let mut length = [0; 1];
    stream.read_exact(&mut length).await?;
    let name_bytes = usize::from(length[0]);
    if name_bytes > MAX_NAME_BYTES {
        return Err(HandshakeError::Protocol);
    }
    let mut bytes = vec![0; name_bytes];
    stream.read_exact(&mut bytes).await?;
    frame.push(length[0]);
    frame.extend_from_slice(&bytes);
    String::from_utf8(bytes).map_err(|_| HandshakeError::Protocol)
}
