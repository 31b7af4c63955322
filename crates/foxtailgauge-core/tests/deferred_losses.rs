//! Marks of daemons as lost, at a daemon that still gets replies from them.

use foxtailgauge_core::{DeferredLosses, InstanceState, Presence};

fn entry(name: &str, sequence: u64, presence: Presence) -> InstanceState {
    InstanceState {
        name: name.to_owned(),
        failure_domain: "a".to_owned(),
        incarnation: 1,
        sequence,
        control_addr: format!("{name}:1"),
        calls_addr: format!("{name}:2"),
        is_replica: false,
        presence,
        servers: Vec::new(),
        suspects: Vec::new(),
    }
}

/// Guards against marks that are applied too early, or never: a daemon that has failed would keep its
/// backend servers.
#[test]
fn only_losses_of_daemons_in_contact_wait_and_only_as_long() {
    use Presence::{Live, Lost, Stopped};
    // Entry, whether its daemon replies, whether it waits.
    let cases = [
        (entry("live", 3, Live), true, false),
        (entry("lost", 3, Lost), true, true),
        (entry("failed", 3, Lost), false, false),
        (entry("stopped", 3, Stopped), true, false),
    ];
    for (state, replies, waits) in cases {
        let mut losses = DeferredLosses::default();
        let applied = losses.defer(vec![state.clone()], "source", |_| replies);
        assert_eq!(applied.is_empty(), waits, "{}", state.name);
        assert!(losses.take_due(|_| replies).is_empty(), "{}", state.name);
        let due = losses.take_due(|_| false);
        assert_eq!(due.len(), usize::from(waits), "{}", state.name);
        let expected = (state, "source".to_owned());
        assert!(due.iter().all(|received| *received == expected));
        assert!(losses.take_due(|_| false).is_empty(), "applied once");
    }
}

/// Guards against an older mark, which another daemon still has, in place of the newest: the directory would
/// not take it, and the newest is sent only once.
#[test]
fn the_newest_mark_of_a_daemon_counts_in_any_order() {
    let mut losses = DeferredLosses::default();
    for sequence in [3, 7, 5] {
        let marks = vec![entry("b", sequence, Presence::Lost)];
        losses.defer(marks, "source", |_| true);
    }
    let due = losses.take_due(|_| false);
    let sequences: Vec<u64> = due.iter().map(|(state, _)| state.sequence).collect();
    assert_eq!(sequences, [7]);
}
