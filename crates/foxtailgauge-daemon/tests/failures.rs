//! Kills, pauses, disk losses and partitions of daemon processes, and crashes and drains of backend
//! servers: a billable action runs at most once, and callers get the true outcome.

mod support;

use foxtailgauge_bench::plan::Deployment;
use foxtailgauge_wire::http::HttpResponse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use support::{call_until_ran, error_code, outcome, start, trio, wait_for, Call, Fleet};

/// Specified maximum of backend servers that one request may crash.
const MAX_CRASHED_SERVERS: usize = 2;
/// Specified time until the highest version is current on all daemons after a partition heals.
const HEAL_LIMIT: Duration = Duration::from_secs(13);

#[test]
fn concurrent_retries_through_all_daemons_run_once() {
    let fleet = trio();
    for n in 0..3 {
        fleet.set_behaviour(n, r#"{"run_ms": 200}"#);
    }
    for _ in 0..5 {
        let call = Call::billable("/layouts/1");
        let outcomes: Vec<String> = std::thread::scope(|scope| {
            let send = |n: usize| {
                let (fleet, call) = (&fleet, &call);
                scope.spawn(move || {
                    let response = fleet.call(n % 3, call).unwrap();
                    format!("{} {}", outcome(&response), error_code(&response))
                })
            };
            let threads: Vec<_> = (0..6).map(send).collect();
            threads
                .into_iter()
                .map(|thread| thread.join().unwrap())
                .collect()
        });
        // A claim that no majority answers in half of the time left makes no statement about the
        // action, as another copy may have run it.
        let unanswered = "unknown ledger_unavailable".to_owned();
        let has_ran = outcomes.contains(&"ran none".to_owned());
        assert!(has_ran || outcomes.contains(&unanswered), "{outcomes:?}");
        for reported in &outcomes {
            assert!(
                reported == "ran none"
                    || reported == "unknown in_progress"
                    || *reported == unanswered,
                "{reported}"
            );
        }
        let retry = call_until_recorded(&fleet, 2, &call);
        let reported = format!("{} {}", outcome(&retry), error_code(&retry));
        assert_eq!(reported, "ran none", "a retry gets the recorded outcome");
        assert_eq!(fleet.run_count(call.key.as_ref().unwrap()), 1);
    }
}

/// Retries an action, of which no other copy is running, while the ledger does not answer in time.
fn call_until_recorded(fleet: &Fleet, n: usize, call: &Call<'_>) -> HttpResponse {
    wait_for("an answer of the ledger", || {
        let response = fleet.call(n, call)?;
        let is_unanswered = error_code(&response) == "ledger_unavailable";
        (!is_unanswered).then_some(response)
    })
}

#[test]
fn killed_executor_leaves_the_outcome_unknown_without_a_second_run() {
    let mut fleet = trio();
    fleet.set_behaviour(0, r#"{"run_ms": 60000}"#);
    fleet.set_behaviour(1, r#"{"run_ms": 60000}"#);
    fleet.set_behaviour(2, r#"{"run_ms": 60000}"#);
    let call = Call::billable("/layouts/1");
    let key = call.key.clone().unwrap();
    let gateway = 0;
    let (response, elapsed) = std::thread::scope(|scope| {
        let (fleet_ref, call) = (&fleet, &call);
        let caller = scope.spawn(move || {
            let started = Instant::now();
            (fleet_ref.call(gateway, call), started.elapsed())
        });
        wait_for("run started", || {
            (fleet_ref.run_count(&key) == 1).then_some(())
        });
        let (response, elapsed) = caller.join().unwrap();
        (response.unwrap(), elapsed)
    });
    assert_eq!(outcome(&response), "unknown");
    assert!(
        elapsed < Duration::from_millis(5_500),
        "response later than the deadline: {elapsed:?}"
    );
    let executor = wait_for("the executor", || {
        let servers = fleet.plan.backend_servers.iter();
        let texts = servers.map(|s| std::fs::read_to_string(&s.journal).unwrap_or_default());
        texts
            .collect::<Vec<_>>()
            .iter()
            .position(|text| text.contains(&key))
    });
    fleet.kill(executor);
    let other = (executor + 1) % 3;
    for n in 0..3 {
        fleet.set_behaviour(n, "{}");
    }
    let reported = wait_for("final response", || {
        let response = fleet.call(other, &call)?;
        (error_code(&response) == "outcome_unknown").then(|| outcome(&response).to_owned())
    });
    assert_eq!(reported, "unknown");
    assert_eq!(fleet.run_count(&key), 1);
}

#[test]
fn paused_executor_is_unknown_at_the_deadline_and_recorded_after_it_resumes() {
    let fleet = trio();
    for n in 0..3 {
        fleet.set_behaviour(n, r#"{"run_ms": 400}"#);
    }
    // Pausing the gateway's own executor would pause the gateway too. Requests through daemon 0 are
    // repeated until one runs on another daemon.
    let (call, executor, response) = wait_for("a run on a remote executor", || {
        let call = Call::billable("/layouts/1").header("Foxtailgauge-Deadline-Ms", "1500");
        let key = call.key.clone().unwrap();
        let found = std::thread::scope(|scope| {
            let (fleet, sent) = (&fleet, &call);
            let caller = scope.spawn(move || fleet.call(0, sent));
            let executor = wait_for("run started", || {
                let servers = fleet.plan.backend_servers.iter();
                let mut texts =
                    servers.map(|s| std::fs::read_to_string(&s.journal).unwrap_or_default());
                texts.position(|text| text.contains(&key))
            });
            if executor == 0 {
                // Slots in the gateway's failure domain are preferred, so its server has to
                // decline.
                fleet.set_behaviour(0, r#"{"shed_percent": 100}"#);
                caller.join().unwrap();
                return None;
            }
            fleet.pause(executor);
            let started = Instant::now();
            let response = caller.join().unwrap().unwrap();
            assert!(
                started.elapsed() < Duration::from_millis(2_500),
                "response long after the deadline"
            );
            fleet.resume(executor);
            Some((executor, response))
        });
        found.map(|(executor, response)| (call, executor, response))
    });
    assert_ne!(executor, 0);
    assert_eq!(outcome(&response), "unknown");
    let key = call.key.clone().unwrap();
    let replayed = wait_for("the recorded outcome", || {
        let response = fleet.call(1, &call)?;
        (outcome(&response) == "ran").then_some(response)
    });
    assert_eq!(replayed.header("foxtailgauge-replayed"), Some("true"));
    assert_eq!(fleet.run_count(&key), 1);
}

#[test]
fn backend_server_crash_during_an_action_is_unknown_at_once() {
    let fleet = trio();
    let call = Call::billable("/layouts/1").header("Bench-Die", "1");
    let started = Instant::now();
    let response = fleet.call(0, &call).unwrap();
    assert_eq!(
        (outcome(&response), error_code(&response).as_str()),
        ("unknown", "outcome_unknown")
    );
    assert!(started.elapsed() < Duration::from_secs(3));
    for n in 0..3 {
        let retried = fleet.call(n, &call).unwrap();
        assert_eq!(
            outcome(&retried),
            "unknown",
            "the request must not run again"
        );
    }
    assert_eq!(fleet.run_count(&call.key.unwrap()), 1);
}

#[test]
fn lookup_that_may_have_run_is_not_reported_as_not_run_after_a_declined_retry() {
    let fleet = trio();
    fleet.set_behaviour(1, r#"{"shed_percent": 100}"#);
    fleet.set_behaviour(2, r#"{"shed_percent": 100}"#);
    // The gateway's failure domain is preferred: the first attempt starts there and crashes the
    // server, the retry is declined.
    let response = fleet
        .call(0, &Call::get("/plans/1").header("Bench-Die", "1"))
        .unwrap();
    assert_eq!(fleet.journal_lines("start").len(), 1);
    assert_eq!(outcome(&response), "unknown");
}

#[test]
fn request_that_crashes_its_backend_server_crashes_two_at_most() {
    let fleet = start(Deployment::Trio, 2, false);
    fleet.apply_all();
    let call = Call::get("/plans/7").header("Bench-Die", "1");
    for n in 0..6 {
        let started = Instant::now();
        let response = fleet.call(n, &call).unwrap();
        assert_ne!(outcome(&response), "ran");
        assert!(
            started.elapsed() < Duration::from_secs(3),
            "no final response within 3 s"
        );
    }
    let last = wait_for("quarantine", || {
        let response = fleet.call(5, &call)?;
        (error_code(&response) == "quarantined").then_some(response)
    });
    assert_eq!(outcome(&last), "not-run");
    assert!(last.header("retry-after").is_some());
    let crashed = (0..6).filter(|n| fleet.server(*n).has_crashed()).count();
    assert!(
        crashed <= MAX_CRASHED_SERVERS,
        "{crashed} backend servers crashed"
    );
    assert_eq!(
        outcome(&fleet.call(1, &Call::get("/plans/8")).unwrap()),
        "ran"
    );
}

#[test]
fn second_disk_loss_after_repair_of_the_first_loses_no_change_and_no_action() {
    let mut fleet = trio();
    let call = Call::billable("/layouts/1");
    assert_eq!(outcome(&fleet.call(0, &call).unwrap()), "ran");
    let version = fleet.apply("second", 1, &fleet.config_with_deadline(4_000));
    for replica in [fleet.leader(), 1] {
        let before = fleet.voter_ids(replica);
        assert_eq!(before.len(), 2, "one voter id in each group");
        fleet.kill(replica);
        fleet.remove_data(replica);
        fleet.start_daemon(replica);
        // The repair is complete once both groups have a voter with a new id at the address.
        wait_for("replica is a voter again", || {
            let after = fleet.voter_ids(replica);
            let is_new = after.iter().zip(&before).all(|(new, old)| new != old);
            (after.len() == 2 && is_new).then_some(())
        });
    }
    fleet.wait_ready();
    assert!(fleet.status().unwrap().version >= version);
    let replayed = call_until_ran(&fleet, 2, &call);
    assert_eq!(replayed.header("foxtailgauge-replayed"), Some("true"));
    assert_eq!(fleet.run_count(&call.key.unwrap()), 1);
    fleet.wait_version(version);
}

#[test]
fn resend_of_a_key_that_ran_is_not_reported_as_not_run_without_the_ledger() {
    let fleet = start(Deployment::Trio, 2, true);
    fleet.apply_all();
    let leader = fleet.leader();
    let domain = fleet.plan.daemons[leader].failure_domain.clone();
    let inside = (0..6)
        .find(|n| fleet.plan.daemons[*n].failure_domain == domain)
        .unwrap();
    let ran = Call::billable("/layouts/1").header("Foxtailgauge-Deadline-Ms", "1000");
    call_until_ran(&fleet, inside, &ran);
    fleet.partition(&[&domain]);
    let new = Call::billable("/layouts/1").header("Foxtailgauge-Deadline-Ms", "1000");
    // Until the minority has noticed the partition, it may still return the recorded response. The
    // rejection of a new key shows that it has.
    wait_for("rejection without the ledger", || {
        let response = fleet.call(inside, &new)?;
        assert_ne!(
            outcome(&response),
            "not-run",
            "reported as not run without the ledger"
        );
        (error_code(&response) == "ledger_unavailable").then_some(())
    });
    for call in [&ran, &new] {
        let response = wait_for("a response", || fleet.call(inside, call));
        assert_eq!(outcome(&response), "unknown");
        assert!(response.header("retry-after").is_some());
    }
    // With the ledger available again, each key has run once, and the first key's recorded response
    // is returned.
    fleet.partition(&[]);
    call_until_ran(&fleet, inside, &ran);
    call_until_ran(&fleet, inside, &new);
    for call in [&ran, &new] {
        assert_eq!(fleet.run_count(call.key.as_ref().unwrap()), 1);
    }
}

#[test]
fn partitioned_domain_serves_lookups_and_rejects_the_rest_as_unknown() {
    let fleet = start(Deployment::Trio, 2, true);
    fleet.apply_all();
    let leader = fleet.leader();
    let domain = fleet.plan.daemons[leader].failure_domain.clone();
    let inside: Vec<usize> = (0..6)
        .filter(|n| fleet.plan.daemons[*n].failure_domain == domain)
        .collect();
    let outside: Vec<usize> = (0..6).filter(|n| !inside.contains(n)).collect();
    fleet.partition(&[&domain]);
    // The leader inside the partition steps down and rejects requests at once.
    let rejected = wait_for("rejection inside the partition", || {
        let call = Call::billable("/layouts/1").header("Foxtailgauge-Deadline-Ms", "1000");
        let response = fleet.call(inside[0], &call)?;
        assert_ne!(
            outcome(&response),
            "not-run",
            "reported as not run without the ledger"
        );
        (error_code(&response) == "ledger_unavailable").then_some((call, response))
    });
    assert_eq!(outcome(&rejected.1), "unknown");
    assert!(rejected.1.header("retry-after").is_some());
    assert_eq!(
        fleet.run_count(rejected.0.key.as_ref().unwrap()),
        0,
        "ran although it was rejected without the ledger"
    );
    for n in &inside {
        call_until_ran(&fleet, *n, &Call::get("/plans/1"));
    }
    assert!(
        fleet.status_from(inside[0]).is_none(),
        "a minority returned a status"
    );
    assert_eq!(
        fleet.submit_change(inside[0], "inside", 1, &fleet.config_text()),
        None
    );
    // The majority still serves actions, lookups and changes.
    let action = Call::billable("/layouts/2");
    call_until_ran(&fleet, outside[0], &action);
    let version = wait_for("change outside the partition", || {
        let text = fleet.config_with_deadline(4_000);
        match fleet.submit_change(outside[0], "outside", 1, &text) {
            Some(foxtailgauge_core::ChangeAnswer::Accepted { version, .. }) => Some(version),
            _ => None,
        }
    });
    for n in &outside {
        wait_for("version outside the partition", || {
            (fleet.local(*n)?.version >= version).then_some(())
        });
    }
    assert!(fleet.local(inside[0]).unwrap().version < version);
    fleet.partition(&[]);
    let healed = Instant::now();
    fleet.wait_version(version);
    assert!(healed.elapsed() <= HEAL_LIMIT, "{:?}", healed.elapsed());
    let replayed = call_until_ran(&fleet, inside[0], &action);
    assert_eq!(replayed.header("foxtailgauge-replayed"), Some("true"));
    assert_eq!(fleet.run_count(action.key.as_ref().unwrap()), 1);
    call_until_ran(&fleet, inside[0], &rejected.0);
    assert_eq!(fleet.run_count(rejected.0.key.as_ref().unwrap()), 1);
}

#[test]
fn outcomes_under_load_and_partitions_match_the_runs() {
    let mut fleet = start(Deployment::Trio, 2, true);
    fleet.apply_all();
    let is_done = AtomicBool::new(false);
    let outcomes: BTreeMap<String, Vec<String>> = std::thread::scope(|scope| {
        let worker = |w: usize| {
            let (plan, is_done) = (&fleet.plan, &is_done);
            let callers: Vec<_> = plan.daemons.iter().map(|d| d.caller_addr).collect();
            scope.spawn(move || {
                let mut outcomes = BTreeMap::new();
                let mut n = w;
                while !is_done.load(Ordering::SeqCst) {
                    let call =
                        Call::billable("/layouts/1").header("Foxtailgauge-Deadline-Ms", "800");
                    let key = call.key.clone().unwrap();
                    // Each key is sent through two daemons, one after the other.
                    for _ in 0..2 {
                        n += 1;
                        let response = support::call_at(callers[n % callers.len()], &call);
                        let reported =
                            response.map_or("unknown".to_owned(), |r| outcome(&r).to_owned());
                        outcomes
                            .entry(key.clone())
                            .or_insert_with(Vec::new)
                            .push(reported);
                    }
                }
                outcomes
            })
        };
        let workers: Vec<_> = (0..4).map(worker).collect();
        let (mut partitions, domains) = (0, ["a", "b", "c"]);
        let deadline = Instant::now() + Duration::from_secs(9);
        while Instant::now() < deadline {
            fleet.partition(&[domains[partitions % 3]]);
            std::thread::sleep(Duration::from_millis(1_500));
            fleet.partition(&[]);
            std::thread::sleep(Duration::from_millis(1_500));
            partitions += 1;
        }
        is_done.store(true, Ordering::SeqCst);
        let mut all = BTreeMap::new();
        for worker in workers {
            all.extend(worker.join().unwrap());
        }
        all
    });
    let starts = fleet.journal_lines("start").join("\n");
    let mut ran = 0;
    for (key, reported) in &outcomes {
        let runs = starts.matches(key.as_str()).count();
        assert!(runs <= 1, "{key} ran {runs} times: {reported:?}");
        if reported.iter().any(|outcome| outcome == "ran") {
            assert_eq!(runs, 1, "{key}: {reported:?}");
            ran += 1;
        }
        if reported.iter().all(|outcome| outcome == "not-run") {
            assert_eq!(runs, 0, "{key} was reported as not run");
        }
    }
    assert!(ran > 0, "no request ran");
    fleet.kill(0);
    call_until_ran(&fleet, 1, &Call::billable("/layouts/9"));
}

fn caller_addrs(fleet: &support::Fleet, daemons: &[usize]) -> Vec<SocketAddr> {
    daemons
        .iter()
        .map(|n| fleet.plan.daemons[*n].caller_addr)
        .collect()
}

/// Sends lookups from several threads while `act` runs; returns the outcome of each, `none` without
/// a response.
fn with_lookups(addrs: &[SocketAddr], threads: usize, act: impl FnOnce()) -> Vec<String> {
    let is_done = AtomicBool::new(false);
    let lookups = |n: usize| {
        let mut outcomes = Vec::new();
        while !is_done.load(Ordering::SeqCst) {
            let response = support::call_at(addrs[n % addrs.len()], &Call::get("/plans/1"));
            outcomes.push(match response {
                Some(r) if outcome(&r) == "ran" => "ran".to_owned(),
                Some(r) => format!("{}: {}", outcome(&r), error_code(&r)),
                None => "none".to_owned(),
            });
        }
        outcomes
    };
    std::thread::scope(|scope| {
        let lookups = &lookups;
        let workers: Vec<_> = (0..threads)
            .map(|n| scope.spawn(move || lookups(n)))
            .collect();
        act();
        is_done.store(true, Ordering::SeqCst);
        workers
            .into_iter()
            .flat_map(|worker| worker.join().unwrap())
            .collect()
    })
}

#[test]
fn leaving_backend_server_gets_no_new_request_and_loses_none() {
    let fleet = trio();
    for n in 0..3 {
        fleet.set_behaviour(n, r#"{"run_ms": 100}"#);
    }
    let outcomes = with_lookups(&caller_addrs(&fleet, &[0, 1, 2]), 12, || {
        std::thread::sleep(Duration::from_millis(500));
        fleet.server(0).leave();
        wait_for("the leaving server is deregistered", || {
            let status = fleet.status()?;
            let ready: u32 = status.domains.iter().map(|d| d.ready_servers).sum();
            (ready == 2).then_some(())
        });
        std::thread::sleep(Duration::from_millis(500));
    });
    assert!(
        outcomes.iter().all(|outcome| outcome == "ran"),
        "{outcomes:?}"
    );
    let journal = std::fs::read_to_string(&fleet.plan.backend_servers[0].journal).unwrap();
    let count = |event: &str| journal.matches(&format!("\"event\":\"{event}\"")).count();
    assert_eq!(count("start"), count("end"), "a request was interrupted");
}

#[test]
fn drain_in_a_partitioned_domain_needs_no_source() {
    let fleet = start(Deployment::Trio, 2, true);
    fleet.apply_all();
    let leaving = 4;
    let domain = fleet.plan.daemons[leaving].failure_domain.clone();
    let inside: Vec<usize> = (0..6)
        .filter(|n| fleet.plan.daemons[*n].failure_domain == domain)
        .collect();
    for n in &inside {
        fleet.set_behaviour(*n, r#"{"run_ms": 100}"#);
    }
    fleet.partition(&[&domain]);
    let journal = &fleet.plan.backend_servers[leaving].journal;
    let count = |event: &str| {
        let text = std::fs::read_to_string(journal).unwrap_or_default();
        text.matches(&format!("\"event\":\"{event}\"")).count()
    };
    let outcomes = with_lookups(&caller_addrs(&fleet, &inside), 6, || {
        wait_for("the server is in use", || {
            (count("start") > 5).then_some(())
        });
        fleet.server(leaving).leave();
        wait_for("the leaving server is deregistered", || {
            fleet.server(leaving).is_deregistered().then_some(())
        });
        let start_count = count("start");
        std::thread::sleep(Duration::from_millis(500));
        assert_eq!(
            count("start"),
            start_count,
            "a request started after it left"
        );
    });
    assert!(
        outcomes.iter().all(|outcome| outcome == "ran"),
        "{outcomes:?}"
    );
    assert_eq!(count("start"), count("end"), "a request was interrupted");
}

#[test]
fn stopped_daemon_completes_its_requests_first() {
    let mut fleet = trio();
    for n in 0..3 {
        fleet.set_behaviour(n, r#"{"run_ms": 600}"#);
    }
    let outcomes: Vec<String> = std::thread::scope(|scope| {
        let addrs: Vec<_> = fleet.plan.daemons.iter().map(|d| d.caller_addr).collect();
        let callers: Vec<_> = (0..6)
            .map(|n| {
                let addr = addrs[1 + n % 2];
                scope.spawn(move || support::call_at(addr, &Call::get("/plans/1")))
            })
            .collect();
        std::thread::sleep(Duration::from_millis(200));
        assert!(fleet.stop(0).success());
        let reported =
            |response: Option<_>| response.map_or("none".to_owned(), |r| outcome(&r).to_owned());
        callers
            .into_iter()
            .map(|caller| reported(caller.join().unwrap()))
            .collect()
    });
    assert!(
        outcomes.iter().all(|outcome| outcome == "ran"),
        "{outcomes:?}"
    );
}
