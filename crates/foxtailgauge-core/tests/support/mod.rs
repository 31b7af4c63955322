//! A simulated group of consensus nodes: disks lose unsynced writes, the network loses messages.
//!
//! Each test file uses only some of the items, hence `allow(dead_code)`.
#![allow(dead_code)]

use foxtailgauge_core::{
    Entry, Envelope, HardState, LogIndex, Membership, Node, Payload, PersistedState, Ready,
    RecoveredVoter, ReplicaId, Role, StateSnapshot, Term,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Step of the simulated clock, in milliseconds.
pub const STEP_MS: u64 = 10;

/// One replica: its disk, its node while it runs, and the commands it applied.
pub struct Replica {
    pub disk: PersistedState,
    pub node: Option<Node>,
    /// The voter that it took over, stored beside the disk.
    pub recovered: Option<RecoveredVoter>,
    /// Work taken from the node that is not synced yet; lost in a crash.
    unsynced: Option<Ready>,
    pub applied: Vec<(LogIndex, Term, Vec<u8>)>,
    /// Last synced term and vote, to check that the term never decreases and the vote never changes
    /// within a term.
    last_hard_state: HardState,
}

/// Faults of the network and the processes.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    pub max_delay_ms: u64,
    /// Steps per 1,000 in which a random replica crashes, or restarts if it is stopped.
    pub crash_permille: u32,
}

impl Faults {
    pub const NONE: Faults = Faults {
        loss_percent: 0,
        duplicate_percent: 0,
        max_delay_ms: 10,
        crash_permille: 0,
    };
}

/// A simulated group. Each step checks the safety properties.
pub struct Cluster {
    pub replicas: BTreeMap<ReplicaId, Replica>,
    pub now_ms: u64,
    pub faults: Faults,
    /// Replicas that neither receive nor send messages.
    pub isolated: BTreeSet<ReplicaId>,
    rng: StdRng,
    in_transit: Vec<(u64, Envelope)>,
    /// Observed leaders by term.
    leaders: BTreeMap<Term, ReplicaId>,
    /// Commands applied on any replica, by index.
    committed: BTreeMap<LogIndex, (Term, Vec<u8>)>,
    /// Commands acknowledged to the proposer: the replica that accepted them has applied them.
    pub acknowledged: BTreeSet<Vec<u8>>,
    pending_proposals: BTreeMap<(ReplicaId, LogIndex), (Term, Vec<u8>)>,
    next_command: u64,
    pub compaction_threshold: usize,
}

fn addr(id: ReplicaId) -> String {
    format!("address-{id}")
}

impl Cluster {
    pub fn new(voters: u64, seed: u64) -> Self {
        let membership = Membership::of_voters((1..=voters).map(|id| (id, addr(id))));
        let (hard_state, entries) = Node::initial_entries(&membership);
        let mut cluster = Cluster {
            replicas: BTreeMap::new(),
            now_ms: 0,
            faults: Faults::NONE,
            isolated: BTreeSet::new(),
            rng: StdRng::seed_from_u64(seed),
            in_transit: Vec::new(),
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            pending_proposals: BTreeMap::new(),
            next_command: 0,
            compaction_threshold: usize::MAX,
        };
        for id in 1..=voters {
            let disk = PersistedState {
                hard_state,
                snapshot: None,
                entries: entries.clone(),
            };
            cluster.add_replica(id, disk);
        }
        cluster
    }

    /// Adds a replica with an empty disk and a new identity; it is not a member yet.
    pub fn add_empty_replica(&mut self, id: ReplicaId) {
        self.add_replica(id, PersistedState::default());
    }

    fn add_replica(&mut self, id: ReplicaId, disk: PersistedState) {
        let replica = Replica {
            last_hard_state: disk.hard_state,
            disk,
            node: None,
            recovered: None,
            unsynced: None,
            applied: Vec::new(),
        };
        self.replicas.insert(id, replica);
        self.restart(id);
    }

    /// Stops a process; its unsynced writes are lost.
    pub fn crash(&mut self, id: ReplicaId) {
        if let Some(replica) = self.replicas.get_mut(&id) {
            replica.node = None;
            replica.unsynced = None;
        }
        self.pending_proposals
            .retain(|(proposer, _), _| *proposer != id);
    }

