//! Voters that lose their disks, one at a time, while another one is gone for good, the network loses,
//! repeats and delays messages, processes crash and the membership changes.

mod support;

use foxtailgauge_core::{
    AppendRequest, Entry, Envelope, Membership, Message, Node, Payload, PersistedState,
    RecoveredVoter, Term, VoteRequest, VoterReport, MAX_ELECTION_TIMEOUT_MS,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;
use std::panic::catch_unwind;
use support::{Cluster, Faults};

const ELECTION_LIMIT_MS: u64 = 5 * MAX_ELECTION_TIMEOUT_MS;

fn elected_cluster(voters: u64, seed: u64) -> Cluster {
    let mut cluster = Cluster::new(voters, seed);
    cluster.run_until(ELECTION_LIMIT_MS, |c| c.leader().is_some());
    cluster
}

fn commit_one(cluster: &mut Cluster, limit_ms: u64) {
    let deadline_ms = cluster.now_ms + limit_ms;
    while cluster.now_ms < deadline_ms {
        let Some(command) = cluster.propose() else {
            cluster.step();
            continue;
        };
        for _ in 0..50 {
            cluster.step();
            if cluster.acknowledged.contains(&command) {
                return;
            }
        }
    }
    panic!("nothing committed within {limit_ms} ms");
}

/// Guards against a group of four that has no quorum any more: one voter is gone for good, another one
/// loses its disk at the same moment, also if either leads.
#[test]
fn disk_lost_at_the_moment_of_a_removal_is_survived() {
    for seed in 0..96 {
        let mut cluster = elected_cluster(4, seed);
        cluster.compaction_threshold = if seed % 2 == 0 { 6 } else { usize::MAX };
        for _ in 0..8 {
            commit_one(&mut cluster, 2_000);
        }
        let removed = seed % 4 + 1;
        let lost = (seed / 4 + seed) % 4 + 1;
        let lost = if lost == removed { lost % 4 + 1 } else { lost };
        let last = cluster.propose().expect("a leader");
        cluster.run_ms(seed % 7 * 10);
        cluster.lose_disk(removed);
        cluster.lose_disk(lost);
        let was_acknowledged = cluster.acknowledged.contains(&last);
        cluster.run_ms(1_000);
        let start_ms = cluster.now_ms;
        while !cluster.recover(lost, true) {
            cluster.run_ms(100);
            assert!(
                cluster.now_ms < start_ms + 3_000,
                "seed {seed}: not recovered"
            );
        }
        commit_one(&mut cluster, ELECTION_LIMIT_MS);
        assert!(cluster.has_memory(lost) || cluster.leader() != Some(lost));
        cluster.heal_and_converge();
        assert!(!was_acknowledged || cluster.acknowledged.contains(&last));
        cluster.run_until(2_000, |c| {
            let leader = c.leader().and_then(|id| c.replicas[&id].node.as_ref());
            leader.is_some_and(|node| node.membership().voters().count() == 3)
        });
    }
}

/// How a replica without a disk takes part again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    /// As in the product.
    Recovery,
    /// With the reports that the product requires, but votes and acknowledges as if it had its memory.
    CountsInFull,
    /// Under its old identity, whatever the others say.
    KeepsIdentity,
}

/// Random faults, in which up to `most_lost` voters at a time are without their memory.
fn run_faults(voters: u64, seed: u64, rule: Rule, most_lost: usize) -> Cluster {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x5eed);
    let mut cluster = Cluster::new(voters, seed);
    cluster.compaction_threshold = if seed % 3 == 0 { 12 } else { usize::MAX };
    cluster.faults = Faults {
        loss_percent: [0, 5, 15][seed as usize % 3],
        duplicate_percent: 5,
        max_delay_ms: [10, 80, 400][(seed / 3) as usize % 3],
        crash_permille: 2,
    };
    let mut lost = BTreeSet::new();
    let mut leaving: Option<u64> = None;
    for round in 0..200 {
        cluster.run_ms(10 * rng.random_range(1..40));
        for id in 1..=voters {
            if rng.random_bool(0.5) {
                cluster.propose_at(id);
            }
        }
        cluster.isolated.clear();
        if rng.random_bool(0.3) {
            cluster.isolated.insert(rng.random_range(1..=voters));
        }
        lost.retain(|id| !cluster.has_memory(*id));
        for id in &lost {
            if !cluster.replicas.contains_key(id) {
                return_without_disk(&mut cluster, *id, rule);
            }
        }
        if lost.len() < most_lost && rng.random_bool(0.15) {
            let id = rng.random_range(1..=voters);
            if cluster.has_memory(id) {
                cluster.lose_disk(id);
                lost.insert(id);
            }
        }
        // A replica that stops with its disk, and asks to join again later.
        if rng.random_bool(0.1) {
            if let Some(leader) = cluster.leader() {
                let id = rng.random_range(1..=voters);
                if cluster.node(leader).leave(id).is_ok() {
                    leaving = Some(id);
                }
            }
        }
        if let Some(id) = leaving.filter(|_| rng.random_bool(0.3)) {
            join_again(&mut cluster, id);
        }
        if round % 40 == 0 {
            cluster.check_logs();
        }
    }
    cluster
}

