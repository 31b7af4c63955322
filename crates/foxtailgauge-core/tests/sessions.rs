//! Golden files of complete sessions: input events and resulting actions, on a manual clock.

use foxtailgauge_core::{
    Change, Directory, Envelope, InstanceState, MemberSet, Membership, Message, Node, Payload,
    PersistedState, Presence, Registry, ReportRequest, Snapshot, SnapshotHistory, SubscriberTable,
    Update, VersionCount,
};
use std::collections::VecDeque;
use std::fmt::Write;
use std::sync::Arc;

/// One line per message, without values that differ between runs.
fn format_message(envelope: &Envelope) -> String {
    let text = match &envelope.message {
        Message::Vote(m) => format!(
            "{} term {} last {}@{}",
            if m.is_pre_vote { "pre-vote?" } else { "vote?" },
            m.term,
            m.last_index,
            m.last_term
        ),
        Message::VoteReply(m) | Message::VoteWithoutMemory(m) => format!(
            "{} term {} {}",
            if m.is_pre_vote { "pre-vote" } else { "vote" },
            m.term,
            if m.is_granted { "granted" } else { "refused" }
        ),
        Message::Append(m) => {
            let payloads: Vec<String> = m
                .entries
                .iter()
                .map(|e| format_payload(&e.payload))
                .collect();
            format!(
                "append term {} after {}@{} [{}] commit {}",
                m.term,
                m.prev_index,
                m.prev_term,
                payloads.join(", "),
                m.commit
            )
        }
        Message::AppendReply(m) => format!(
            "{} term {} at {}",
            if m.is_match { "matches" } else { "differs" },
            m.term,
            m.index
        ),
        Message::HandOver { term } => format!("hand over term {term}"),
        Message::HandOverVote(m) => format!("hand-over vote? term {}", m.term),
        Message::Snapshot { term, snapshot, .. } => {
            format!("snapshot term {term} up to {}", snapshot.index)
        }
    };
    format!("{} -> {}: {text}", envelope.from, envelope.to)
}

fn format_payload(payload: &Payload) -> String {
    match payload {
        Payload::Noop => "noop".to_owned(),
        Payload::Command(bytes) => String::from_utf8_lossy(bytes).into_owned(),
        Payload::Membership(m) => format!("members {:?}", m.members.keys().collect::<Vec<_>>()),
    }
}

/// Three nodes. Messages arrive in order, and writes are persisted immediately.
struct Session {
    nodes: Vec<Node>,
    trace: String,
    now_ms: u64,
}

impl Session {
    fn new() -> Self {
        let members = Membership::of_voters((1..=3).map(|id| (id, format!("address-{id}"))));
        let (hard_state, entries) = Node::initial_entries(&members);
        let node = |id| {
            let persisted_state = PersistedState {
                hard_state,
                snapshot: None,
                entries: entries.clone(),
            };
            Node::new(id, persisted_state, 0, id)
        };
        Session {
            nodes: (1..=3).map(node).collect(),
            trace: String::new(),
            now_ms: 0,
        }
    }

    fn comment(&mut self, text: &str) {
        writeln!(self.trace, "# {text}").unwrap();
    }

    /// Advances one node's clock and delivers all resulting messages, except those from or to
    /// `isolated` nodes.
    fn tick(&mut self, id: usize, now_ms: u64, isolated: &[u64]) {
        self.now_ms = now_ms;
        self.nodes[id - 1].tick(now_ms);
        self.deliver_messages(isolated);
    }

    fn deliver_messages(&mut self, isolated: &[u64]) {
        let mut in_flight: VecDeque<Envelope> = VecDeque::new();
        loop {
            for node in &mut self.nodes {
                let ready = node.ready();
                node.persisted(ready.last);
                in_flight.extend(ready.early_messages);
                in_flight.extend(ready.messages);
                for entry in node.take_committed() {
                    let text = format_payload(&entry.payload);
                    writeln!(self.trace, "{} applies {} {text}", node.id(), entry.index).unwrap();
                }
            }
            let Some(envelope) = in_flight.pop_front() else {
                return;
            };
            let is_lost = isolated.contains(&envelope.to) || isolated.contains(&envelope.from);
            let suffix = if is_lost { "  (lost)" } else { "" };
            writeln!(self.trace, "{}{suffix}", format_message(&envelope)).unwrap();
            if !is_lost {
                let to = envelope.to as usize - 1;
                self.nodes[to].step(envelope, self.now_ms);
            }
        }
    }
}

