//! Contract of the callers' HTTP: what each request gets, bad ones included.

mod support;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task;
use support::{error_code, outcome, trio, Call};
use uuid::Uuid;

#[test]
fn each_request_gets_its_answer_with_an_outcome() {
    let fleet = trio();
    let with_key = |key: &str| Call {
        key: Some(key.to_owned()),
        ..Call::billable("/layouts/1")
    };
    let spent = Call::billable("/layouts/1");
    let first = fleet.call(0, &spent).unwrap();
    let reused = Call {
        body: "another".to_owned(),
        ..spent.clone()
    };
    let old = "01890a5d-ac96-774b-bcce-b302099a8057";
    let late = Call::get("/plans/1").header("Foxtailgauge-Deadline-Ms", "0");
    let garbled = Call::get("/plans/1").header("Foxtailgauge-Deadline-Ms", "soon");
    let large = Call {
        body: "x".repeat((1 << 20) + 1),
        ..Call::billable("/layouts/1")
    };
    let no_key = Call {
        key: None,
        ..Call::billable("/layouts/1")
    };
    let table = [
        ("lookup", Call::get("/plans/1"), 200, "ran", "none"),
        (
            "query is passed on",
            Call::get("/plans/1?size=2"),
            200,
            "ran",
            "none",
        ),
        ("action", Call::billable("/layouts/1"), 200, "ran", "none"),
        (
            "unknown route",
            Call::get("/nowhere"),
            404,
            "not-run",
            "unknown_route",
        ),
        (
            "segment border",
            Call::get("/plansandmore"),
            404,
            "not-run",
            "unknown_route",
        ),
        (
            "unknown method",
            Call::get("/layouts/1"),
            404,
            "not-run",
            "unknown_route",
        ),
        ("no key", no_key, 400, "not-run", "missing_key"),
        (
            "not a UUID",
            with_key("order 7"),
            400,
            "not-run",
            "malformed_key",
        ),
        (
            "UUIDv4",
            with_key(&Uuid::new_v4().to_string()),
            400,
            "not-run",
            "malformed_key",
        ),
        (
            "key past retention",
            with_key(old),
            400,
            "not-run",
            "key_expired",
        ),
        ("same key, other body", reused, 422, "not-run", "key_reused"),
        (
            "body above the limit",
            large,
            413,
            "not-run",
            "body_too_large",
        ),
        ("deadline past", late, 504, "not-run", "deadline_passed"),
        (
            "deadline garbled",
            garbled,
            400,
            "not-run",
            "malformed_request",
        ),
    ];
    for (name, call, status, expected, expected_code) in table {
        let answer = fleet
            .call(1, &call)
            .unwrap_or_else(|| panic!("{name}: no answer"));
        assert_eq!(answer.status, status, "{name}");
        assert_eq!(outcome(&answer), expected, "{name}");
        assert_eq!(error_code(&answer), expected_code, "{name}");
    }
    let again = fleet.call(2, &spent).unwrap();
    assert_eq!(again.header("foxtailgauge-replayed"), Some("true"));
    assert_eq!(again.body, first.body, "the recorded answer is whole");
    assert_eq!(fleet.run_count(spent.key.as_ref().unwrap()), 1);
}

#[test]
fn malformed_http_gets_400_and_the_daemon_stays_up() {
    let fleet = trio();
    let addr = fleet.plan.daemons[0].caller_addr;
    let table: [&[u8]; 5] = [
        b"GARBAGE\r\n\r\n",
        b"GET /plans/1 HTTP/9.9\r\nHost: x\r\n\r\n",
        b"GET  HTTP/1.1\r\n\r\n",
        b"POST /notes/1 HTTP/1.1\r\nHost: x\r\nContent-Length: many\r\n\r\n",
        b"\x00\x01\x02\x03\r\n\r\n",
    ];
    for bytes in table {
        let text = task::block_on(async {
            let mut stream = TcpStream::connect(addr).await.unwrap();
            stream.write_all(bytes).await.unwrap();
            let mut text = String::new();
            stream.read_to_string(&mut text).await.unwrap();
            text
        });
        assert!(text.starts_with("HTTP/1.1 400"), "{bytes:?}: {text}");
        assert!(text.contains("foxtailgauge-outcome: not-run"), "{text}");
    }
    assert_eq!(
        outcome(&fleet.call(0, &Call::get("/plans/1")).unwrap()),
        "ran"
    );
}

#[test]
fn callers_on_one_connection_get_each_their_own_answer() {
    let fleet = trio();
    let answers: Vec<(String, Vec<u8>)> = task::block_on(async {
        let tasks: Vec<_> = (0..60)
            .map(|n| {
                let addr = fleet.plan.daemons[n % 3].caller_addr;
                task::spawn(async move {
                    let path = format!("/plans/{n}");
                    let request = foxtailgauge_wire::http::HttpRequest {
                        method: "GET",
                        target: &path,
                        headers: &[],
                        body: &[],
                    };
                    let answer = foxtailgauge_wire::http::fetch(addr, request, 1 << 20)
                        .await
                        .unwrap();
                    (path.clone(), answer.body)
                })
            })
            .collect();
        let mut answers = Vec::new();
        for task in tasks {
            answers.push(task.await);
        }
        answers
    });
    for (path, body) in answers {
        let body: serde_json::Value = serde_json::from_slice(&body).unwrap();
        assert_eq!(body["path"].as_str(), Some(path.as_str()));
    }
}

#[test]
fn refusal_that_may_be_tried_again_says_when() {
    let fleet = trio();
    for n in 0..3 {
        fleet.set_behaviour(n, r#"{"shed_percent": 100}"#);
    }
    let started = std::time::Instant::now();
    let lookup = fleet.call(0, &Call::get("/plans/1")).unwrap();
    let action = Call::billable("/layouts/1");
    let refused = fleet.call(0, &action).unwrap();
    for answer in [&lookup, &refused] {
        assert_eq!((answer.status, outcome(answer)), (503, "not-run"));
        assert!(answer.header("retry-after").is_some());
    }
    assert!(
        started.elapsed().as_secs() < 4,
        "answered at once, not near the deadline"
    );
    for n in 0..3 {
        fleet.set_behaviour(n, "{}");
    }
    let ran = support::call_until_ran(&fleet, 1, &action);
    assert_eq!(ran.status, 200, "a refusal leaves the key free");
    assert_eq!(fleet.run_count(&action.key.unwrap()), 1);
}
