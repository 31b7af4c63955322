//! Real daemons whose mutexes record the order in which threads lock them. Builds with debug assertions
//! end at the first pair that is locked in both orders.

mod support;

use std::time::Duration;
use support::{call_until_ran, trio, Call, Fleet};

/// Longer than a source keeps a poll without changes.
const IDLE_TIME: Duration = Duration::from_secs(11);

fn assert_one_order(fleet: &Fleet, phase: &str) {
    for n in 0..fleet.plan.daemons.len() {
        let log = fleet.log_text(n);
        let report = log.split_once("Found cycle in mutex dependency graph");
        let stacks = report.map(|(_, stacks)| stacks);
        assert!(stacks.is_none(), "{phase}, daemon {n}: {stacks:?}");
    }
}

/// Guards against a daemon that stands still for good, as two of its threads lock the same two mutexes
/// in opposite orders: one replied to a poll without changes, the other had a change of the directory or
/// of the configuration.
#[test]
fn daemons_lock_their_state_in_one_order() {
    let mut fleet = trio();
    std::thread::sleep(IDLE_TIME);
    assert_one_order(&fleet, "polls without changes");
    let version = fleet.apply("second", 1, &fleet.config_with_deadline(4_000));
    fleet.wait_version(version);
    call_until_ran(&fleet, 0, &Call::get("/plans/1"));
    assert_one_order(&fleet, "a change");
    let stopped = fleet.leader();
    fleet.stop(stopped);
    fleet.start_daemon(stopped);
    fleet.wait_ready();
    assert_one_order(&fleet, "a planned stop");
    let killed = fleet.leader();
    fleet.kill(killed);
    std::thread::sleep(IDLE_TIME);
    fleet.start_daemon(killed);
    fleet.wait_ready();
    let version = fleet.apply("third", 2, &fleet.config_with_deadline(3_000));
    fleet.wait_version(version);
    assert_one_order(&fleet, "a kill");
}