    /// Stops a process and removes its disk.
    pub fn lose_disk(&mut self, id: ReplicaId) {
        self.crash(id);
        self.replicas.remove(&id);
    }

    /// Starts a process from its disk.
    pub fn restart(&mut self, id: ReplicaId) {
        let seed = self.rng.random();
        let now_ms = self.now_ms;
        if let Some(replica) = self.replicas.get_mut(&id) {
            replica.applied = restore(replica.disk.snapshot.as_ref());
            let mut node = Node::new(id, replica.disk.clone(), now_ms, seed);
            if let Some(voter) = replica.recovered {
                node.recover(voter);
            }
            replica.node = Some(node);
        }
    }

    /// Lets a voter whose disk is lost, and whose process is not there, take part again by the reports
    /// of the voters that answer. Returns whether they permit it.
    ///
    /// `has_rule`: otherwise it votes as if it had kept its memory.
    pub fn recover(&mut self, id: ReplicaId, has_rule: bool) -> bool {
        let reachable = self
            .replicas
            .iter()
            .filter(|(peer, _)| !self.is_partitioned(**peer, id));
        let nodes = reachable.filter_map(|(_, replica)| replica.node.as_ref());
        let reports: Vec<_> = nodes.map(Node::voter_report).collect();
        let Some(voter) = RecoveredVoter::find(&addr(id), reports) else {
            return false;
        };
        assert_eq!(voter.id, id);
        self.add_replica(id, PersistedState::default());
        if has_rule {
            self.replicas.get_mut(&id).unwrap().recovered = Some(voter);
            self.restart(id);
        }
        true
    }

    /// Whether the process of the replica is stopped and its disk is there.
    pub fn is_stopped(&self, id: ReplicaId) -> bool {
        let replica = self.replicas.get(&id);
        replica.is_some_and(|replica| replica.node.is_none())
    }

    /// Whether the replica runs with its memory.
    pub fn has_memory(&self, id: ReplicaId) -> bool {
        let node = self
            .replicas
            .get(&id)
            .and_then(|replica| replica.node.as_ref());
        node.is_some_and(|node| !node.is_recovering() && node.log().last_index() > 0)
    }

    pub fn leader(&self) -> Option<ReplicaId> {
        let is_leader = |(_, replica): &(&ReplicaId, &Replica)| {
            replica
                .node
                .as_ref()
                .is_some_and(|node| node.role() == Role::Leader)
        };
        let mut leaders: Vec<_> = self.replicas.iter().filter(is_leader).collect();
        leaders.sort_by_key(|(_, replica)| replica.node.as_ref().map(Node::term));
        leaders.last().map(|(id, _)| **id)
    }

    pub fn node(&mut self, id: ReplicaId) -> &mut Node {
        self.replicas.get_mut(&id).unwrap().node.as_mut().unwrap()
    }

    /// Proposes a new command at a replica; returns it if the replica accepted it.
    pub fn propose_at(&mut self, id: ReplicaId) -> Option<Vec<u8>> {
        self.next_command += 1;
        let command = format!("command-{}", self.next_command).into_bytes();
        let node = self.replicas.get_mut(&id)?.node.as_mut()?;
        let (index, term) = node.propose(command.clone()).ok()?;
        self.pending_proposals
            .insert((id, index), (term, command.clone()));
        Some(command)
    }

    pub fn propose(&mut self) -> Option<Vec<u8>> {
        let leader = self.leader()?;
        self.propose_at(leader)
    }

    pub fn is_partitioned(&self, a: ReplicaId, b: ReplicaId) -> bool {
        self.isolated.contains(&a) || self.isolated.contains(&b)
    }