/// Ends the faults and waits until all replicas vote and have every command.
fn converge(cluster: &mut Cluster, voters: u64) {
    cluster.isolated.clear();
    cluster.faults = Faults::NONE;
    for id in 1..=voters {
        if cluster.is_stopped(id) {
            cluster.restart(id);
        }
    }
    for _ in 0..150 {
        cluster.run_ms(200);
        for id in 1..=voters {
            if cluster.replicas.contains_key(&id) {
                join_again(cluster, id);
            } else {
                return_without_disk(cluster, id, Rule::Recovery);
            }
        }
        if (1..=voters).all(|id| cluster.has_memory(id) && is_member(cluster, id)) {
            break;
        }
    }
    cluster.heal_and_converge();
}

/// Starts a replica whose disk is lost. With a leader it joins anew: the voter that it was is removed first,
/// and the simulation uses its identity again once no membership has it.
fn return_without_disk(cluster: &mut Cluster, id: u64, rule: Rule) {
    if rule == Rule::KeepsIdentity {
        return cluster.add_empty_replica(id);
    }
    if cluster.recover(id, rule == Rule::Recovery) {
        return;
    }
    if join_again(cluster, id) {
        cluster.add_empty_replica(id);
    }
}

/// Asks the leader to take in a replica that is no member. Returns whether it does.
fn join_again(cluster: &mut Cluster, id: u64) -> bool {
    let Some(leader) = cluster.leader() else {
        return false;
    };
    let node = cluster.node(leader);
    let is_member = node.membership().members.contains_key(&id);
    let is_idle = node.log().membership().0 <= node.commit();
    !is_member && is_idle && node.add_learner(id, &format!("address-{id}")).is_ok()
}

/// Guards against a recovering voter that ignores a leader which was elected meanwhile in the highest term that
/// was reported: it stayed without its memory for as long as that leader led.
#[test]
fn voter_that_recovers_during_an_election_has_its_memory_again() {
    let mut cluster = run_faults(4, 326, Rule::Recovery, 1);
    converge(&mut cluster, 4);
}

fn is_member(cluster: &Cluster, id: u64) -> bool {
    let leader = cluster
        .leader()
        .and_then(|leader| cluster.replicas[&leader].node.as_ref());
    leader.is_some_and(|node| node.membership().is_voter(id))
}

#[test]
fn no_command_is_lost_and_no_term_has_two_leaders() {
    for voters in [2, 3, 4, 5, 6] {
        for seed in 0..60 {
            let run = catch_unwind(|| {
                let mut cluster = run_faults(voters, seed, Rule::Recovery, 1);
                converge(&mut cluster, voters);
            });
            assert!(run.is_ok(), "{voters} voters, seed {seed}");
        }
    }
}

/// Two of four lose their disks at a time, and the only one that remembers an acknowledged command is cut off
/// once both have returned. Returns whether the others elect a leader without it.
fn is_elected_without_memory(seed: u64, rule: Rule) -> bool {
    let mut cluster = elected_cluster(4, seed);
    let first = cluster.leader().unwrap();
    let others: Vec<u64> = (1..=4).filter(|id| *id != first).collect();
    cluster.isolated.insert(others[0]);
    commit_one(&mut cluster, 2_000);
    let lost = &others[1..];
    lost.iter().for_each(|id| cluster.lose_disk(*id));
    cluster.isolated.clear();
    let has_rule = rule == Rule::Recovery;
    let start_ms = cluster.now_ms;
    while !cluster.recover(lost[0], has_rule) {
        cluster.step();
        assert!(cluster.now_ms < start_ms + 5_000, "not recovered");
    }
    assert!(cluster.recover(lost[1], has_rule));
    cluster.isolated.insert(first);
    for _ in 0..500 {
        cluster.step();
        if cluster.leader().is_some_and(|id| id != first) {
            return true;
        }
    }
    cluster.isolated.clear();
    commit_one(&mut cluster, ELECTION_LIMIT_MS);
    cluster.heal_and_converge();
    false
}

/// Guards against two votes without memory that count in full, and shows that such a fault is found.
#[test]
fn voters_without_memory_elect_nobody_without_one_that_remembers() {
    for seed in 0..20 {
        assert!(!is_elected_without_memory(seed, Rule::Recovery), "{seed}");
        assert!(
            is_elected_without_memory(seed, Rule::CountsInFull),
            "{seed}"
        );
    }
}

