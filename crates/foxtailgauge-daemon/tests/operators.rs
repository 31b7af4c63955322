//! Operators' changes on real daemons: races, resends, lost leaders, herds, restarts, tokens.

mod support;

use foxtailgauge_bench::plan::Deployment;
use foxtailgauge_core::ChangeAnswer;
use foxtailgauge_wire::http::{fetch, HttpRequest};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use support::{outcome, start, trio, wait_for, Call};

/// Stated time in which an accepted change is in force on every daemon.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(13);

/// Time in which subscribers of a frozen source have to find another one, so that half of the stated
/// time is left for what else goes wrong.
const FROZEN_SOURCE_LIMIT: Duration = Duration::from_millis(6_500);

#[test]
fn operators_racing_with_equal_revisions_get_one_winner() {
    let fleet = trio();
    let text = fleet.config_text();
    let answers: Vec<ChangeAnswer> = std::thread::scope(|scope| {
        let race = |n: usize| {
            let (fleet, text) = (&fleet, &text);
            scope.spawn(move || {
                let id = format!("racer-{n}");
                wait_for("an answer", || fleet.submit_change(n % 3, &id, 1, text))
            })
        };
        let threads: Vec<_> = (0..6).map(race).collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect()
    });
    let accepted = ChangeAnswer::Accepted {
        version: 2,
        revision: 2,
    };
    let conflict = ChangeAnswer::Conflict {
        current_revision: 2,
    };
    assert_eq!(
        answers.iter().filter(|answer| **answer == accepted).count(),
        1
    );
    assert_eq!(
        answers.iter().filter(|answer| **answer == conflict).count(),
        5
    );
}

#[test]
fn resend_after_a_lost_leader_gets_the_first_answer() {
    let mut fleet = trio();
    let text = fleet.config_with_deadline(4_000);
    let version = fleet.apply("second", 1, &text);
    let leader = fleet.leader();
    fleet.kill(leader);
    let others = fleet.running_daemons();
    for n in &others {
        assert_eq!(fleet.apply("second", 1, &text), version, "through {n}");
    }
    let next = fleet.apply("third", 2, &fleet.config_text());
    assert_eq!(next, version + 1, "the resend made no version");
    fleet.start_daemon(leader);
    fleet.wait_version(next);
    assert_eq!(fleet.apply("second", 1, &text), version);
}

#[test]
fn frozen_leader_is_replaced_and_its_version_catches_up() {
    let fleet = trio();
    let leader = fleet.leader();
    fleet.pause(leader);
    let others: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
    let text = fleet.config_with_deadline(4_000);
    let version = wait_for("change without the frozen leader", || {
        match fleet.submit_change(others[0], "second", 1, &text) {
            Some(ChangeAnswer::Accepted { version, .. }) => Some(version),
            _ => None,
        }
    });
    for n in &others {
        wait_for("version held", || {
            (fleet.local(*n)?.version >= version).then_some(())
        });
    }
    fleet.resume(leader);
    let thawed = Instant::now();
    fleet.wait_version(version);
    assert!(thawed.elapsed() < IN_FORCE_LIMIT);
}

#[test]
fn version_never_falls_across_a_herd_of_restarts() {
    let mut fleet = start(Deployment::Trio, 4, false);
    fleet.apply_all();
    let mut revision = 1;
    for n in 0..20 {
        let text = fleet.config_with_deadline(4_000 + n);
        fleet.apply(&format!("change-{n}"), revision, &text);
        revision += 1;
    }
    let version = fleet.apply("last", revision, &fleet.config_text());
    fleet.wait_version(version);
    let herd: Vec<usize> = (3..12).collect();
    let is_over = AtomicBool::new(false);
    let addrs: Vec<_> = herd
        .iter()
        .map(|n| fleet.plan.daemons[*n].caller_addr)
        .collect();
    std::thread::scope(|scope| {
        let watcher = scope.spawn(|| {
            let mut seen = BTreeSet::new();
            while !is_over.load(Ordering::SeqCst) {
                for addr in &addrs {
                    let call = Call {
                        timeout: Duration::from_millis(500),
                        ..Call::get("/plans/1")
                    };
                    if let Some(answer) = support::call_at(*addr, &call) {
                        let held = answer.header("foxtailgauge-config-version").unwrap();
                        seen.insert(held.parse::<u64>().unwrap());
                    }
                }
            }
            seen
        });
        for n in &herd {
            fleet.kill(*n);
        }
        for n in &herd {
            fleet.start_daemon(*n);
        }
        let restarted = Instant::now();
        fleet.wait_version(version);
        assert!(restarted.elapsed() < IN_FORCE_LIMIT);
        is_over.store(true, Ordering::SeqCst);
        // 0: the daemon says that it holds nothing yet, and serves nothing.
        let older: Vec<u64> = watcher
            .join()
            .unwrap()
            .into_iter()
            .filter(|v| *v != 0)
            .collect();
        assert!(older.iter().all(|held| *held >= version), "{older:?}");
    });
}

