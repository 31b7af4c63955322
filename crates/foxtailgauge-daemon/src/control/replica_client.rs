//! Finds the leader of a group and sends requests to it.

use crate::control::replica::group_of;
use crate::peer_client::{PeerError, PeerReply, PeerRequest};
use crate::shared::{lock, Shared};
use foxtailgauge_core::{ReplicaAddrs, VoterReport};
use foxtailgauge_wire::{decode, encode_compressed, Group, SubmitReply, SubmitRequest};
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Timeout of a request to one replica before another one is tried.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay before the next replica is tried while no leader is known.
const ROUND_DELAY: Duration = Duration::from_millis(40);

/// Reason for a missing reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SubmitError {
    /// No replica accepted the request: it has no effect.
    Unavailable,
    /// A replica may have accepted the request: it may have an effect.
    OutcomeUnknown,
}

impl std::fmt::Display for SubmitError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SubmitError::Unavailable => write!(f, "no replica accepted the request"),
            SubmitError::OutcomeUnknown => write!(f, "the request may have taken effect"),
        }
    }
}

impl std::error::Error for SubmitError {}

/// A client of the replicas.
#[derive(Clone)]
pub(crate) struct ReplicaClient {
    shared: Arc<Shared>,
    /// Address at which each group's leader was last found.
    leaders: Arc<Mutex<HashMap<Group, String>>>,
}

impl ReplicaClient {
    /// Creates a client without a known leader.
    pub(crate) fn new(shared: &Arc<Shared>) -> Self {
        ReplicaClient {
            shared: Arc::clone(shared),
            leaders: Arc::default(),
        }
    }

    /// Sends a request until a leader replies, for at most `timeout`. A request may reach the state
    /// machine twice, the second time long after its reply: an answer that is final there is kept.
    pub(crate) async fn submit(
        &self,
        request: SubmitRequest,
        timeout: Duration,
    ) -> Result<SubmitReply, SubmitError> {
        let deadline = Instant::now() + timeout;
        let group = group_of(&request);
        let mut is_outcome_unknown = false;
        let mut hint = lock(&self.leaders).get(&group).cloned();
        let mut addrs: VecDeque<String> = VecDeque::new();
        loop {
            let time_left = deadline.saturating_duration_since(Instant::now());
            if time_left.is_zero() {
                lock(&self.leaders).remove(&group);
                return Err(match is_outcome_unknown {
                    true => SubmitError::OutcomeUnknown,
                    false => SubmitError::Unavailable,
                });
            }
            // With a known leader the directory, which grows with the fleet, is not read.
            if hint.is_none() && addrs.is_empty() {
                addrs = self.next_round();
            }
            let Some(addr) = hint.take().or_else(|| addrs.pop_front()) else {
                async_std::task::sleep(ROUND_DELAY.min(time_left)).await;
                continue;
            };
            match self
                .submit_to(&addr, &request, time_left.min(ATTEMPT_TIMEOUT))
                .await
            {
                Ok(SubmitReply::NotLeader { leader_addr }) => {
                    hint = leader_addr.filter(|leader| *leader != addr);
                }
                Ok(SubmitReply::Unavailable) | Err(PeerError::NotSent) => {}
                Ok(SubmitReply::OutcomeUnknown) | Err(PeerError::NoResponse) => {
                    is_outcome_unknown = true
                }
                Ok(reply) => {
                    lock(&self.leaders).insert(group, addr);
                    return Ok(reply);
                }
            }
            if hint.is_none() {
                async_std::task::sleep(ROUND_DELAY.min(time_left)).await;
            }
        }
    }

    /// The known replicas in the order of one round: live ones first, from a random one on.
    fn next_round(&self) -> VecDeque<String> {
        let ReplicaAddrs { mut live, others } = self.shared.replica_addrs();
        let first = rand::random::<u32>() as usize % live.len().max(1);
        live.rotate_left(first);
        live.into_iter().chain(others).collect()
    }

    async fn submit_to(
        &self,
        addr: &str,
        request: &SubmitRequest,
        timeout: Duration,
    ) -> Result<SubmitReply, PeerError> {
        if let (true, Some(replica)) = (
            addr == self.shared.settings.advertise_control,
            self.shared.replica.get(),
        ) {
            let submit = replica.group(group_of(request)).submit(request.clone());
            let reply = async_std::future::timeout(timeout, submit).await;
            return reply.map_err(|_| PeerError::NoResponse);
        }
        self.submit_remote(addr, request, timeout).await
    }

    async fn submit_remote(
        &self,
        addr: &str,
        request: &SubmitRequest,
        timeout: Duration,
    ) -> Result<SubmitReply, PeerError> {
        let bytes = encode_compressed(request).map_err(|_| PeerError::NotSent)?;
        self.shared
            .metrics
            .record_payload("sent", "submit", bytes.len());
        let client = &self.shared.clients.control;
        match client
            .call(addr, PeerRequest::Submit(bytes), timeout)
            .await?
        {
            PeerReply::Payload(bytes) => decode(&bytes).map_err(|_| PeerError::NoResponse),
            PeerReply::Acknowledged | PeerReply::Call(_) => Err(PeerError::NoResponse),
        }
    }

    /// Asks one replica what it tells one that lost its disk.
    pub(crate) async fn voter_report(
        &self,
        addr: &str,
        group: Group,
        timeout: Duration,
    ) -> Option<VoterReport> {
        let request = SubmitRequest::ReportVoter { group };
        match self.submit_remote(addr, &request, timeout).await {
            Ok(SubmitReply::Voter(report)) => Some(*report),
            Ok(_) | Err(_) => None,
        }
    }

    /// Asks one replica whether it belongs to a group.
    pub(crate) async fn formation(&self, addr: &str, timeout: Duration) -> Option<SubmitReply> {
        self.submit_remote(addr, &SubmitRequest::Formation, timeout)
            .await
            .ok()
    }
}
