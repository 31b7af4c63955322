//! Rules of a single consensus node, each tested with the messages that could violate it.

use foxtailgauge_core::{
    AppendReply, AppendRequest, Entry, Envelope, HardState, LogIndex, Membership, Message, Node,
    Payload, PersistedState, Ready, Role, StateSnapshot, Term, VoteReply, VoteRequest, VoterStatus,
    MAX_ELECTION_TIMEOUT_MS,
};
use std::sync::Arc;

fn members() -> Membership {
    Membership::of_voters((1..=3).map(|id| (id, format!("address-{id}"))))
}

fn command(index: LogIndex, term: Term) -> Entry {
    Entry {
        index,
        term,
        payload: Payload::Command(Arc::new(vec![index as u8])),
    }
}

/// Node 1 in `current_term`, with the membership at index 1 and commands of `terms` from index 2
/// on.
fn node(current_term: Term, terms: &[Term]) -> Node {
    let (_, mut entries) = Node::initial_entries(&members());
    entries.extend((2..).zip(terms).map(|(index, term)| command(index, *term)));
    let persisted = PersistedState {
        hard_state: HardState {
            term: current_term,
            voted_for: None,
        },
        snapshot: None,
        entries,
    };
    Node::new(1, persisted, 0, 1)
}

fn step(node: &mut Node, from: u64, message: Message, now_ms: u64) -> Ready {
    let envelope = Envelope {
        from,
        to: 1,
        message,
    };
    node.step(envelope, now_ms);
    node.ready()
}

/// Guards against a follower that reports itself up to date in a one-way partition: the leader's
/// heartbeats arrive but the replies do not, so the leader learns of no gap and sends no entries.
#[test]
fn follower_missing_committed_entries_is_not_up_to_date() {
    let mut node = node(2, &[2]);
    step(&mut node, 2, append(2, (2, 2), Vec::new(), 2), 100);
    assert_eq!(node.quorum_age_ms(), Some(0));
    for now_ms in [200, 300, 400] {
        step(&mut node, 2, append(2, (3, 2), Vec::new(), 3), now_ms);
    }
    assert_eq!(node.quorum_age_ms(), Some(300));
    step(&mut node, 2, append(2, (2, 2), vec![command(3, 2)], 3), 500);
    assert_eq!(node.quorum_age_ms(), Some(0));
}

fn vote(term: Term, last_term: Term, last_index: LogIndex) -> Message {
    Message::Vote(VoteRequest {
        is_pre_vote: false,
        term,
        last_index,
        last_term,
    })
}

fn append(term: Term, prev: (LogIndex, Term), entries: Vec<Entry>, commit: LogIndex) -> Message {
    Message::Append(AppendRequest {
        term,
        prev_index: prev.0,
        prev_term: prev.1,
        entries,
        commit,
        round: 1,
    })
}

fn is_granted(ready: &Ready) -> bool {
    ready
        .messages
        .iter()
        .any(|envelope| match &envelope.message {
            Message::VoteReply(reply) => reply.is_granted,
            _ => false,
        })
}

/// Elects node 1 in the term after its current one, with the vote of node 2.
fn elect(node: &mut Node) {
    node.tick(MAX_ELECTION_TIMEOUT_MS + 1);
    let term = node.term() + 1;
    let reply = |is_pre_vote| {
        Message::VoteReply(VoteReply {
            is_pre_vote,
            term,
            is_granted: true,
        })
    };
    step(node, 2, reply(true), MAX_ELECTION_TIMEOUT_MS + 1);
    step(node, 2, reply(false), MAX_ELECTION_TIMEOUT_MS + 1);
    assert_eq!(node.role(), Role::Leader);
}

fn acknowledge(node: &mut Node, from: u64, index: LogIndex) {
    acknowledge_round(node, from, index, 0);
}

fn acknowledge_round(node: &mut Node, from: u64, index: LogIndex, round: u64) {
    let reply = AppendReply {
        term: node.term(),
        is_match: true,
        index,
        round,
    };
    step(
        node,
        from,
        Message::AppendReply(reply),
        MAX_ELECTION_TIMEOUT_MS + 2,
    );
}

#[test]
fn vote_is_granted_only_to_an_up_to_date_log() {
    // Last term and index of the candidate, and whether a voter whose log has the terms 1, 2, 2
    // grants the vote.
    let table = [
        ((2, 3), true),
        ((2, 4), true),
        ((3, 1), true),
        ((2, 2), false),
        ((1, 9), false),
    ];
    for ((last_term, last_index), expected) in table {
        let mut node = node(2, &[2, 2]);
        let ready = step(&mut node, 2, vote(5, last_term, last_index), 1);
        assert_eq!(is_granted(&ready), expected, "{last_term} {last_index}");
    }
}