#[test]
fn daemons_that_missed_hundreds_of_changes_take_the_newest() {
    let mut fleet = start(Deployment::Trio, 2, true);
    fleet.apply_all();
    let leader = fleet.leader();
    let cut = (0..3).find(|n| *n != leader).unwrap();
    let domain = fleet.plan.daemons[cut].failure_domain.clone();
    let outside = (3..6)
        .find(|n| fleet.plan.daemons[*n].failure_domain != domain)
        .unwrap();
    fleet.partition(&[&domain]);
    fleet.kill(outside);
    let mut version = 0;
    for revision in 1..=300 {
        let text = fleet.config_with_deadline(4_000 + revision);
        let answer = fleet.submit_change(leader, &format!("change-{revision}"), revision, &text);
        match answer {
            Some(ChangeAnswer::Accepted {
                version: accepted, ..
            }) => version = accepted,
            other => panic!("{other:?}"),
        }
    }
    assert!(
        fleet.local(cut).unwrap().version < version - 256,
        "further back than any delta"
    );
    fleet.start_daemon(outside);
    fleet.partition(&[]);
    let healed = Instant::now();
    fleet.wait_version(version);
    assert!(healed.elapsed() < IN_FORCE_LIMIT, "{:?}", healed.elapsed());
}

#[test]
fn frozen_source_holds_nobody_up() {
    let fleet = start(Deployment::Trio, 4, false);
    fleet.apply_all();
    let leader = fleet.leader();
    let subscribers = |n: usize| {
        let metrics = fleet.metrics(n)?;
        let line = metrics
            .lines()
            .find(|line| line.starts_with("foxtailgauge_subscribers "))?;
        line.rsplit(' ').next()?.parse::<u32>().ok()
    };
    let frozen = wait_for("a source besides the leader", || {
        (0..12).find(|n| *n != leader && subscribers(*n).is_some_and(|count| count > 0))
    });
    fleet.pause(frozen);
    let started = Instant::now();
    // Through the leader: a request to the frozen daemon would wait on its own account.
    let text = fleet.config_with_deadline(4_000);
    let Some(ChangeAnswer::Accepted { version, .. }) =
        fleet.submit_change(leader, "second", 1, &text)
    else {
        panic!("the leader takes no change");
    };
    for n in (0..12).filter(|n| *n != frozen) {
        wait_for("version held", || {
            (fleet.local(n)?.version >= version).then_some(())
        });
    }
    let elapsed = started.elapsed();
    fleet.resume(frozen);
    assert!(elapsed < FROZEN_SOURCE_LIMIT, "{elapsed:?}");
}

#[test]
fn restart_of_all_replicas_at_once_loses_no_change_and_no_action() {
    let mut fleet = trio();
    let version = fleet.apply("second", 1, &fleet.config_with_deadline(4_000));
    let action = Call::billable("/layouts/1");
    let first = fleet.call(0, &action).unwrap();
    assert_eq!(outcome(&first), "ran");
    for n in 0..3 {
        fleet.kill(n);
    }
    for n in 0..3 {
        fleet.start_daemon(n);
    }
    fleet.wait_ready();
    fleet.wait_version(version);
    let again = support::call_until_ran(&fleet, 2, &action);
    assert_eq!(again.header("foxtailgauge-replayed"), Some("true"));
    assert_eq!(again.body, first.body);
    assert_eq!(fleet.run_count(&action.key.unwrap()), 1);
}

#[test]
fn held_versions_are_the_same_content_everywhere() {
    let fleet = start(Deployment::Trio, 2, false);
    fleet.apply_all();
    let version = fleet.apply("second", 1, &fleet.config_with_deadline(4_000));
    fleet.wait_version(version);
    let digests: BTreeSet<foxtailgauge_core::Digest> =
        (0..6).map(|n| fleet.local(n).unwrap().digest).collect();
    assert_eq!(digests.len(), 1);
    wait_for("all are counted as holders", || {
        let status = fleet.status()?;
        let is_everywhere = status.domains.iter().all(|domain| {
            let mut members = foxtailgauge_core::MemberSet::default();
            for count in &status.held {
                if count.failure_domain == domain.failure_domain && count.version >= version {
                    members.extend(count.members);
                }
            }
            members == domain.live
        });
        is_everywhere.then_some(())
    });
}

