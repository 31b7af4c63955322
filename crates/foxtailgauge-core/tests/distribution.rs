//! Deltas, the directory and reports: delayed, repeated or truncated updates, wrong bases, and
//! subscribers that move.

use foxtailgauge_core::{
    parse_team, relays, sources, Cursor, Delta, Directory, Freshness, InstanceState, MemberSet,
    Presence, ReportRequest, SessionLimit, Snapshot, SnapshotError, SnapshotHistory,
    SubscriberTable, Update, VersionCount, SUBSCRIBER_LEASE_MS,
};
use std::collections::BTreeMap;
use std::sync::Arc;

fn snapshot(version: u64, services: usize) -> Arc<Snapshot> {
    let text: String = (0..services)
        .map(|n| {
            format!(
                "[services/s{n}]\n[routes/r{n}]\nprefix = /r{n}\nmethods = GET\n\
                 service = s{n}\ndeadline_ms = 1000\n"
            )
        })
        .collect();
    let config = parse_team("rybar", &text).unwrap();
    let teams = BTreeMap::from([("rybar".to_owned(), config)]);
    Arc::new(Snapshot::from_teams(version, &teams))
}

fn delta(base: &Snapshot, next: &Snapshot) -> Delta {
    next.delta_from(base)
}

#[test]
fn delta_produces_the_complete_snapshot() {
    let (one, two) = (snapshot(1, 3), snapshot(2, 5));
    for (base, next) in [(&one, &two), (&one, &snapshot(2, 1))] {
        let update = Update::Delta(Box::new(delta(base, next)));
        assert_eq!(base.with_update(&update).unwrap(), *next);
    }
}

#[test]
fn invalid_updates_are_rejected() {
    let (one, two, three) = (snapshot(1, 3), snapshot(2, 5), snapshot(3, 4));
    let valid = delta(&two, &three);
    let mut truncated = valid.clone();
    truncated.services.clear();
    let mut dangling = delta(&two, &snapshot(3, 6));
    dangling.services.clear();
    let mut altered = Snapshot::clone(&three);
    altered.services.clear();
    let table = [
        (
            "wrong base",
            &one,
            Update::Delta(Box::new(valid.clone())),
            SnapshotError::BaseMismatch,
        ),
        (
            "older delta",
            &three,
            Update::Delta(Box::new(delta(&one, &two))),
            SnapshotError::OlderVersion,
        ),
        (
            "truncated delta",
            &two,
            Update::Delta(Box::new(truncated)),
            SnapshotError::DigestMismatch,
        ),
        (
            "dangling reference",
            &two,
            Update::Delta(Box::new(dangling)),
            SnapshotError::DigestMismatch,
        ),
        (
            "older full snapshot",
            &two,
            Update::Full(Arc::clone(&one)),
            SnapshotError::OlderVersion,
        ),
        (
            "altered full snapshot",
            &two,
            Update::Full(Arc::new(altered)),
            SnapshotError::DigestMismatch,
        ),
    ];
    for (name, current, update, expected) in table {
        assert_eq!(
            current.with_update(&update).unwrap_err(),
            expected,
            "{name}"
        );
    }
    // The same delta again: its base is no longer the current snapshot.
    let update = Update::Delta(Box::new(valid));
    let after = two.with_update(&update).unwrap();
    assert_eq!(
        after.with_update(&update).unwrap_err(),
        SnapshotError::BaseMismatch
    );
}

#[test]
fn dangling_reference_is_rejected_even_with_a_matching_digest() {
    let mut teams = BTreeMap::new();
    let mut config = parse_team("rybar", "[services/s]\n").unwrap();
    let route = "[services/t]\n[routes/r]\nprefix = /r\nmethods = GET\n\
        service = t\ndeadline_ms = 1000\n";
    config.routes = parse_team("rybar", route).unwrap().routes;
    teams.insert("rybar".to_owned(), config);
    let dangling = Arc::new(Snapshot::from_teams(1, &teams));
    let update = Update::Full(dangling);
    assert_eq!(
        Snapshot::empty().with_update(&update).unwrap_err(),
        SnapshotError::DanglingReference
    );
}

#[test]
fn history_serves_deltas_and_falls_back_to_full_snapshots() {
    let mut history = SnapshotHistory::new(2);
    let versions: Vec<_> = (1..=4).map(|n| snapshot(n, n as usize)).collect();
    for version in &versions {
        history.advance(Arc::clone(version)).unwrap();
    }
    assert_eq!(
        history.advance(Arc::clone(&versions[1])),
        Err(SnapshotError::OlderVersion)
    );
    assert_eq!(
        history.advance(Arc::clone(&versions[3])),
        Err(SnapshotError::OlderVersion)
    );
    let update_for = |base: &Snapshot| history.update_for(base.version, &base.digest);
    assert_eq!(update_for(&versions[3]), None);
    assert!(matches!(update_for(&versions[2]), Some(Update::Delta(_))));
    assert!(
        matches!(update_for(&versions[0]), Some(Update::Full(_))),
        "no longer in the history"
    );
    let other = history.update_for(3, &[0; 32]);
    assert!(
        matches!(other, Some(Update::Full(_))),
        "same version with another content"
    );
}

