//! What callers are told about an idempotency key that they send again: `not-run` speaks of the key,
//! not of one attempt.

mod support;

use foxtailgauge_bench::plan::Deployment;
use support::{call_at, error_code, new_key, outcome, start, wait_for, Call, Fleet};

/// A fleet whose backend servers take one request at a time and whose queues are empty or full.
fn fleet_without_queues(scale: usize) -> Fleet {
    let fleet = start(Deployment::Trio, scale, false);
    let text = fleet.config_text();
    let service = "[services/layout]\n";
    let text = text.replacen(service, &format!("{service}queue_requests = 0\n"), 1);
    let version = fleet.apply("first", 0, &text);
    fleet.wait_version(version);
    fleet
}

/// A key that ran gets its recorded response, and a key that was never sent is refused as not run.
fn assert_told_apart(fleet: &Fleet, ran: &Call<'_>, code: &str) {
    let new = Call {
        key: Some(new_key()),
        ..ran.clone()
    };
    let refused = fleet.call(1, &new).expect("a response");
    let seen = (outcome(&refused), error_code(&refused));
    assert_eq!(seen, ("not-run", code.to_owned()));
    let resent = fleet.call(1, ran).expect("a response");
    let seen = (outcome(&resent), error_code(&resent));
    assert_eq!(seen, ("ran", "none".to_owned()), "{code}");
    assert_eq!(resent.header("foxtailgauge-replayed"), Some("true"));
}

#[test]
fn resend_of_a_key_that_ran_is_not_refused_as_not_run() {
    let fleet = fleet_without_queues(1);
    let ran = Call::billable("/layouts/1");
    let other = Call {
        body: "four frames".to_owned(),
        ..Call::billable("/layouts/1")
    };
    for call in [&ran, &other] {
        let first = fleet.call(0, call).expect("a response");
        assert_eq!(outcome(&first), "ran");
    }

    let without_time = ran.clone().header("Foxtailgauge-Deadline-Ms", "0");
    assert_told_apart(&fleet, &without_time, "deadline_passed");

    for n in 0..3 {
        fleet.set_behaviour(n, r#"{"run_ms": 1500, "announced_slots": 1}"#);
    }
    wait_for("one slot each", || {
        let servers = fleet.servers(0)?.groups.entries;
        servers.iter().all(|group| group.slots == 1).then_some(())
    });
    std::thread::scope(|scope| {
        let addrs: Vec<_> = fleet.plan.daemons.iter().map(|d| d.caller_addr).collect();
        for addr in addrs {
            scope.spawn(move || call_at(addr, &Call::get("/plans/1")));
        }
        wait_for("busy servers", || {
            (fleet.journal_lines("start").len() == 5).then_some(())
        });
        assert_told_apart(&fleet, &ran, "overloaded");
    });

    for _ in 0..2 {
        let crash = Call {
            key: Some(new_key()),
            ..ran.clone().header("Bench-Die", "1")
        };
        let response = fleet.call(0, &crash).expect("a response");
        assert_eq!(outcome(&response), "unknown");
    }
    assert_told_apart(&fleet, &ran, "quarantined");

    for n in 0..3 {
        fleet.server(n).leave();
    }
    wait_for("no server", || {
        let new = Call {
            key: Some(new_key()),
            ..other.clone()
        };
        let response = fleet.call(1, &new)?;
        (error_code(&response) == "no_server").then_some(())
    });
    assert_told_apart(&fleet, &other, "no_server");

    let text = fleet.config_text().replacen("/layouts", "/moved", 1);
    let version = fleet.apply("second", 1, &text);
    fleet.wait_version(version);
    assert_told_apart(&fleet, &ran, "unknown_route");
    assert_eq!(fleet.run_count(&ran.key.unwrap()), 1);
}