#[test]
fn route_to_a_service_without_backend_servers_says_when_to_come_back() {
    let fleet = trio();
    let text = format!(
        "{}\n[services/empty]\n[routes/empty]\nprefix = /empty\nmethods = GET\n\
         service = empty\ndeadline_ms = 1000\n",
        fleet.config_text()
    );
    let version = fleet.apply("second", 1, &text);
    fleet.wait_version(version);
    let answer = fleet.call(0, &Call::get("/empty/1")).unwrap();
    assert_eq!((answer.status, outcome(&answer)), (503, "not-run"));
    assert!(answer.header("retry-after").is_some());
}

#[test]
fn killed_daemon_stays_listed_and_a_stopped_one_does_not() {
    let mut fleet = start(Deployment::Trio, 2, false);
    fleet.apply_all();
    let lost = |fleet: &support::Fleet| -> Option<Vec<String>> {
        let domains = fleet.status()?.domains;
        Some(domains.into_iter().flat_map(|domain| domain.lost).collect())
    };
    assert!(fleet.stop(4).success());
    fleet.kill(5);
    let name = fleet.plan.daemons[5].name.clone();
    let listed = wait_for("the loss is noticed", || {
        lost(&fleet).filter(|names| !names.is_empty())
    });
    assert_eq!(listed, [name]);
    fleet.start_daemon(5);
    wait_for("it is back", || lost(&fleet).filter(Vec::is_empty));
}

#[test]
fn tokens_keep_teams_apart() {
    let fleet = trio();
    let token = std::fs::read_to_string(&fleet.plan.token_file).unwrap();
    let own = Some(token.as_str());
    let change = r#"{"change_id":"x","base_revision":0,"text":"","author":"x"}"#;
    let table = [
        ("GET", "/v1/teams/rybar/config", own, "", 200),
        ("GET", "/v1/teams/rybar/config?revision=1", own, "", 200),
        ("GET", "/v1/teams/rybar/config?revision=9", own, "", 404),
        ("GET", "/v1/teams/rybar/config?revision=x", own, "", 400),
        ("GET", "/v1/teams/rybar/history", own, "", 200),
        ("GET", "/v1/teams/rybar/audit", own, "", 200),
        (
            "POST",
            "/v1/teams/rybar/check",
            own,
            r#"{"text":"[x]"}"#,
            200,
        ),
        ("PUT", "/v1/teams/rybar/config", own, "{}", 400),
        ("PUT", "/v1/teams/rybar/config", own, change, 409),
        ("GET", "/v1/status", own, "", 200),
        ("GET", "/v1/teams/Rybar/config", own, "", 400),
        ("GET", "/v1/teams/sugarbird/config", own, "", 403),
        ("PUT", "/v1/teams/sugarbird/config", own, change, 403),
        ("GET", "/v1/teams/sugarbird/audit", own, "", 403),
        ("GET", "/v1/teams/rybar/config", None, "", 401),
        ("GET", "/v1/teams/rybar/config", Some("guess"), "", 401),
        ("PUT", "/v1/teams/rybar/config", Some("guess"), change, 401),
        ("GET", "/v1/status", None, "", 401),
        ("POST", "/v1/daemons/layout-1/forget", own, "", 403),
        ("GET", "/metrics", None, "", 200),
        ("GET", "/nowhere", own, "", 404),
    ];
    for (method, target, token, body, expected) in table {
        let headers: Vec<(String, String)> = token
            .map(|token| ("Authorization".to_owned(), format!("Bearer {token}")))
            .into_iter()
            .collect();
        let request = HttpRequest {
            method,
            target,
            headers: &headers,
            body: body.as_bytes(),
        };
        let exchange = fetch(fleet.plan.daemons[1].admin_addr, request, 1 << 20);
        let answer = async_std::task::block_on(exchange).unwrap();
        assert_eq!(answer.status, expected, "{method} {target} {token:?}");
    }
}

#[test]
fn peer_without_the_cluster_key_is_refused() {
    use foxtailgauge_wire::handshake::{connect, ClusterKey, ConnectionKind, Hello};
    let fleet = trio();
    let addr = fleet.control_addr(0);
    let hello = Hello {
        kind: ConnectionKind::Control,
        failure_domain: "a".to_owned(),
        name: "stranger".to_owned(),
    };
    let key = ClusterKey::new(vec![7; 32]).unwrap();
    let result = async_std::task::block_on(async {
        let mut stream = async_std::net::TcpStream::connect(addr).await.unwrap();
        connect(&mut stream, &hello, &key).await
    });
    assert!(
        result.is_err(),
        "the daemon's proof does not fit a wrong key"
    );
    assert_eq!(
        outcome(&fleet.call(0, &Call::get("/plans/1")).unwrap()),
        "ran"
    );
}
