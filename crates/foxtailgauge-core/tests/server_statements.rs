//! Statements of backend servers that a gateway keeps.

use foxtailgauge_core::{
    DeliveredStatements, ProcessStatement, RequestRate, ServerKey, ServerStatement,
};
use std::time::{Duration, Instant};

fn key(server: &str) -> ServerKey {
    ServerKey {
        daemon: "d1".to_owned(),
        server: server.to_owned(),
    }
}

fn leaving(started_ms: u64) -> ProcessStatement {
    ProcessStatement {
        started_ms,
        statement: ServerStatement {
            rate_limit: None,
            is_leaving: true,
        },
    }
}

#[test]
fn statements_are_kept_until_a_response_has_none_or_they_are_old() {
    let start = Instant::now();
    let after = |s: u64| start + Duration::from_secs(s);
    let mut statements = DeliveredStatements::default();
    assert_eq!(statements.get(&key("a"), start), None);
    statements.record(&key("a"), Some(leaving(1)), start);
    statements.record(&key("b"), Some(leaving(2)), after(60));
    assert_eq!(statements.get(&key("a"), after(60)), Some(leaving(1)));
    // The server started again and left again.
    statements.record(&key("b"), Some(leaving(3)), after(61));
    assert_eq!(statements.get(&key("b"), after(62)), Some(leaving(3)));
    statements.record(&key("b"), None, after(63));
    assert_eq!(statements.get(&key("b"), after(63)), None);
    assert_eq!(statements.get(&key("a"), after(600)), None);
}

#[test]
fn rates_outside_the_range_are_rejected() {
    let cases = [
        (19.5, Some(19_500)),
        (0.0, Some(0)),
        (-0.1, None),
        (f64::INFINITY, None),
        (f64::NAN, None),
        (f64::MAX, Some(u64::MAX)),
    ];
    for (per_s, milli) in cases {
        let rate = RequestRate::from_per_s(per_s);
        assert_eq!(rate.map(RequestRate::milli), milli, "{per_s}");
    }
}
