//! Driver of one consensus group on one replica: a thread that owns the consensus node, the store
//! and the state machine.

use crate::control::group_handle::{GroupEvent, GroupHandle, StatusCell};
use crate::control::state_machine::{rollout_entry, StateMachine};
use crate::control::store::{GroupStore, StoreError};
use crate::emit;
use crate::events;
use crate::metrics::GroupLabels;
use crate::rollout::order::log_rollout;
use crate::shared::{lock, unix_ms, Shared};
use async_std::channel::{bounded, Receiver};
use error_stack::Report;
use foxtailgauge_core::{
    Change, ChangeAnswer, Entry, Envelope, LedgerCommand, LogIndex, Membership, Node, Payload,
    PersistedState, ProposeError, RecoveredVoter, ReplicaId, Role, RolloutCommand, Term, WaitEnd,
    WaitingChanges,
};
use foxtailgauge_wire::{
    encode, encode_compressed, Group, GroupStatus, SubmitReply, SubmitRequest,
};
use futures::channel::oneshot;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Maximum number of events queued for a group's thread.
const EVENT_QUEUE_CAPACITY: usize = 16_384;
/// Maximum number of events handled before one sync.
const EVENTS_PER_ROUND: usize = 1_024;
/// Log length, in entries, at which a leader compacts even if followers still need the entries.
const COMPACT_MAX_ENTRIES: usize = 4_096;
/// Maximum time between two rounds; bounds the age of the published status.
const MAX_IDLE_TIME: Duration = Duration::from_millis(200);
/// Interval at which a replica looks whether its disk, which refused an operation, is usable again.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the leader proposes the expiry of old ledger keys.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(60);

/// The group that serves a request.
pub(crate) fn group_of(request: &SubmitRequest) -> Group {
    match request {
        SubmitRequest::Ledger(_) | SubmitRequest::ReadAction { .. } => Group::Ledger,
        SubmitRequest::Join { group, .. }
        | SubmitRequest::Leave { group, .. }
        | SubmitRequest::ReportVoter { group } => *group,
        _ => Group::Config,
    }
}

/// A group whose thread is not started yet.
pub(crate) struct OpenedGroup {
    driver: Driver,
    dir: PathBuf,
}

impl OpenedGroup {
    /// Starts the thread.
    pub(crate) fn start(self) -> GroupHandle {
        let OpenedGroup { driver, dir } = self;
        let (sender, receiver) = bounded(EVENT_QUEUE_CAPACITY);
        let status = Arc::clone(&driver.status);
        std::thread::spawn(move || run_group(driver, &dir, &receiver));
        GroupHandle { sender, status }
    }
}

/// Opens a group's store.
///
/// `is_sync_in_doubt` is whether an earlier attempt failed, after which the disk may hold less than a
/// read returns. `initial` is the group's initial membership, used if the store is empty. Without `initial`, a
/// store that was never written is an error ([`StoreError::Missing`]).
pub(crate) fn open_group(
    shared: &Arc<Shared>,
    group: Group,
    id: ReplicaId,
    dir: &Path,
    initial: Option<&Membership>,
    is_sync_in_doubt: bool,
) -> Result<OpenedGroup, Report<StoreError>> {
    let dir = dir.join(group.as_str());
    let (mut store, mut persisted, recovery) = GroupStore::open(&dir)?;
    if recovery.cut_bytes > 0 {
        emit!(shared.log, events::STORE_TAIL_TRUNCATED,
            "group" => group.as_str(), "cut_bytes" => recovery.cut_bytes);
    }
    let is_empty = persisted.entries.is_empty() && persisted.snapshot.is_none();
    if is_sync_in_doubt {
        store.rewrite(&persisted)?;
    }
    match initial {
        Some(initial) if is_empty => persisted = initialize(&mut store, initial)?,
        None if is_empty && persisted.hard_state == Default::default() => {
            return Err(Report::new(StoreError::Missing { path: dir }));
        }
        _ => {}
    }
    emit!(shared.log, events::STORE_OPENED,
        "group" => group.as_str(), "entries" => persisted.entries.len());
    let driver = Driver::new(shared, group, id, store, persisted)?;
    Ok(OpenedGroup { driver, dir })
}

