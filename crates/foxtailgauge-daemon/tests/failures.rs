//! Kills, freezes, lost disks and cuts on real daemons: billable actions and callers' truth.

mod support;

use foxtailgauge_bench::plan::Deployment;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use support::{call_until_ran, error_code, outcome, start, trio, wait_for, Call};

/// Stated bound of backend servers that one request may take down.
const MAX_SERVERS_LOST: usize = 2;
/// Stated time in which all daemons hold the highest version after a cut is healed.
const HEAL_LIMIT: Duration = Duration::from_secs(13);

#[test]
fn resends_at_the_same_time_through_all_daemons_run_once() {
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
                    let answer = fleet.call(n % 3, call).unwrap();
                    format!("{} {}", outcome(&answer), error_code(&answer))
                })
            };
            let threads: Vec<_> = (0..6).map(send).collect();
            threads
                .into_iter()
                .map(|thread| thread.join().unwrap())
                .collect()
        });
        assert!(outcomes.contains(&"ran none".to_owned()), "{outcomes:?}");
        for told in &outcomes {
            assert!(
                told == "ran none" || told == "unknown in_progress",
                "{told}"
            );
        }
        assert_eq!(fleet.run_count(call.key.as_ref().unwrap()), 1);
        let resend = fleet.call(2, &call).unwrap();
        let told = format!("{} {}", outcome(&resend), error_code(&resend));
        assert_eq!(told, "ran none", "a resend learns it");
    }
}