/// Versions that a storm of changes puts in force one after another.
const STORM_VERSIONS: u64 = 60;

/// Each version of a storm changes one of the routes. A history that kept whole versions would hold
/// each route once for each version.
#[test]
fn memory_of_past_versions_does_not_grow_with_the_configuration() {
    for route_count in [20, 200, 2_000] {
        let mut history = SnapshotHistory::new(256);
        history.advance(snapshot(1, route_count)).unwrap();
        let unchanged = Arc::clone(&history.current().routes["rybar/r1"]);
        let mut references = Vec::new();
        for version in 2..STORM_VERSIONS {
            let mut next = Snapshot::clone(history.current());
            next.version = version;
            let mut changed = foxtailgauge_core::Route::clone(&next.routes["rybar/r0"]);
            changed.deadline_ms = version;
            next.routes.insert("rybar/r0".to_owned(), Arc::new(changed));
            history.advance(Arc::new(next)).unwrap();
            references.push(Arc::strong_count(&unchanged));
        }
        assert!(
            references.iter().all(|count| *count == references[0]),
            "{route_count} routes: references to an unchanged one {references:?}"
        );
    }
}

/// Guards against a route that stays public at daemons which received the change as a delta.
#[test]
fn change_of_a_public_route_is_part_of_the_delta_and_of_the_digest() {
    let version = |version: u64, public: bool| {
        let text = format!(
            "[services/s]\n[routes/r]\nprefix = /r\nmethods = GET\nservice = s\n\
             deadline_ms = 1000\npublic = {public}\n"
        );
        let teams = BTreeMap::from([("rybar".to_owned(), parse_team("rybar", &text).unwrap())]);
        Arc::new(Snapshot::from_teams(version, &teams))
    };
    let (public, private) = (version(1, true), version(2, false));
    assert_ne!(version(2, true).digest, private.digest);
    let update = Update::Delta(Box::new(delta(&public, &private)));
    assert_eq!(public.with_update(&update).unwrap(), private);
}

#[test]
fn composed_deltas_have_the_effect_of_each_in_turn() {
    let versions: Vec<Arc<Snapshot>> = [3, 5, 1, 4, 2]
        .iter()
        .zip(1..)
        .map(|(services, version)| snapshot(version, *services))
        .collect();
    let mut history = SnapshotHistory::new(8);
    for version in &versions {
        history.advance(Arc::clone(version)).unwrap();
    }
    for base in &versions[..versions.len() - 1] {
        let update = history.update_for(base.version, &base.digest).unwrap();
        assert!(matches!(update, Update::Delta(_)), "{update:?}");
        assert_eq!(base.with_update(&update).unwrap(), versions[4]);
    }
}

