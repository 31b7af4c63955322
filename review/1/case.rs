//! The core machines are replaced one after the other; then the configuration changes.

#[path = "../stand-ins/fleet.rs"]
mod fleet;

use fleet::*;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Time from the end of a core machine until its successor starts.
const SUCCESSOR_AFTER: Duration = Duration::from_secs(2);
/// Time from the start of a successor until the next core machine is removed.
const PAUSE_MS: u64 = 10_000;
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// Time for which requests are sent after the change.
const OBSERVED: Duration = Duration::from_secs(12);

fn main() -> ExitCode {
    run_case(case)
}

fn case(record: &Record) -> Verdict {
    let services = [
        "incidents",
        "incidents",
        "incidents",
        "intake",
        "intake",
        "intake",
    ];
    let mut fleet = match Fleet::start(record, 3, &services) {
        Ok(fleet) => fleet,
        Err(error) => return Verdict::NotRun(error),
    };
    let first = fleet.first_sidecar();
    let hosts: Vec<_> = (first..first + services.len())
        .map(|n| {
            let body = services[n - first].as_bytes().to_vec();
            BackendHost::start(&fleet, n, Duration::from_secs(2), move |_| {
                Action::Answer(Duration::from_millis(5), body.clone())
            })
        })
        .collect();
    let route = |service| Route {
        name: "lookup",
        is_safe: true,
        prefix: "/lookup/",
        service,
        timeout_ms: 2_000,
        max_attempts: 2,
    };
    let other = || Route {
        name: "report",
        is_safe: true,
        prefix: "/report/",
        service: "intake",
        timeout_ms: 2_000,
        max_attempts: 2,
    };
    let served = fleet
        .configure(&[route("incidents"), other()])
        .and_then(|_| fleet.wait_until_served(&[("GET", "/lookup/1"), ("GET", "/report/1")]));
    if let Err(error) = served {
        return Verdict::NotRun(error);
    }
    for n in 0..3 {
        sleep_ms(PAUSE_MS);
        if has_trouble() {
            if let Err(error) = fleet.replace_replica(n, SUCCESSOR_AFTER) {
                return Verdict::NotRun(error);
            }
        }
    }
    sleep_ms(PAUSE_MS);
    // The route moves to another service.
    let confirmed_at = match fleet.configure(&[route("intake"), other()]) {
        Ok(at) => at,
        Err(error) => return Verdict::NotRun(error),
    };
    let (mut late, mut sent_late) = (0, 0);
    while confirmed_at.elapsed() < OBSERVED {
        for n in first..first + services.len() {
            let sent = send(&fleet.outbound(n), "GET", "/lookup/2", b"", 2_000);
            let is_late = sent.at > confirmed_at + CONFIG_APPLY;
            let answer = sent.answer.as_ref().filter(|answer| answer.status == 200);
            let service = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
            let is_old = service.as_deref() == Some("incidents");
            record.line(format!(
                "{} by {} {} ms after the confirmation: {}, run by {}",
                sent.id,
                fleet.daemons[n].name,
                sent.at.duration_since(confirmed_at).as_millis(),
                outcome(&sent.answer),
                service.unwrap_or_default()
            ));
            sent_late += usize::from(is_late);
            late += usize::from(is_late && is_old);
        }
        sleep_ms(500);
    }
    let runs: usize = hosts.iter().map(|host| host.arrivals().len()).sum();
    record.line(format!(
        "{runs} requests reached backend servers; {:?}",
        Instant::now() - confirmed_at
    ));
    let text = format!("{late} of {sent_late} requests sent later than 2 s after the confirmation were run by the old service");
    match late > 0 {
        true => Verdict::Broken(text),
        false => Verdict::Held(text),
    }
}