#[test]
fn vote_is_granted_to_one_candidate_per_term() {
    let mut node = node(2, &[]);
    assert!(is_granted(&step(&mut node, 2, vote(5, 9, 9), 1)));
    assert!(!is_granted(&step(&mut node, 3, vote(5, 9, 9), 1)));
    assert!(
        is_granted(&step(&mut node, 2, vote(5, 9, 9), 1)),
        "a repeated request gets the same reply"
    );
}

#[test]
fn replica_with_recent_leader_contact_ignores_candidates() {
    let mut node = node(2, &[]);
    step(&mut node, 2, append(2, (1, 1), Vec::new(), 1), 10);
    let ready = step(&mut node, 3, vote(9, 9, 9), 20);
    assert!(ready.messages.is_empty());
    assert_eq!(node.term(), 2);
    // The vote is granted once the last leader contact is older than the election timeout.
    assert!(is_granted(&step(&mut node, 3, vote(9, 9, 9), 5_000)));
}

#[test]
fn leader_counts_its_own_entry_only_after_sync() {
    let mut node = node(1, &[]);
    elect(&mut node);
    let (index, _) = node.propose(b"x".to_vec()).unwrap();
    let ready = node.ready();
    acknowledge(&mut node, 2, index);
    assert!(node.commit() < index, "only one of three copies is synced");
    node.persisted(ready.last);
    assert_eq!(node.commit(), index);
}

/// Guards against a key that is read as never claimed while its claim is on its way into the log.
#[test]
fn read_after_proposals_waits_for_a_command_that_is_not_committed_yet() {
    let mut node = node(1, &[]);
    elect(&mut node);
    let ready = node.ready();
    node.persisted(ready.last);
    acknowledge(&mut node, 2, ready.last.0);
    node.take_committed();
    let (index, _) = node.propose(b"x".to_vec()).unwrap();
    let read = node.read_after_proposals().unwrap();
    acknowledge_round(&mut node, 2, index - 1, u64::MAX);
    let early = node.take_ready_reads();
    assert!(early.is_empty(), "{early:?} before index {index}");
    let ready = node.ready();
    node.persisted(ready.last);
    acknowledge(&mut node, 2, index);
    node.take_committed();
    let ready: Vec<u64> = node.take_ready_reads().iter().map(|r| r.read).collect();
    assert_eq!(ready, [read]);
}

#[test]
fn sync_of_a_replaced_entry_is_ignored() {
    let mut node = node(1, &[]);
    step(&mut node, 2, append(2, (1, 1), vec![command(2, 2)], 1), 1);
    let stale = (2, 2);
    step(&mut node, 3, append(3, (1, 1), vec![command(2, 3)], 2), 2);
    node.persisted(stale);
    let applied: Vec<LogIndex> = node
        .take_committed()
        .iter()
        .map(|entry| entry.index)
        .collect();
    assert!(!applied.contains(&2), "the entry of term 3 is not synced");
}

#[test]
fn entries_of_earlier_terms_are_not_committed_by_counting_replicas() {
    let mut node = node(2, &[2]);
    elect(&mut node);
    let ready = node.ready();
    node.persisted(ready.last);
    acknowledge(&mut node, 2, 2);
    assert!(
        node.commit() < 2,
        "index 2 is of term 2, the leader's term is 3"
    );
    acknowledge(&mut node, 2, 3);
    assert_eq!(
        node.commit(),
        3,
        "the entry of the leader's term commits both"
    );
}

#[test]
fn follower_applies_only_synced_entries() {
    let mut node = node(1, &[]);
    let ready = step(&mut node, 2, append(1, (1, 1), vec![command(2, 1)], 2), 1);
    let indexes = |node: &mut Node| -> Vec<LogIndex> {
        node.take_committed()
            .iter()
            .map(|entry| entry.index)
            .collect()
    };
    assert_eq!(indexes(&mut node), [1]);
    node.persisted(ready.last);
    assert_eq!(indexes(&mut node), [2]);
}

#[test]
fn snapshot_keeps_synced_entries_after_it() {
    let mut node = node(1, &[1, 1, 1, 1]);
    let snapshot = StateSnapshot {
        index: 3,
        term: 1,
        membership: members(),
        data: Arc::default(),
    };
    let message = Message::Snapshot {
        term: 1,
        round: 1,
        snapshot,
    };
    let ready = step(&mut node, 2, message, 1);
    assert!(ready.snapshot.is_none(), "the snapshot is not installed");
    assert_eq!(node.log().last_index(), 5);
    assert_eq!(node.commit(), 3);
}