/// Runs a group until the daemon exits, or until its store turns out to be damaged. A replica must not
/// go on without its store: it would forget its votes and acknowledged entries. While the disk refuses
/// operations it waits, and then starts again from what is stored.
fn run_group(mut driver: Driver, dir: &Path, receiver: &Receiver<GroupEvent>) {
    // Whether an operation failed after which the disk may hold less than a read returns.
    let mut is_sync_in_doubt = false;
    loop {
        let Err(error) = async_std::task::block_on(driver.run(receiver.clone())) else {
            return;
        };
        driver.publish_stopped();
        let mut error = error;
        driver = loop {
            emit!(driver.shared.log, events::STORE_FAILED, "error" => format!("{error:?}"));
            if !error.current_context().is_transient() {
                return;
            }
            is_sync_in_doubt |= !matches!(error.current_context(), StoreError::Full { .. });
            std::thread::sleep(REOPEN_INTERVAL);
            match driver.reopened(dir, is_sync_in_doubt) {
                Ok(reopened) => break reopened,
                Err(next) => error = next,
            }
        };
        is_sync_in_doubt = false;
    }
}

fn initialize(
    store: &mut GroupStore,
    initial: &Membership,
) -> Result<PersistedState, Report<StoreError>> {
    let (hard_state, entries) = if initial.members.is_empty() {
        // A learner starts without entries and receives them from the leader.
        (
            foxtailgauge_core::HardState {
                term: 1,
                voted_for: None,
            },
            Vec::new(),
        )
    } else {
        Node::initial_entries(initial)
    };
    let ready = foxtailgauge_core::Ready {
        hard_state: Some(hard_state),
        entries: entries.clone(),
        ..Default::default()
    };
    store.persist(&ready, hard_state)?;
    Ok(PersistedState {
        hard_state,
        snapshot: None,
        entries,
    })
}

struct PendingProposal {
    term: Term,
    reply: oneshot::Sender<SubmitReply>,
}

type ReadRequest = (SubmitRequest, oneshot::Sender<SubmitReply>);

struct Driver {
    shared: Arc<Shared>,
    group: Group,
    node: Node,
    store: GroupStore,
    state_machine: StateMachine,
    /// Committed entries that are not applied yet.
    unapplied: VecDeque<Entry>,
    /// Proposed commands that are not applied yet, by log index.
    pending_proposals: BTreeMap<LogIndex, PendingProposal>,
    /// Changes that are proposed once their base is in place.
    waiting_changes: WaitingChanges<oneshot::Sender<SubmitReply>>,
    /// Reads of the current round of events; they are started together, with one heartbeat.
    new_reads: Vec<ReadRequest>,
    /// Reads that wait until leadership is verified, by read id.
    pending_reads: HashMap<u64, Vec<ReadRequest>>,
    status: Arc<Mutex<StatusCell>>,
    /// Control address of each replica that has sent a message; used for replicas that are not in
    /// the membership yet.
    sender_addrs: HashMap<ReplicaId, String>,
    /// Voter to take over before the next round.
    recovered: Option<RecoveredVoter>,
    started: Instant,
    last_role: (Role, Term),
    last_members: Membership,
    broadcast_commit_index: LogIndex,
    /// Whether the configuration changed since it was last published.
    is_unpublished: bool,
    next_expiry_at: Instant,
}