#[test]
fn election_replication_and_an_isolated_leader() {
    let mut session = Session::new();
    session.comment("node 1 has no contact with a leader and starts an election");
    session.tick(1, 1_300, &[]);
    session.comment("a command is proposed");
    session.nodes[0].propose(b"one".to_vec()).unwrap();
    session.deliver_messages(&[]);
    session.comment("the next heartbeat carries the commit index");
    session.tick(1, 1_400, &[]);
    session.comment("node 1 is isolated and appends a command that it cannot commit");
    session.nodes[0].propose(b"lost".to_vec()).unwrap();
    session.deliver_messages(&[1]);
    session.comment("node 1 steps down");
    session.tick(1, 2_100, &[1]);
    writeln!(session.trace, "node 1 is {:?}", session.nodes[0].role()).unwrap();
    session.comment("node 2 starts an election without node 1");
    session.tick(2, 3_400, &[1]);
    session.nodes[1].propose(b"two".to_vec()).unwrap();
    session.deliver_messages(&[1]);
    session.comment("node 1 is connected again and drops its uncommitted entry");
    session.tick(2, 3_500, &[]);
    session.tick(2, 3_600, &[]);
    insta::assert_snapshot!("consensus", session.trace);
}

fn change(id: &str, base_revision: u64, text: &str) -> Change {
    Change {
        team: "rybar".to_owned(),
        change_id: id.to_owned(),
        base_revision,
        text: text.to_owned(),
        author: "eva".to_owned(),
        at_ms: 0,
        rollback_of: None,
        document: None,
    }
}

fn instance(name: &str, sequence: u64) -> InstanceState {
    InstanceState {
        name: name.to_owned(),
        failure_domain: "bratislava".to_owned(),
        incarnation: 1,
        sequence,
        control_addr: format!("{name}:1"),
        calls_addr: format!("{name}:2"),
        is_replica: false,
        presence: Presence::Live,
        servers: Vec::new(),
        suspects: Vec::new(),
    }
}

fn counts(subscribers: &SubscriberTable, version: u64) -> Vec<VersionCount> {
    subscribers.counts(("source", 1), "bratislava", version)
}

#[test]
fn change_is_distributed_to_a_subscriber_and_reported_back() {
    let mut trace = String::new();
    let mut registry = Registry::default();
    let mut source = SnapshotHistory::new(8);
    let mut current = Arc::new(Snapshot::empty());
    let mut directory = Directory::new("source", 1);
    let mut subscribers = SubscriberTable::default();
    let viewer = "[services/viewer]\n[routes/plans]\nprefix = /plans\nmethods = GET\n\
        service = viewer\ndeadline_ms = 1000\n";
    let texts = [
        ("first", 0, viewer.to_owned()),
        ("second", 1, format!("{viewer}[services/layout]\n")),
        ("race", 1, String::new()),
        (
            "bad",
            2,
            viewer.replace("service = viewer", "service = gone"),
        ),
        ("third", 2, viewer.replace("1000", "2000")),
    ];
    for (id, base, text) in texts {
        let answer = registry.apply(&change(id, base, &text));
        writeln!(trace, "{id} against revision {base}: {answer:?}").unwrap();
        if source.advance(Arc::new(registry.snapshot())).is_err() {
            continue;
        }
        let update = source.update_for(current.version, &current.digest).unwrap();
        let update_text = match &update {
            Update::Full(snapshot) => format!("full snapshot of version {}", snapshot.version),
            Update::Delta(delta) => format!(
                "delta {} to {}: services {:?}, routes {:?}",
                delta.base_version,
                delta.version,
                delta.services.keys().collect::<Vec<_>>(),
                delta.routes.keys().collect::<Vec<_>>()
            ),
        };
        writeln!(trace, "  source sends {update_text}").unwrap();
        current = current.with_update(&update).unwrap();
        let mut members = MemberSet::default();
        members.insert("leaf", 1);
        let report = ReportRequest {
            daemon: "leaf".to_owned(),
            incarnation: 1,
            instances: vec![instance("leaf", current.version)],
            counts: vec![VersionCount {
                failure_domain: "bratislava".to_owned(),
                version: current.version,
                members,
            }],
        };
        subscribers.report(report, &mut directory, 0);
        for count in counts(&subscribers, source.current().version) {
            writeln!(
                trace,
                "  {} daemons at version {}",
                count.members.daemons, count.version
            )
            .unwrap();
        }
    }
    for entry in registry.audit(None) {
        writeln!(
            trace,
            "audit {}: {} {:?}",
            entry.number, entry.change_id, entry.answer
        )
        .unwrap();
    }
    insta::assert_snapshot!("distribution", trace);
}