/// Guards against a restarted replica that counts as caught up too early: its log has entries of
/// the term in which it stopped, but it cannot know what was committed since.
#[test]
fn restarted_replica_has_caught_up_only_once_a_leader_sent_its_commit() {
    // Delivers a message, persists its entries and applies those that are committed.
    let deliver = |node: &mut Node, message, now_ms| {
        let ready = step(node, 2, message, now_ms);
        node.persisted(ready.last);
        node.take_committed();
    };
    let mut node = node(1, &[]);
    let entries = vec![command(2, 1), command(3, 1)];
    deliver(&mut node, append(1, (1, 1), entries, 2), 1);
    assert!(node.has_caught_up());
    let persisted = PersistedState {
        hard_state: node.hard_state(),
        snapshot: node.compact(2, Vec::new()),
        entries: node.log().range(3, 10),
    };
    let mut restarted = Node::new(1, persisted, 0, 7);
    assert!(
        !restarted.has_caught_up(),
        "no commit index from a leader yet"
    );
    // The first message refers to an entry that the restarted replica does not have.
    deliver(&mut restarted, append(1, (4, 1), Vec::new(), 4), 1);
    assert!(!restarted.has_caught_up(), "entry 4 is missing");
    deliver(&mut restarted, append(1, (3, 1), vec![command(4, 1)], 4), 2);
    assert!(restarted.has_caught_up());
}

#[test]
fn late_duplicate_append_does_not_truncate_the_log() {
    let mut node = node(1, &[]);
    let entries = vec![command(2, 1), command(3, 1)];
    step(&mut node, 2, append(1, (1, 1), entries.clone(), 3), 1);
    step(&mut node, 2, append(1, (1, 1), entries[..1].to_vec(), 1), 2);
    assert_eq!(node.log().last_index(), 3);
    assert_eq!(node.commit(), 3);
}

fn all_responsive(_: u64) -> VoterStatus {
    VoterStatus::Responsive
}

/// A caught-up learner at another address replaces voter 2 only if that voter is replaceable.
#[test]
fn learner_at_another_address_replaces_a_voter_that_stays_unresponsive() {
    let members = members().with_learner(9, "elsewhere").unwrap();
    // Status of voter 2, and the voters after each change until no further change is due.
    let cases: [(VoterStatus, &[&[u64]]); 3] = [
        (VoterStatus::Responsive, &[&[1, 2, 3, 9]]),
        (VoterStatus::Unresponsive, &[]),
        (VoterStatus::Replaceable, &[&[1, 3], &[1, 3, 9]]),
    ];
    for (status_of_2, expected) in cases {
        let status = |id| match id {
            2 => status_of_2,
            _ => VoterStatus::Responsive,
        };
        let mut group = members.clone();
        let mut steps = Vec::new();
        while let Some(next) = group.next_change(|id| id == 9, status) {
            steps.push(next.voters().collect::<Vec<_>>());
            group = next;
        }
        assert_eq!(steps, expected, "{status_of_2:?}");
    }
}

#[test]
fn even_group_removes_a_replaced_voter_and_an_odd_one_keeps_it() {
    let status = |id| match id {
        2 => VoterStatus::Replaceable,
        _ => VoterStatus::Responsive,
    };
    let odd = members();
    assert_eq!(odd.next_change(|_| false, status), None);
    let even = odd
        .with_learner(9, "elsewhere")
        .and_then(|group| group.next_change(|id| id == 9, all_responsive))
        .unwrap();
    assert_eq!(even.voters().count(), 4);
    let next = even.next_change(|_| false, status).unwrap();
    assert_eq!(next.voters().collect::<Vec<_>>(), [1, 3, 9]);
    let unresponsive = |id| match id {
        2 => VoterStatus::Unresponsive,
        _ => VoterStatus::Responsive,
    };
    assert_eq!(even.next_change(|_| false, unresponsive), None);
    // The three that are left tolerate the loss of another one.
    assert!(next.has_quorum(|id| id != 9));
}

#[test]
fn membership_changes_one_voter_at_a_time() {
    let members = members().with_learner(9, "address-2").unwrap();
    let removed = members.next_change(|id| id == 9, all_responsive).unwrap();
    assert!(
        !removed.members.contains_key(&2),
        "the voter at the same address is removed first"
    );
    assert!(!removed.is_voter(9));
    let promoted = removed.next_change(|id| id == 9, all_responsive).unwrap();
    assert!(promoted.is_voter(9));
    assert_eq!(promoted.next_change(|_| true, all_responsive), None);
    assert_eq!(
        members.next_change(|_| false, all_responsive),
        None,
        "no promotion before the learner has caught up"
    );
}