impl Driver {
    fn new(
        shared: &Arc<Shared>,
        group: Group,
        id: ReplicaId,
        store: GroupStore,
        persisted: PersistedState,
    ) -> Result<Self, Report<StoreError>> {
        let state_machine = StateMachine::restore(group, persisted.snapshot.as_ref())?;
        let mut node = Node::new(id, persisted, 0, rand::random());
        if let Some(voter) = store.recovered_voter()? {
            node.recover(voter);
        }
        let status = StatusCell {
            replica: node.id(),
            status: group_status(group, &node),
            updated_at: Instant::now(),
            ledger_keys: 0,
        };
        let driver = Driver {
            shared: Arc::clone(shared),
            group,
            last_role: (node.role(), node.term()),
            last_members: node.membership().clone(),
            node,
            store,
            state_machine,
            unapplied: VecDeque::new(),
            pending_proposals: BTreeMap::new(),
            waiting_changes: WaitingChanges::default(),
            new_reads: Vec::new(),
            pending_reads: HashMap::new(),
            status: Arc::new(Mutex::new(status)),
            sender_addrs: HashMap::new(),
            recovered: None,
            started: Instant::now(),
            broadcast_commit_index: 0,
            is_unpublished: true,
            next_expiry_at: Instant::now(),
        };
        Ok(driver)
    }

    /// A driver of the same group that starts from what the store holds. Fails while the disk has no
    /// space or refuses other operations.
    fn reopened(&self, dir: &Path, is_sync_in_doubt: bool) -> Result<Self, Report<StoreError>> {
        let (mut store, persisted, _) = GroupStore::open(dir)?;
        match is_sync_in_doubt {
            true => store.rewrite(&persisted)?,
            false => store.check_space()?,
        }
        emit!(self.shared.log, events::STORE_OPENED,
            "group" => self.group.as_str(), "entries" => persisted.entries.len());
        let id = self.node.id();
        let mut driver = Driver::new(&self.shared, self.group, id, store, persisted)?;
        driver.status = Arc::clone(&self.status);
        driver.sender_addrs.clone_from(&self.sender_addrs);
        Ok(driver)
    }

    async fn run(&mut self, events: Receiver<GroupEvent>) -> Result<(), Report<StoreError>> {
        loop {
            match async_std::future::timeout(self.idle_time(), events.recv()).await {
                Ok(Ok(event)) => self.handle_event(event),
                Ok(Err(_)) => return Ok(()),
                Err(_) => {}
            }
            for _ in 1..EVENTS_PER_ROUND {
                match events.try_recv() {
                    Ok(event) => self.handle_event(event),
                    Err(_) => break,
                }
            }
            self.recover()?;
            self.start_reads();
            self.node.tick(self.now_ms());
            self.expire_keys();
            self.process_ready()?;
            while self.end_waits() {
                self.process_ready()?;
            }
            self.compact()?;
            self.broadcast_commit()?;
            self.publish_status();
        }
    }