    /// Advances the clock by one step: deliveries, random crashes, ticks, disk syncs and checks.
    pub fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.deliver();
        self.crash_randomly();
        let ids: Vec<ReplicaId> = self.replicas.keys().copied().collect();
        for id in ids {
            self.run_replica(id);
        }
        self.check_leaders();
    }

    pub fn run_ms(&mut self, time_ms: u64) {
        for _ in 0..time_ms / STEP_MS {
            self.step();
        }
    }

    /// Steps until the condition holds and returns the time that took; panics after `limit_ms`.
    pub fn run_until(&mut self, limit_ms: u64, condition: impl Fn(&Cluster) -> bool) -> u64 {
        let start_ms = self.now_ms;
        while !condition(self) {
            assert!(
                self.now_ms < start_ms + limit_ms,
                "condition not met within {limit_ms} ms"
            );
            self.step();
        }
        self.now_ms - start_ms
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let (due, later) = std::mem::take(&mut self.in_transit)
            .into_iter()
            .partition(|(at_ms, _)| *at_ms <= now_ms);
        self.in_transit = later;
        for (_, envelope) in due {
            if self.is_partitioned(envelope.from, envelope.to) {
                continue;
            }
            if let Some(replica) = self.replicas.get_mut(&envelope.to) {
                if let Some(node) = &mut replica.node {
                    node.step(envelope, now_ms);
                }
            }
        }
    }

    fn crash_randomly(&mut self) {
        if self.rng.random_range(0..1000) >= self.faults.crash_permille {
            return;
        }
        let ids: Vec<ReplicaId> = self.replicas.keys().copied().collect();
        let id = ids[self.rng.random_range(0..ids.len())];
        match self.replicas[&id].node {
            Some(_) => self.crash(id),
            None => self.restart(id),
        }
    }

    fn run_replica(&mut self, id: ReplicaId) {
        let now_ms = self.now_ms;
        let mut sent = Vec::new();
        let replica = self.replicas.get_mut(&id).unwrap();
        let Some(node) = &mut replica.node else {
            return;
        };
        node.tick(now_ms);
        // A sync takes one step: the work taken in the previous step is durable now.
        if let Some(ready) = replica.unsynced.take() {
            // Only synced votes are checked: one lost in a crash before its sync was never sent.
            check_hard_state(&mut replica.last_hard_state, &ready);
            persist(&mut replica.disk, &ready);
            if let Some(snapshot) = &ready.snapshot {
                replica.applied = restore(Some(snapshot));
            }
            node.persisted(ready.last);
            sent.extend(ready.messages);
        }
        let ready = node.ready();
        sent.extend(ready.early_messages.clone());
        replica.unsynced = Some(ready);
        let entries = node.take_committed();
        let compacted = compact(replica, self.compaction_threshold);
        if let Some(snapshot) = compacted {
            let log = replica.node.as_ref().unwrap().log();
            replica.disk.entries = replica
                .disk
                .entries
                .iter()
                .filter(|entry| entry.index > snapshot.index)
                .cloned()
                .collect();
            assert_eq!(log.start_index(), snapshot.index);
            replica.disk.snapshot = Some(snapshot);
        }
        for entry in entries {
            self.apply(id, &entry);
        }
        for envelope in sent {
            self.send(envelope);
        }
    }

    fn apply(&mut self, id: ReplicaId, entry: &Entry) {
        let replica = self.replicas.get_mut(&id).unwrap();
        let last = replica.applied.last().map_or(0, |(index, _, _)| *index);
        assert!(entry.index > last, "entry applied twice or out of order");
        let Payload::Command(command) = &entry.payload else {
            return;
        };
        let command = command.as_ref().clone();
        replica
            .applied
            .push((entry.index, entry.term, command.clone()));
        // State machine safety: all replicas apply the same command at an index.
        let first = self
            .committed
            .entry(entry.index)
            .or_insert_with(|| (entry.term, command.clone()));
        assert_eq!(
            *first,
            (entry.term, command.clone()),
            "index {}",
            entry.index
        );
        if let Some((term, proposed)) = self.pending_proposals.remove(&(id, entry.index)) {
            if term == entry.term {
                assert_eq!(proposed, command);
                self.acknowledged.insert(command);
            }
        }
    }

    fn send(&mut self, envelope: Envelope) {
        if self.rng.random_range(0..100) < self.faults.loss_percent {
            return;
        }
        let copies = match self.rng.random_range(0..100) < self.faults.duplicate_percent {
            true => 2,
            false => 1,
        };
        for _ in 0..copies {
            let delay_ms = self.rng.random_range(1..=self.faults.max_delay_ms);
            self.in_transit
                .push((self.now_ms + delay_ms, envelope.clone()));
        }
    }

    /// Checks that there is at most one leader per term.
    fn check_leaders(&mut self) {
        for (id, replica) in &self.replicas {
            let Some(node) = &replica.node else { continue };
            if node.role() == Role::Leader {
                let first = self.leaders.entry(node.term()).or_insert(*id);
                assert_eq!(first, id, "two leaders in term {}", node.term());
            }
        }
    }

    /// Checks log matching: if two logs have an entry with the same index and term, they are equal
    /// up to that index.
    pub fn check_logs(&self) {
        let nodes: Vec<&Node> = self
            .replicas
            .values()
            .filter_map(|r| r.node.as_ref())
            .collect();
        for a in &nodes {
            for b in &nodes {
                let from = a.log().start_index().max(b.log().start_index()) + 1;
                let to = a.log().last_index().min(b.log().last_index());
                let mut must_match = false;
                for index in (from..=to).rev() {
                    let (x, y) = (a.log().get(index), b.log().get(index));
                    must_match |= x.map(|e| e.term) == y.map(|e| e.term);
                    assert!(!must_match || x == y, "logs differ at index {index}");
                }
            }
        }
    }

    /// Checks that the leader has applied every acknowledged command.
    pub fn check_acknowledged(&self) {
        let leader = self.leader().expect("a leader");
        let applied: BTreeSet<&Vec<u8>> = self.replicas[&leader]
            .applied
            .iter()
            .map(|(_, _, command)| command)
            .collect();
        for command in &self.acknowledged {
            assert!(
                applied.contains(command),
                "an acknowledged command is missing"
            );
        }
    }

    /// Ends all faults, restarts stopped replicas and waits until every replica has applied a new
    /// command; then checks the logs and the acknowledged commands.
    pub fn heal_and_converge(&mut self) {
        self.faults = Faults::NONE;
        self.isolated.clear();
        let stopped: Vec<ReplicaId> = self
            .replicas
            .iter()
            .filter(|(_, replica)| replica.node.is_none())
            .map(|(id, _)| *id)
            .collect();
        for id in stopped {
            self.restart(id);
        }
        self.run_until(30_000, |c| c.leader().is_some());
        let last = loop {
            if let Some(command) = self.propose() {
                break command;
            }
            self.step();
        };
        self.run_until(30_000, |c| {
            c.replicas
                .values()
                .all(|r| r.applied.last().is_some_and(|(_, _, x)| *x == last))
        });
        self.check_logs();
        self.check_acknowledged();
    }
}