fn report(id: u64, voters: u64) -> VoterReport {
    VoterReport {
        id,
        term: 10 + id,
        agreed: Membership::of_voters((1..=voters).map(|id| (id, format!("address-{id}")))),
        agreed_index: 1,
        pending: None,
        has_leader: false,
        has_memory: true,
    }
}

#[test]
fn voter_is_recovered_only_by_enough_reports_that_agree() {
    let find = |reports: Vec<VoterReport>| RecoveredVoter::find("address-2", reports);
    let change = |report: VoterReport, f: fn(&mut VoterReport)| {
        let mut changed = report;
        f(&mut changed);
        changed
    };
    let (one, four) = (report(1, 4), report(4, 4));
    let found = find(vec![one.clone(), four.clone()]).expect("recovered");
    assert_eq!((found.id, found.forgotten_term), (2, 14));
    let pending = |report: VoterReport, removed: u64| {
        let mut pending = report.agreed.clone();
        pending.members.remove(&removed);
        VoterReport {
            pending: Some(pending),
            ..report
        }
    };
    // Voter 3 is gone, and its removal was not committed: what voter 2 did with 1 or 4 is known.
    let permitted = vec![pending(one.clone(), 3), four.clone()];
    assert!(find(permitted).is_some());
    let refused: [(&str, Vec<VoterReport>); 8] = [
        ("too few", vec![one.clone()]),
        ("one voter twice", vec![one.clone(), one.clone()]),
        (
            "an odd number",
            vec![report(1, 5), report(4, 5), report(3, 5)],
        ),
        (
            "a leader",
            vec![one.clone(), change(four.clone(), |r| r.has_leader = true)],
        ),
        (
            "no memory",
            vec![one.clone(), change(four.clone(), |r| r.has_memory = false)],
        ),
        (
            "a pending membership of which only one reports",
            vec![pending(one.clone(), 4), four.clone()],
        ),
        (
            "a later membership without this voter",
            vec![
                one.clone(),
                change(four.clone(), |r| {
                    r.agreed_index = 2;
                    r.agreed.members.remove(&2);
                }),
            ],
        ),
        ("another group", vec![report(1, 1), report(4, 1)]),
    ];
    for (case, reports) in refused {
        assert_eq!(find(reports), None, "{case}");
    }
}

/// Guards against a leader of a forgotten term that goes on: it believes entries to be here that are lost, and
/// would neither send them nor step down.
#[test]
fn forgotten_terms_are_over_for_a_recovering_voter() {
    const FORGOTTEN: Term = 7;
    let mut node = Node::new(90, PersistedState::default(), 0, 1);
    node.recover(RecoveredVoter {
        id: 2,
        forgotten_term: FORGOTTEN,
    });
    let mut answers = |message: Message| {
        let envelope = Envelope {
            from: 1,
            to: 2,
            message,
        };
        node.step(envelope, 10);
        let ready = node.ready();
        node.persisted(ready.last);
        let answers: Vec<Message> = ready.messages.into_iter().map(|e| e.message).collect();
        (answers, node.is_recovering())
    };
    let append = |term| {
        let membership = Membership::of_voters((1..=4).map(|id| (id, format!("address-{id}"))));
        Message::Append(AppendRequest {
            term,
            prev_index: 0,
            prev_term: 0,
            entries: vec![Entry {
                index: 1,
                term,
                payload: Payload::Membership(membership),
            }],
            commit: 0,
            round: 1,
        })
    };
    let vote = |term| {
        Message::Vote(VoteRequest {
            is_pre_vote: false,
            term,
            last_index: 9,
            last_term: FORGOTTEN,
        })
    };
    let (refused, is_recovering) = answers(append(FORGOTTEN));
    assert!(
        matches!(refused[..], [Message::AppendReply(ref reply)]
            if !reply.is_match && reply.term == FORGOTTEN + 1),
        "{refused:?}"
    );
    assert!(is_recovering);
    let (refused, _) = answers(vote(FORGOTTEN));
    assert!(
        matches!(refused[..], [Message::VoteReply(ref reply)] if !reply.is_granted),
        "{refused:?}"
    );
    let (granted, _) = answers(vote(FORGOTTEN + 1));
    assert!(
        matches!(granted[..], [Message::VoteWithoutMemory(ref reply)] if reply.is_granted),
        "{granted:?}"
    );
    let (acknowledged, is_recovering) = answers(append(FORGOTTEN + 1));
    assert!(matches!(acknowledged[..], [Message::AppendReply(ref reply)] if reply.is_match));
    assert!(!is_recovering, "an entry of a later term is stored");
}