    /// Time until the node's next tick or the end of a wait, at most `MAX_IDLE_TIME`; zero while
    /// entries wait to be applied.
    fn idle_time(&self) -> Duration {
        if !self.unapplied.is_empty() {
            return Duration::ZERO;
        }
        let wait_end_ms = self.waiting_changes.next_end_ms();
        let next_ms = wait_end_ms.map_or(self.node.next_tick_ms(), |end_ms| {
            end_ms.min(self.node.next_tick_ms())
        });
        let time_left_ms = next_ms.saturating_sub(self.now_ms());
        Duration::from_millis(time_left_ms).min(MAX_IDLE_TIME)
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn handle_event(&mut self, event: GroupEvent) {
        match event {
            GroupEvent::Message(envelope, sender_addr) => {
                self.sender_addrs.insert(envelope.from, sender_addr);
                let now_ms = self.now_ms();
                self.node.step(envelope, now_ms);
            }
            GroupEvent::Submit { request, reply } => self.submit(*request, reply),
            GroupEvent::Recover(voter) => self.recovered = Some(voter),
        }
    }

    fn submit(&mut self, request: SubmitRequest, reply: oneshot::Sender<SubmitReply>) {
        let result = match request {
            SubmitRequest::Change(change) if self.lacks_base(&change) => {
                let now_ms = self.now_ms();
                self.waiting_changes.push(change, reply, now_ms);
                return;
            }
            SubmitRequest::Change(change) => self.propose(&change),
            SubmitRequest::Ledger(command) => self.propose(&with_leader_time(command)),
            SubmitRequest::Rollout(command) => {
                let at_ms = unix_ms();
                self.propose(&rollout_entry(&RolloutCommand { at_ms, ..command }))
            }
            SubmitRequest::Join {
                replica,
                control_addr,
                ..
            } => {
                let _ = reply.send(self.join(replica, &control_addr));
                return;
            }
            SubmitRequest::Leave { replica, .. } => self.leave(replica),
            SubmitRequest::ReportVoter { .. } => {
                let _ = reply.send(SubmitReply::Voter(Box::new(self.node.voter_report())));
                return;
            }
            request => {
                self.new_reads.push((request, reply));
                return;
            }
        };
        self.await_result(result, reply);
    }

    /// Keeps the channel of a reply until the proposal is applied.
    fn await_result(
        &mut self,
        result: Result<(LogIndex, Term), SubmitReply>,
        reply: oneshot::Sender<SubmitReply>,
    ) {
        match result {
            Ok((index, term)) => {
                self.pending_proposals
                    .insert(index, PendingProposal { term, reply });
            }
            Err(error_reply) => {
                let _ = reply.send(error_reply);
            }
        }
    }

    /// Whether this replica leads, and the base of a change is missing or refused as far as it knows.
    fn lacks_base(&self, change: &Change) -> bool {
        self.node.role() == Role::Leader
            && self
                .state_machine
                .registry()
                .is_some_and(|r| r.is_base_missing(change) || r.is_base_refused(change))
    }

    /// Proposes the changes whose base has come, and answers those that waited long enough.
    /// Returns whether it proposed one.
    fn end_waits(&mut self) -> bool {
        let Some(registry) = self.state_machine.registry() else {
            return false;
        };
        if self.node.role() != Role::Leader {
            for reply in self.waiting_changes.take_all() {
                let _ = reply.send(SubmitReply::NotLeader { leader_addr: None });
            }
            return false;
        }
        let mut has_proposed = false;
        for end in self.waiting_changes.take_ended(registry, self.now_ms()) {
            match end {
                WaitEnd::Decide(change, reply) => {
                    let result = self.propose(&change);
                    self.await_result(result, reply);
                    has_proposed = true;
                }
                WaitEnd::BaseMissing(change, reply) => self.reply_base_missing(&change, reply),
            }
        }
        has_proposed
    }

    fn reply_base_missing(&self, change: &Change, reply: oneshot::Sender<SubmitReply>) {
        let base_number = change.document.as_ref().map_or(0, |d| d.base_number);
        emit!(self.shared.log, events::CHANGE_UNDECIDED,
            "team" => &change.team, "change_id" => &change.change_id, "base" => base_number);
        let _ = reply.send(SubmitReply::Change(ChangeAnswer::BaseMissing));
    }

    fn propose(
        &mut self,
        command: &impl serde::Serialize,
    ) -> Result<(LogIndex, Term), SubmitReply> {
        let bytes = encode_compressed(command).map_err(|_| SubmitReply::Unavailable)?;
        self.node
            .propose(bytes)
            .map_err(|error| self.propose_error_reply(error))
    }

    fn join(&mut self, replica: ReplicaId, control_addr: &str) -> SubmitReply {
        match self.node.add_learner(replica, control_addr) {
            Ok(_) | Err(ProposeError::Unchanged) => SubmitReply::Joined,
            Err(error) => self.propose_error_reply(error),
        }
    }

    /// Takes over a voter. It is stored first: a replica that restarts must not vote as another one.
    fn recover(&mut self) -> Result<(), Report<StoreError>> {
        let Some(mut voter) = self.recovered.take() else {
            return Ok(());
        };
        // A learner that was promoted meanwhile votes for itself.
        if self.node.membership().is_voter(self.node.id()) {
            return Ok(());
        }
        voter.forgotten_term = voter.forgotten_term.max(self.node.term());
        self.store.save_recovered_voter(voter)?;
        emit!(self.shared.log, events::VOTER_RECOVERING, "group" => self.group.as_str(),
            "forgotten_term" => voter.forgotten_term);
        self.node.recover(voter);
        Ok(())
    }

    fn leave(&mut self, replica: ReplicaId) -> Result<(LogIndex, Term), SubmitReply> {
        self.node.leave(replica).map_err(|error| match error {
            ProposeError::Unchanged => SubmitReply::Left,
            error => self.propose_error_reply(error),
        })
    }

    fn start_reads(&mut self) {
        if self.new_reads.is_empty() {
            return;
        }
        let requests = std::mem::take(&mut self.new_reads);
        let started = match self.group {
            Group::Config => self.node.read(),
            // A claim that is on its way into the log counts as made.
            Group::Ledger => self.node.read_after_proposals(),
        };
        match started {
            Ok(read) => {
                self.pending_reads.insert(read, requests);
            }
            Err(error) => {
                for (_, reply) in requests {
                    let _ = reply.send(self.propose_error_reply(error));
                }
            }
        }
    }

    fn propose_error_reply(&self, error: ProposeError) -> SubmitReply {
        match error {
            ProposeError::NotLeader { leader } => SubmitReply::NotLeader {
                leader_addr: leader
                    .and_then(|id| self.node.member_addr(id))
                    .map(str::to_owned),
            },
            ProposeError::MembershipBusy | ProposeError::Unchanged => SubmitReply::Unavailable,
        }
    }

    /// Processes the node's pending work: sends early messages, syncs the records, sends the
    /// messages that depend on the sync, applies a committed entry and replies to reads.
    ///
    /// At most one change of the configuration is applied, so that heartbeats are sent and answered in between: applying
    /// the log of a restarted replica takes longer than an election timeout.
    fn process_ready(&mut self) -> Result<(), Report<StoreError>> {
        let ready = self.node.ready();
        self.send(&ready.early_messages);
        if ready.has_records() {
            let started = Instant::now();
            self.store.persist(&ready, self.node.hard_state())?;
            self.record_sync(started.elapsed());
        }
        if let Some(snapshot) = &ready.snapshot {
            self.state_machine = StateMachine::restore(self.group, Some(snapshot))?;
            emit!(self.shared.log, events::SNAPSHOT_INSTALLED,
                "group" => self.group.as_str(), "index" => snapshot.index);
            self.is_unpublished = true;
            self.unapplied.retain(|entry| entry.index > snapshot.index);
        }
        self.node.persisted(ready.last);
        self.send(&ready.messages);
        self.unapplied.extend(self.node.take_committed());
        while let Some(entry) = self.unapplied.pop_front() {
            self.apply(&entry)?;
            // Records of the ledger are cheap to apply.
            if self.group == Group::Config {
                break;
            }
        }
        if self.unapplied.is_empty() {
            self.publish();
            self.reply_to_reads();
        }
        Ok(())
    }

    fn send(&self, envelopes: &[Envelope]) {
        for envelope in envelopes {
            let sender_addr = self.sender_addrs.get(&envelope.to).map(String::as_str);
            let Some(addr) = self.node.member_addr(envelope.to).or(sender_addr) else {
                continue;
            };
            let Ok(bytes) = encode(envelope) else {
                continue;
            };
            self.shared
                .metrics
                .record_payload("sent", "consensus", bytes.len());
            self.shared.clients.consensus.send(addr, self.group, bytes);
        }
    }

    fn apply(&mut self, entry: &Entry) -> Result<(), Report<StoreError>> {
        let reply = match &entry.payload {
            Payload::Command(bytes) => Some(self.apply_command(bytes)?),
            Payload::Membership(_) => Some(SubmitReply::Left),
            Payload::Noop => None,
        };
        let Some(pending) = self.pending_proposals.remove(&entry.index) else {
            return Ok(());
        };
        // An entry of another term at this index replaced the command: it was not committed.
        let reply = match reply {
            Some(reply) if pending.term == entry.term => reply,
            _ => SubmitReply::NotLeader { leader_addr: None },
        };
        let _ = pending.reply.send(reply);
        Ok(())
    }

    fn apply_command(&mut self, bytes: &[u8]) -> Result<SubmitReply, Report<StoreError>> {
        let labels = GroupLabels {
            group: self.group.as_str(),
        };
        self.shared.metrics.commits.get_or_create(&labels).inc();
        let applied = self.state_machine.apply(bytes)?;
        self.is_unpublished |= applied.is_new_version;
        if let Some((change, answer)) = &applied.change {
            self.log_change_answer(change, answer);
        }
        if let Some((command, answer)) = &applied.rollout {
            // The answer to a copy of an order has no new version.
            if applied.is_new_version && self.node.role() == Role::Leader {
                log_rollout(&self.shared.log, command, *answer);
            }
        }
        Ok(applied.reply)
    }

    fn log_change_answer(&self, change: &Change, answer: &ChangeAnswer) {
        if self.node.role() != Role::Leader {
            return;
        }
        let answer_text = format!("{answer:?}");
        match answer {
            ChangeAnswer::Accepted { .. } => emit!(self.shared.log, events::CHANGE_ACCEPTED,
                "team" => &change.team, "change_id" => &change.change_id,
                "author" => &change.author, "answer" => answer_text),
            _ => emit!(self.shared.log, events::CHANGE_REFUSED,
                "team" => &change.team, "change_id" => &change.change_id,
                "author" => &change.author, "answer" => answer_text),
        }
    }

    fn reply_to_reads(&mut self) {
        if self.node.role() != Role::Leader {
            for (_, reply) in self
                .pending_reads
                .drain()
                .flat_map(|(_, requests)| requests)
            {
                let _ = reply.send(SubmitReply::NotLeader { leader_addr: None });
            }
        }
        for ready in self.node.take_ready_reads() {
            for (request, reply) in self.pending_reads.remove(&ready.read).unwrap_or_default() {
                let _ = reply.send(self.read_reply(request));
            }
        }
    }

    fn read_reply(&self, request: SubmitRequest) -> SubmitReply {
        match request {
            SubmitRequest::Status => SubmitReply::Status(Box::new(self.shared.fleet_status())),
            SubmitRequest::Forget { daemon } => SubmitReply::Forgotten(self.shared.forget(&daemon)),
            request => self.state_machine.read(request),
        }
    }

    /// Sends a new commit index of the configuration group at once, so that followers need not wait
    /// for the next heartbeat to apply a change.
    fn broadcast_commit(&mut self) -> Result<(), Report<StoreError>> {
        let commit = self.node.commit();
        if self.group == Group::Config && commit > self.broadcast_commit_index {
            self.broadcast_commit_index = commit;
            self.node.broadcast_commit();
            self.process_ready()?;
        }
        Ok(())
    }

    fn compact(&mut self) -> Result<(), Report<StoreError>> {
        // The state machine must contain everything up to the index of the snapshot.
        let is_behind = !self.unapplied.is_empty();
        if is_behind || self.node.log().len() < self.state_machine.compaction_threshold() {
            return Ok(());
        }
        let index = self.node.applied();
        // A leader waits for followers that are close behind: sending them entries costs less than
        // sending a snapshot.
        let has_lagging_peers = self.node.role() == Role::Leader && !self.node.peers_have(index);
        if has_lagging_peers && self.node.log().len() < COMPACT_MAX_ENTRIES {
            return Ok(());
        }
        let data = self.state_machine.encode()?;
        let Some(snapshot) = self.node.compact(index, data) else {
            return Ok(());
        };
        let log = self.node.log();
        let remaining = log.range(log.start_index() + 1, log.len());
        self.store
            .save_snapshot(&snapshot, self.node.hard_state(), &remaining)?;
        emit!(self.shared.log, events::SNAPSHOT_SAVED,
            "group" => self.group.as_str(), "index" => index);
        Ok(())
    }

    fn expire_keys(&mut self) {
        let is_leader = self.group == Group::Ledger && self.node.role() == Role::Leader;
        if !is_leader || Instant::now() < self.next_expiry_at {
            return;
        }
        self.next_expiry_at = Instant::now() + EXPIRE_INTERVAL;
        let retention = self.shared.settings.ledger_retention.as_millis();
        let retention_ms = u64::try_from(retention).unwrap_or(u64::MAX);
        let command = LedgerCommand::Expire {
            before_ms: unix_ms().saturating_sub(retention_ms),
        };
        // If this replica is no longer leader, the next leader proposes the expiry.
        let _ = self.propose(&command);
    }

    /// Publishes the configuration to the daemon once the replica has caught up. A replica that has
    /// just started replays old versions first, which must not come into force again.
    fn publish(&mut self) {
        if !self.is_unpublished || !self.node.has_caught_up() {
            return;
        }
        self.is_unpublished = false;
        if let Some(snapshot) = self.state_machine.configuration() {
            self.shared.publish(snapshot);
        }
    }

    fn record_sync(&self, time: Duration) {
        let labels = GroupLabels {
            group: self.group.as_str(),
        };
        let metrics = &self.shared.metrics;
        metrics.syncs.get_or_create(&labels).inc();
        let sync_seconds = metrics.sync_seconds.get_or_create(&labels);
        sync_seconds.observe(time.as_secs_f64());
    }

    /// Publishes that this replica does not take part. The age of its contact goes on.
    fn publish_stopped(&self) {
        let mut cell = lock(&self.status);
        cell.status.role = Role::Follower;
        cell.status.leader = None;
    }

    /// Logs changes of role and membership, and updates the status that [`GroupHandle`] returns.
    fn publish_status(&mut self) {
        let role = (self.node.role(), self.node.term());
        if role != self.last_role {
            self.last_role = role;
            emit!(self.shared.log, events::ROLE_CHANGED, "group" => self.group.as_str(),
                "role" => format!("{:?}", role.0), "term" => role.1);
        }
        if *self.node.membership() != self.last_members {
            self.last_members = self.node.membership().clone();
            emit!(self.shared.log, events::MEMBERSHIP_CHANGED, "group" => self.group.as_str(),
                "voters" => self.last_members.voters().count(),
                "members" => self.last_members.members.len());
        }
        let mut cell = lock(&self.status);
        cell.replica = self.node.id();
        cell.status = group_status(self.group, &self.node);
        cell.updated_at = Instant::now();
        cell.ledger_keys = self.state_machine.ledger_keys();
    }
}

/// Replaces the times of a command by the leader's clock, keeping the length of a claim.
fn with_leader_time(mut command: LedgerCommand) -> LedgerCommand {
    let now_ms = unix_ms();
    match &mut command {
        LedgerCommand::Claim {
            at_ms, until_ms, ..
        } => {
            let claim_ms = until_ms.saturating_sub(*at_ms);
            *at_ms = now_ms;
            *until_ms = now_ms + claim_ms;
        }
        LedgerCommand::Void { at_ms, .. } => *at_ms = now_ms,
        _ => {}
    }
    command
}

fn group_status(group: Group, node: &Node) -> GroupStatus {
    GroupStatus {
        group,
        role: node.role(),
        term: node.term(),
        leader: node.leader(),
        commit_index: node.commit(),
        quorum_age_ms: node.quorum_age_ms(),
        members: node.membership().clone(),
    }
}
