//! Daemons that are told where the replicas are.

use foxtailgauge_core::{Directory, InstanceState, Introductions, Presence};
use std::collections::BTreeSet;

fn instance(n: usize, sequence: u64, is_replica: bool, presence: Presence) -> InstanceState {
    InstanceState {
        name: format!("d{n:03}"),
        failure_domain: "a".to_owned(),
        incarnation: 1,
        sequence,
        control_addr: format!("d{n:03}:1"),
        calls_addr: format!("d{n:03}:2"),
        is_replica,
        presence,
        servers: Vec::new(),
        suspects: Vec::new(),
    }
}

fn directory(instances: Vec<InstanceState>) -> Directory {
    let mut directory = Directory::new("r1", 1);
    directory.merge(instances, "r1");
    directory
}

#[test]
fn lost_daemons_are_told_and_live_replicas_and_stopped_ones_are_not() {
    use Presence::{Live, Lost, Stopped};
    let listed = directory(vec![
        instance(1, 1, false, Live),
        instance(2, 1, false, Lost),
        instance(3, 1, false, Stopped),
        instance(4, 1, true, Lost),
    ]);
    let mut introductions = Introductions::default();
    assert!(introductions.update(&listed));
    assert!(!introductions.update(&listed), "nothing new to store");
    assert_eq!(introductions.next_round(&listed), ["d002:1"]);
    let stopped = directory(vec![instance(2, 2, false, Stopped)]);
    assert!(introductions.update(&stopped));
    assert_eq!(introductions.next_round(&stopped), ["d001:1"]);
}

/// Guards against replicas that know nobody after all machines lost power.
#[test]
fn restarted_replica_tells_every_stored_daemon_in_turn() {
    let count = 100;
    let live = (0..count).map(|n| instance(n, 1, false, Presence::Live));
    let mut introductions = Introductions::default();
    introductions.update(&directory(live.collect()));
    let empty = directory(Vec::new());
    let mut told = BTreeSet::new();
    for round in 0..4 {
        let addrs = introductions.next_round(&empty);
        assert!(addrs.len() <= 32, "round {round}: {}", addrs.len());
        told.extend(addrs);
    }
    assert_eq!(told.len(), count);
    let some_back = directory(
        (0..90)
            .map(|n| instance(n, 2, false, Presence::Live))
            .collect(),
    );
    assert_eq!(introductions.next_round(&some_back).len(), 10);
}