fn instance(name: &str, domain: &str, sequence: u64) -> InstanceState {
    InstanceState {
        name: name.to_owned(),
        failure_domain: domain.to_owned(),
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

fn names(states: &[InstanceState]) -> Vec<&str> {
    states.iter().map(|state| state.name.as_str()).collect()
}

#[test]
fn cursor_reads_each_change_once_and_skips_the_readers_own() {
    let mut directory = Directory::new("source", 7);
    directory.set_own(instance("source", "a", 1));
    directory.merge(vec![instance("x", "a", 1), instance("y", "a", 1)], "x");
    let (all, cursor) = directory.changes_since(None, "z");
    assert_eq!(names(&all), ["source", "x", "y"]);
    let start = Cursor { epoch: 7, stamp: 0 };
    let (own, _) = directory.changes_since(Some(start), "x");
    assert_eq!(
        names(&own),
        ["source"],
        "without the entries that the reader reported"
    );
    let (all, _) = directory.changes_since(None, "x");
    assert_eq!(
        all.len(),
        3,
        "a restarted reader also needs the entries it reported"
    );
    assert!(directory.changes_since(Some(cursor), "z").0.is_empty());
    directory.merge(vec![instance("y", "a", 2), instance("x", "a", 1)], "x");
    let (changes, _) = directory.changes_since(Some(cursor), "z");
    assert_eq!(names(&changes), ["y"], "an equal state is not a change");
    assert!(
        !directory.merge(vec![instance("y", "a", 1)], "x"),
        "an older state is not a change"
    );
    let foreign = Cursor {
        epoch: 8,
        stamp: 100,
    };
    assert_eq!(
        directory.changes_since(Some(foreign), "z").0.len(),
        3,
        "cursor of another process"
    );
}

#[test]
fn lost_mark_is_refuted_by_a_newer_state() {
    let mut directory = Directory::new("x", 7);
    directory.set_own(instance("x", "a", 1));
    let mut lost = instance("x", "a", 1);
    lost.presence = Presence::Lost;
    assert!(directory.merge(vec![lost], "source"));
    assert_eq!(directory.live().count(), 0);
    let sequence = directory.own_refutation().unwrap();
    assert!(directory.set_own(instance("x", "a", sequence + 1)));
    assert_eq!(directory.own_refutation(), None);
    assert_eq!(directory.live().count(), 1);
}

#[test]
fn lost_daemon_stays_in_the_directory_until_it_is_forgotten() {
    let mut directory = Directory::new("root", 7);
    directory.merge(vec![instance("x", "a", 1)], "x");
    assert!(!directory.forget("x"), "a live daemon cannot be forgotten");
    assert!(directory.mark_lost("x"));
    assert_eq!(directory.get("x").unwrap().presence, Presence::Lost);
    assert!(directory.forget("x"));
    assert_eq!(directory.get("x").unwrap().presence, Presence::Stopped);
    assert!(
        directory.merge(vec![instance("x", "a", 2)], "x"),
        "a newer state makes it live again"
    );
    assert!(directory.get("x").unwrap().is_live());
}

fn report(subscriber: &str, instances: Vec<InstanceState>) -> ReportRequest {
    let mut members = MemberSet::default();
    members.insert(subscriber, 1);
    ReportRequest {
        daemon: subscriber.to_owned(),
        incarnation: 1,
        instances,
        counts: vec![VersionCount {
            failure_domain: "a".to_owned(),
            version: 5,
            members,
        }],
    }
}

#[test]
fn subscriber_with_expired_lease_is_marked_lost_with_its_subtree() {
    let mut directory = Directory::new("root", 7);
    let mut subscribers = SubscriberTable::default();
    let subtree = vec![instance("relay", "a", 1), instance("leaf", "a", 1)];
    subscribers.report(report("relay", subtree), &mut directory, 0);
    assert!(subscribers
        .expire(&mut directory, SUBSCRIBER_LEASE_MS)
        .is_empty());
    assert_eq!(
        subscribers.expire(&mut directory, SUBSCRIBER_LEASE_MS + 1),
        ["relay"]
    );
    let late_ms = 3 * SUBSCRIBER_LEASE_MS;
    assert_eq!(
        subscribers.expire(&mut directory, late_ms),
        ["leaf"],
        "no other subscriber reports it"
    );
}

#[test]
fn subtree_that_moves_within_the_grace_period_stays_live() {
    let mut directory = Directory::new("root", 7);
    let mut subscribers = SubscriberTable::default();
    let subtree = vec![instance("relay", "a", 1), instance("leaf", "a", 1)];
    subscribers.report(report("relay", subtree), &mut directory, 0);
    subscribers.expire(&mut directory, SUBSCRIBER_LEASE_MS + 1);
    let moved = report(
        "other",
        vec![instance("other", "a", 1), instance("leaf", "a", 2)],
    );
    subscribers.report(moved, &mut directory, SUBSCRIBER_LEASE_MS + 2);
    let late_ms = 3 * SUBSCRIBER_LEASE_MS;
    subscribers.report(report("other", Vec::new()), &mut directory, late_ms - 1);
    assert!(subscribers.expire(&mut directory, late_ms).is_empty());
    assert!(directory.get("leaf").unwrap().is_live());
}

/// Guards against `apply --wait` reporting a version as active on all daemons while one of them is
/// dead: a daemon counted twice, during a move between sources, made the numbers agree.
#[test]
fn daemon_counted_twice_does_not_stand_in_for_a_missing_one() {
    let mut live = MemberSet::default();
    let mut reported = MemberSet::default();
    for name in ["x", "y", "dead"] {
        live.insert(name, 1);
    }
    for name in ["x", "y", "x"] {
        reported.insert(name, 1);
    }
    assert_eq!(live.daemons, reported.daemons);
    assert_ne!(live, reported);
    let mut restarted = MemberSet::default();
    for (name, incarnation) in [("x", 1), ("y", 1), ("dead", 2)] {
        restarted.insert(name, incarnation);
    }
    assert_ne!(live, restarted, "a restarted daemon is a different member");
}

#[test]
fn subscriber_that_moved_is_no_longer_counted() {
    let mut directory = Directory::new("old", 7);
    directory.set_own(instance("old", "a", 1));
    let mut subscribers = SubscriberTable::default();
    subscribers.report(report("x", vec![instance("x", "a", 1)]), &mut directory, 0);
    assert_eq!(subscribers.len(), 1);
    // The source sends a newer state of the daemon, which it published to another source.
    directory.merge(vec![instance("x", "a", 2)], "source");
    subscribers.expire(&mut directory, 1);
    assert!(subscribers.is_empty());
    assert!(directory.get("x").unwrap().is_live());
}

#[test]
fn root_marks_daemons_lost_that_no_subscriber_reports() {
    let mut directory = Directory::new("new-root", 7);
    directory.set_own(instance("new-root", "a", 1));
    let received = vec![instance("old-root", "a", 1), instance("x", "a", 1)];
    directory.merge(received, "old-root");
    let mut subscribers = SubscriberTable::default();
    subscribers.report(report("x", vec![instance("x", "a", 1)]), &mut directory, 0);
    assert!(subscribers.expire_unreported(&mut directory, 0).is_empty());
    assert_eq!(
        subscribers.expire_unreported(&mut directory, 2 * SUBSCRIBER_LEASE_MS),
        ["old-root"]
    );
    assert!(
        directory.get("x").unwrap().is_live(),
        "a subscriber reports it"
    );
}

#[test]
fn report_contains_only_the_subtree() {
    let mut directory = Directory::new("relay", 7);
    directory.set_own(instance("relay", "a", 1));
    directory.merge(vec![instance("far", "b", 1)], "former-source");
    directory.merge(vec![instance("leaf", "a", 1)], "leaf");
    let (states, _) =
        directory.subtree_changes_since(None, |received_from| received_from == "leaf");
    assert_eq!(names(&states), ["relay", "leaf"]);
}

#[test]
fn tree_has_a_bounded_number_of_relays_per_domain() {
    let mut directory = Directory::new("a0", 7);
    for domain in ["a", "b"] {
        for n in 0..8 {
            let name = format!("{domain}{n}");
            let mut state = instance(&name, domain, 1);
            state.is_replica = name == "a3";
            directory.merge(vec![state], "x");
        }
    }
    let replica_addrs = vec!["a3:1".to_owned()];
    let relays: Vec<&str> = relays(directory.live(), "b", 2)
        .iter()
        .map(|relay| relay.name.as_str())
        .collect();
    assert_eq!(relays.len(), 2);
    let sources_of =
        |name: &str, domain: &str| sources(name, domain, directory.all(), &replica_addrs, 2, 0);
    for n in 0..8 {
        let name = format!("b{n}");
        let first = sources_of(&name, "b")[0].control_addr.clone();
        match relays.contains(&name.as_str()) {
            true => assert_eq!(first, "a3:1", "the source of a relay is a replica"),
            false => assert!(relays.iter().any(|relay| first == format!("{relay}:1"))),
        }
    }
    assert_eq!(
        sources_of("a0", "a").last().unwrap().control_addr,
        sources_of("a0", "a")[1].control_addr
    );
    let unknown = sources("new", "c", directory.all(), &replica_addrs, 2, 0);
    assert_eq!(
        unknown[0].control_addr, "a3:1",
        "a domain without relays takes a replica as source"
    );
}

#[test]
fn stale_sources_are_detected() {
    let fresh = Freshness {
        version: 5,
        highest_version: 5,
        quorum_age_ms: Some(100),
        epoch: 1,
    };
    let table = [
        ("fresh", fresh, 5, false),
        ("behind a version known to the subscriber", fresh, 6, true),
        (
            "behind the highest known version",
            Freshness {
                highest_version: 6,
                ..fresh
            },
            5,
            true,
        ),
        (
            "lost contact with a quorum",
            Freshness {
                quorum_age_ms: Some(3_001),
                ..fresh
            },
            5,
            true,
        ),
        (
            "never had contact with a quorum",
            Freshness {
                quorum_age_ms: None,
                ..fresh
            },
            5,
            true,
        ),
    ];
    for (name, freshness, highest_known_version, expected) in table {
        assert_eq!(
            freshness.is_stale(highest_known_version),
            expected,
            "{name}"
        );
    }
}

#[test]
fn sessions_per_second_are_bounded_when_many_clients_connect() {
    let mut limit = SessionLimit::new(100);
    let mut admitted = Vec::new();
    for now_ms in 10_000..15_000 {
        let count = (0..50).filter(|_| limit.admit(now_ms).is_ok()).count();
        admitted.push(count);
    }
    for second in admitted.chunks(1000).skip(1) {
        assert!(second.iter().sum::<usize>() <= 100);
    }
    assert!(
        admitted[..1000].iter().sum::<usize>() <= 200,
        "at most a burst of one second's sessions"
    );
    let rejected = std::iter::repeat_with(|| limit.admit(15_000)).find_map(Result::err);
    let wait = rejected.unwrap();
    assert!(wait.as_millis() <= 10);
}
