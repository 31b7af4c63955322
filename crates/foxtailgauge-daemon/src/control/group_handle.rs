//! Handle to the thread of one consensus group.

use crate::shared::lock;
use async_std::channel::Sender;
use foxtailgauge_core::{Envelope, RecoveredVoter, ReplicaId};
use foxtailgauge_wire::{Group, GroupStatus, SubmitReply, SubmitRequest};
use futures::channel::oneshot;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// An event for a group's thread.
pub(crate) enum GroupEvent {
    /// A message from another replica, and the control address of its sender.
    Message(Envelope, String),
    /// A request, and the channel for its reply.
    Submit {
        request: Box<SubmitRequest>,
        reply: oneshot::Sender<SubmitReply>,
    },
    /// The voter whose identity this replica takes over, as its own disk is lost.
    Recover(RecoveredVoter),
}

/// Handle to one group's thread on this replica.
pub(crate) struct GroupHandle {
    pub(super) sender: Sender<GroupEvent>,
    pub(super) status: Arc<Mutex<StatusCell>>,
}

/// What a group's thread publishes after each round.
pub(super) struct StatusCell {
    /// Identity of this replica in the group.
    pub(super) replica: ReplicaId,
    pub(super) status: GroupStatus,
    pub(super) updated_at: Instant,
    pub(super) ledger_keys: u64,
}

impl GroupHandle {
    /// Queues a message. Drops it if the queue is full, because consensus sends it again.
    pub(crate) fn deliver(&self, envelope: Envelope, sender_addr: String) {
        let _ = self
            .sender
            .try_send(GroupEvent::Message(envelope, sender_addr));
    }

    /// Queues a request and waits for the reply.
    pub(crate) async fn submit(&self, request: SubmitRequest) -> SubmitReply {
        let (reply, reply_receiver) = oneshot::channel();
        let event = GroupEvent::Submit {
            request: Box::new(request),
            reply,
        };
        if self.sender.try_send(event).is_err() {
            return SubmitReply::Unavailable;
        }
        // The thread drops the reply channel only when it exits, and the command may be in its log.
        reply_receiver.await.unwrap_or(SubmitReply::OutcomeUnknown)
    }

    /// Identity of this replica in the group.
    pub(crate) fn replica(&self) -> ReplicaId {
        lock(&self.status).replica
    }

    /// Takes over the identity of a voter. Has no effect if the queue is full.
    pub(crate) fn recover(&self, voter: RecoveredVoter) {
        let _ = self.sender.try_send(GroupEvent::Recover(voter));
    }

    /// Status published by the last round.
    pub(crate) fn status(&self) -> GroupStatus {
        lock(&self.status).status.clone()
    }

    /// Time since the last contact with a quorum, in milliseconds.
    pub(crate) fn quorum_age_ms(&self) -> Option<u64> {
        let cell = lock(&self.status);
        let since_update_ms =
            u64::try_from(cell.updated_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        Some(cell.status.quorum_age_ms?.saturating_add(since_update_ms))
    }
}

/// Handles to the consensus groups of a daemon that is a replica.
pub(crate) struct ReplicaHandles {
    /// Configuration group.
    pub(crate) config: GroupHandle,
    /// Ledger group.
    pub(crate) ledger: GroupHandle,
}

impl ReplicaHandles {
    pub(crate) fn group(&self, group: Group) -> &GroupHandle {
        match group {
            Group::Config => &self.config,
            Group::Ledger => &self.ledger,
        }
    }

    /// Status of all groups.
    pub(crate) fn statuses(&self) -> Vec<GroupStatus> {
        vec![self.config.status(), self.ledger.status()]
    }

    /// Number of keys in the ledger.
    pub(crate) fn ledger_keys(&self) -> u64 {
        lock(&self.ledger.status).ledger_keys
    }
}