fn persist(disk: &mut PersistedState, ready: &Ready) {
    if let Some(hard_state) = ready.hard_state {
        disk.hard_state = hard_state;
    }
    if let Some(snapshot) = &ready.snapshot {
        disk.snapshot = Some(snapshot.clone());
        disk.entries.clear();
    }
    if let Some(from) = ready.truncate_from {
        disk.entries.retain(|entry| entry.index < from);
    }
    disk.entries.extend(ready.entries.iter().cloned());
}

fn check_hard_state(last: &mut HardState, ready: &Ready) {
    if let Some(next) = ready.hard_state {
        assert!(next.term >= last.term, "term decreased");
        let is_second_vote =
            next.term == last.term && last.voted_for.is_some() && next.voted_for != last.voted_for;
        assert!(!is_second_vote, "two votes in term {}", next.term);
        *last = next;
    }
}

/// Snapshots the state machine of the tests, the list of applied commands, once the log has
/// `compaction_threshold` entries.
fn compact(replica: &mut Replica, compaction_threshold: usize) -> Option<StateSnapshot> {
    let node = replica.node.as_mut()?;
    // Only applied entries are compacted; these are synced.
    if node.log().len() < compaction_threshold {
        return None;
    }
    let index = replica.applied.last()?.0;
    let text: Vec<String> = replica
        .applied
        .iter()
        .map(|(index, term, command)| {
            format!("{index} {term} {}", String::from_utf8_lossy(command))
        })
        .collect();
    node.compact(index, text.join("\n").into_bytes())
}

fn restore(snapshot: Option<&StateSnapshot>) -> Vec<(LogIndex, Term, Vec<u8>)> {
    let Some(snapshot) = snapshot else {
        return Vec::new();
    };
    let text = String::from_utf8_lossy(&snapshot.data);
    let parse = |line: &str| {
        let mut parts = line.splitn(3, ' ');
        let index = parts.next()?.parse().ok()?;
        let term = parts.next()?.parse().ok()?;
        Some((index, term, parts.next()?.as_bytes().to_vec()))
    };
    text.lines().filter_map(parse).collect()
}