#[test]
fn executor_killed_while_running_leaves_unknown_and_no_second_run() {
    let mut fleet = trio();
    fleet.set_behaviour(0, r#"{"run_ms": 60000}"#);
    fleet.set_behaviour(1, r#"{"run_ms": 60000}"#);
    fleet.set_behaviour(2, r#"{"run_ms": 60000}"#);
    let call = Call::billable("/layouts/1");
    let key = call.key.clone().unwrap();
    let gateway = 0;
    let (answer, elapsed) = std::thread::scope(|scope| {
        let (fleet_ref, call) = (&fleet, &call);
        let caller = scope.spawn(move || {
            let started = Instant::now();
            (fleet_ref.call(gateway, call), started.elapsed())
        });
        wait_for("run began", || {
            (fleet_ref.run_count(&key) == 1).then_some(())
        });
        let (answer, elapsed) = caller.join().unwrap();
        (answer.unwrap(), elapsed)
    });
    assert_eq!(outcome(&answer), "unknown");
    assert!(
        elapsed < Duration::from_millis(5_500),
        "final at the deadline: {elapsed:?}"
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
    let told = wait_for("final answer", || {
        let answer = fleet.call(other, &call)?;
        (error_code(&answer) == "outcome_unknown").then(|| outcome(&answer).to_owned())
    });
    assert_eq!(told, "unknown");
    assert_eq!(fleet.run_count(&key), 1);
}

#[test]
fn executor_frozen_while_running_is_unknown_at_the_deadline_and_recorded_after() {
    let fleet = trio();
    for n in 0..3 {
        fleet.set_behaviour(n, r#"{"run_ms": 400}"#);
    }
    // The gateway is frozen with its own executor, so the caller goes through another daemon; a
    // remote executor is found by trying.
    let (call, executor, answer) = wait_for("a run on a remote executor", || {
        let call = Call::billable("/layouts/1").header("Foxtailgauge-Deadline-Ms", "1500");
        let key = call.key.clone().unwrap();
        let frozen = std::thread::scope(|scope| {
            let (fleet, sent) = (&fleet, &call);
            let caller = scope.spawn(move || fleet.call(0, sent));
            let executor = wait_for("run began", || {
                let servers = fleet.plan.backend_servers.iter();
                let mut texts =
                    servers.map(|s| std::fs::read_to_string(&s.journal).unwrap_or_default());
                texts.position(|text| text.contains(&key))
            });
            if executor == 0 {
                // Slots of the own domain are taken first; make the own server refuse.
                fleet.set_behaviour(0, r#"{"shed_percent": 100}"#);
                caller.join().unwrap();
                return None;
            }
            fleet.pause(executor);
            let started = Instant::now();
            let answer = caller.join().unwrap().unwrap();
            assert!(started.elapsed() < Duration::from_millis(2_500), "at once");
            fleet.resume(executor);
            Some((executor, answer))
        });
        frozen.map(|(executor, answer)| (call, executor, answer))
    });
    assert_ne!(executor, 0);
    assert_eq!(outcome(&answer), "unknown");
    let key = call.key.clone().unwrap();
    let again = wait_for("the record", || {
        let answer = fleet.call(1, &call)?;
        (outcome(&answer) == "ran").then_some(answer)
    });
    assert_eq!(again.header("foxtailgauge-replayed"), Some("true"));
    assert_eq!(fleet.run_count(&key), 1);
}

#[test]
fn backend_server_that_dies_with_an_action_is_unknown_at_once() {
    let fleet = trio();
    let call = Call::billable("/layouts/1").header("Bench-Die", "1");
    let started = Instant::now();
    let answer = fleet.call(0, &call).unwrap();
    assert_eq!(
        (outcome(&answer), error_code(&answer).as_str()),
        ("unknown", "outcome_unknown")
    );
    assert!(started.elapsed() < Duration::from_secs(3));
    for n in 0..3 {
        let again = fleet.call(n, &call).unwrap();
        assert_eq!(outcome(&again), "unknown", "never rerun");
    }
    assert_eq!(fleet.run_count(&call.key.unwrap()), 1);
}

#[test]
fn lookup_that_may_have_run_is_not_called_not_run_after_a_refused_retry() {
    let fleet = trio();
    fleet.set_behaviour(1, r#"{"shed_percent": 100}"#);
    fleet.set_behaviour(2, r#"{"shed_percent": 100}"#);
    // The own failure domain comes first: the first attempt begins and dies, the retry is refused.
    let answer = fleet
        .call(0, &Call::get("/plans/1").header("Bench-Die", "1"))
        .unwrap();
    assert_eq!(fleet.journal_lines("start").len(), 1);
    assert_eq!(outcome(&answer), "unknown");
}

#[test]
fn request_that_kills_its_backend_server_takes_down_two_at_most() {
    let fleet = start(Deployment::Trio, 2, false);
    fleet.apply_all();
    let call = Call::get("/plans/7").header("Bench-Die", "1");
    for n in 0..6 {
        let started = Instant::now();
        let answer = fleet.call(n, &call).unwrap();
        assert_ne!(outcome(&answer), "ran");
        assert!(
            started.elapsed() < Duration::from_secs(3),
            "a final answer at once"
        );
    }
    let last = wait_for("quarantine", || {
        let answer = fleet.call(5, &call)?;
        (error_code(&answer) == "quarantined").then_some(answer)
    });
    assert_eq!(outcome(&last), "not-run");
    assert!(last.header("retry-after").is_some());
    let dead = (0..6).filter(|n| fleet.server(*n).has_crashed()).count();
    assert!(dead <= MAX_SERVERS_LOST, "{dead} backend servers lost");
    assert_eq!(
        outcome(&fleet.call(1, &Call::get("/plans/8")).unwrap()),
        "ran"
    );
}

#[test]
fn second_disk_lost_after_the_first_repair_loses_no_change_and_no_action() {
    let mut fleet = trio();
    let call = Call::billable("/layouts/1");
    assert_eq!(outcome(&fleet.call(0, &call).unwrap()), "ran");
    let version = fleet.apply("second", 1, &fleet.config_with_deadline(4_000));
    for lost in [fleet.leader(), 1] {
        let before = fleet.voter_ids(lost);
        assert_eq!(before.len(), 2, "one identity in each group");
        fleet.kill(lost);
        fleet.remove_data(lost);
        fleet.start_daemon(lost);
        // The repair is complete once a new identity votes at the address in both groups.
        wait_for("replica has its vote again", || {
            let after = fleet.voter_ids(lost);
            let is_new = after.iter().zip(&before).all(|(new, old)| new != old);
            (after.len() == 2 && is_new).then_some(())
        });
    }
    fleet.wait_ready();
    assert!(fleet.status().unwrap().version >= version);
    let again = call_until_ran(&fleet, 2, &call);
    assert_eq!(again.header("foxtailgauge-replayed"), Some("true"));
    assert_eq!(fleet.run_count(&call.key.unwrap()), 1);
    fleet.wait_version(version);
}

#[test]
fn resend_of_a_key_that_ran_is_not_told_not_run_without_the_ledger() {
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
    let fresh = Call::billable("/layouts/1").header("Foxtailgauge-Deadline-Ms", "1000");
    // Until the side without a majority notices, the recorded answer may still come.
    wait_for("a refusal without the ledger", || {
        let answer = fleet.call(inside, &fresh)?;
        assert_ne!(outcome(&answer), "not-run", "nobody asked the ledger");
        (error_code(&answer) == "ledger_unavailable").then_some(())
    });
    for call in [&ran, &fresh] {
        let answer = wait_for("an answer", || fleet.call(inside, call));
        assert_eq!(outcome(&answer), "unknown");
        assert!(answer.header("retry-after").is_some());
    }
    // The ledger's word, once it can be had: one run, and the first key's recorded answer.
    fleet.partition(&[]);
    call_until_ran(&fleet, inside, &ran);
    call_until_ran(&fleet, inside, &fresh);
    for call in [&ran, &fresh] {
        assert_eq!(fleet.run_count(call.key.as_ref().unwrap()), 1);
    }
}

#[test]
fn cut_off_domain_serves_lookups_and_refuses_the_rest_as_unknown() {
    let fleet = start(Deployment::Trio, 2, true);
    fleet.apply_all();
    let leader = fleet.leader();
    let domain = fleet.plan.daemons[leader].failure_domain.clone();
    let inside: Vec<usize> = (0..6)
        .filter(|n| fleet.plan.daemons[*n].failure_domain == domain)
        .collect();
    let outside: Vec<usize> = (0..6).filter(|n| !inside.contains(n)).collect();
    fleet.partition(&[&domain]);
    // The leader inside stops calling itself current, and says so at once.
    let refused = wait_for("refusal inside", || {
        let call = Call::billable("/layouts/1").header("Foxtailgauge-Deadline-Ms", "1000");
        let answer = fleet.call(inside[0], &call)?;
        assert_ne!(outcome(&answer), "not-run", "nobody asked the ledger");
        (error_code(&answer) == "ledger_unavailable").then_some((call, answer))
    });
    assert_eq!(outcome(&refused.1), "unknown");
    assert!(refused.1.header("retry-after").is_some());
    assert_eq!(
        fleet.run_count(refused.0.key.as_ref().unwrap()),
        0,
        "refused without the ledger, not run"
    );
    for n in &inside {
        call_until_ran(&fleet, *n, &Call::get("/plans/1"));
    }
    assert!(
        fleet.status_from(inside[0]).is_none(),
        "no status from a minority"
    );
    assert_eq!(
        fleet.submit_change(inside[0], "inside", 1, &fleet.config_text()),
        None
    );
    // The other side goes on: actions, lookups and changes.
    let action = Call::billable("/layouts/2");
    call_until_ran(&fleet, outside[0], &action);
    let version = wait_for("change outside", || {
        let text = fleet.config_with_deadline(4_000);
        match fleet.submit_change(outside[0], "outside", 1, &text) {
            Some(foxtailgauge_core::ChangeAnswer::Accepted { version, .. }) => Some(version),
            _ => None,
        }
    });
    for n in &outside {
        wait_for("version outside", || {
            (fleet.local(*n)?.version >= version).then_some(())
        });
    }
    assert!(fleet.local(inside[0]).unwrap().version < version);
    fleet.partition(&[]);
    let healed = Instant::now();
    fleet.wait_version(version);
    assert!(healed.elapsed() <= HEAL_LIMIT, "{:?}", healed.elapsed());
    let again = call_until_ran(&fleet, inside[0], &action);
    assert_eq!(again.header("foxtailgauge-replayed"), Some("true"));
    assert_eq!(fleet.run_count(action.key.as_ref().unwrap()), 1);
    call_until_ran(&fleet, inside[0], &refused.0);
    assert_eq!(fleet.run_count(refused.0.key.as_ref().unwrap()), 1);
}

#[test]
fn load_under_kills_and_cuts_runs_each_action_as_it_was_told() {
    let mut fleet = start(Deployment::Trio, 2, true);
    fleet.apply_all();
    let is_over = AtomicBool::new(false);
    let told: BTreeMap<String, Vec<String>> = std::thread::scope(|scope| {
        let worker = |w: usize| {
            let (plan, is_over) = (&fleet.plan, &is_over);
            let callers: Vec<_> = plan.daemons.iter().map(|d| d.caller_addr).collect();
            scope.spawn(move || {
                let mut told = BTreeMap::new();
                let mut n = w;
                while !is_over.load(Ordering::SeqCst) {
                    let call =
                        Call::billable("/layouts/1").header("Foxtailgauge-Deadline-Ms", "800");
                    let key = call.key.clone().unwrap();
                    // Each key goes through two daemons, one after the other.
                    for _ in 0..2 {
                        n += 1;
                        let answer = support::call_at(callers[n % callers.len()], &call);
                        let word = answer.map_or("unknown".to_owned(), |a| outcome(&a).to_owned());
                        told.entry(key.clone()).or_insert_with(Vec::new).push(word);
                    }
                }
                told
            })
        };
        let workers: Vec<_> = (0..4).map(worker).collect();
        let (mut fleet_cuts, domains) = (0, ["a", "b", "c"]);
        let end = Instant::now() + Duration::from_secs(9);
        while Instant::now() < end {
            fleet.partition(&[domains[fleet_cuts % 3]]);
            std::thread::sleep(Duration::from_millis(1_500));
            fleet.partition(&[]);
            std::thread::sleep(Duration::from_millis(1_500));
            fleet_cuts += 1;
        }
        is_over.store(true, Ordering::SeqCst);
        let mut all = BTreeMap::new();
        for worker in workers {
            all.extend(worker.join().unwrap());
        }
        all
    });
    let starts = fleet.journal_lines("start").join("\n");
    let mut ran = 0;
    for (key, words) in &told {
        let runs = starts.matches(key.as_str()).count();
        assert!(runs <= 1, "{key} ran {runs} times: {words:?}");
        if words.iter().any(|word| word == "ran") {
            assert_eq!(runs, 1, "{key}: {words:?}");
            ran += 1;
        }
        if words.iter().all(|word| word == "not-run") {
            assert_eq!(runs, 0, "{key} was told not run");
        }
    }
    assert!(ran > 0, "nothing ran");
    fleet.kill(0);
    call_until_ran(&fleet, 1, &Call::billable("/layouts/9"));
}

fn caller_addrs(fleet: &support::Fleet, daemons: &[usize]) -> Vec<SocketAddr> {
    daemons
        .iter()
        .map(|n| fleet.plan.daemons[*n].caller_addr)
        .collect()
}

/// Sends lookups from several threads while `act` runs; returns what each was told.
fn with_lookups(addrs: &[SocketAddr], threads: usize, act: impl FnOnce()) -> Vec<String> {
    let is_over = AtomicBool::new(false);
    let lookups = |n: usize| {
        let mut told = Vec::new();
        while !is_over.load(Ordering::SeqCst) {
            let answer = support::call_at(addrs[n % addrs.len()], &Call::get("/plans/1"));
            told.push(answer.map_or("none".to_owned(), |a| outcome(&a).to_owned()));
        }
        told
    };
    std::thread::scope(|scope| {
        let lookups = &lookups;
        let workers: Vec<_> = (0..threads)
            .map(|n| scope.spawn(move || lookups(n)))
            .collect();
        act();
        is_over.store(true, Ordering::SeqCst);
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
    let answers = with_lookups(&caller_addrs(&fleet, &[0, 1, 2]), 12, || {
        std::thread::sleep(Duration::from_millis(500));
        fleet.server(0).leave();
        wait_for("the leaving server is gone", || {
            let status = fleet.status()?;
            let ready: u32 = status.domains.iter().map(|d| d.ready_servers).sum();
            (ready == 2).then_some(())
        });
        std::thread::sleep(Duration::from_millis(500));
    });
    assert!(answers.iter().all(|word| word == "ran"), "{answers:?}");
    let journal = std::fs::read_to_string(&fleet.plan.backend_servers[0].journal).unwrap();
    let count = |event: &str| journal.matches(&format!("\"event\":\"{event}\"")).count();
    assert_eq!(count("start"), count("end"), "no request was cut off");
}

#[test]
fn drain_in_a_cut_off_domain_needs_no_source() {
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
    let answers = with_lookups(&caller_addrs(&fleet, &inside), 6, || {
        wait_for("the server is in use", || {
            (count("start") > 5).then_some(())
        });
        fleet.server(leaving).leave();
        wait_for("the server has nothing left", || {
            fleet.server(leaving).is_deregistered().then_some(())
        });
        let begun = count("start");
        std::thread::sleep(Duration::from_millis(500));
        assert_eq!(count("start"), begun, "a request after it left");
    });
    assert!(answers.iter().all(|word| word == "ran"), "{answers:?}");
    assert_eq!(count("start"), count("end"), "no request was cut off");
}

#[test]
fn stopped_daemon_ends_its_requests_first() {
    let mut fleet = trio();
    for n in 0..3 {
        fleet.set_behaviour(n, r#"{"run_ms": 600}"#);
    }
    let answers: Vec<String> = std::thread::scope(|scope| {
        let addrs: Vec<_> = fleet.plan.daemons.iter().map(|d| d.caller_addr).collect();
        let callers: Vec<_> = (0..6)
            .map(|n| {
                let addr = addrs[1 + n % 2];
                scope.spawn(move || support::call_at(addr, &Call::get("/plans/1")))
            })
            .collect();
        std::thread::sleep(Duration::from_millis(200));
        assert!(fleet.stop(0).success());
        let word = |answer: Option<_>| answer.map_or("none".to_owned(), |a| outcome(&a).to_owned());
        callers
            .into_iter()
            .map(|caller| word(caller.join().unwrap()))
            .collect()
    });
    assert!(answers.iter().all(|word| word == "ran"), "{answers:?}");
}
