//! Who ends a forwarded request when gateways, executors and the connections between them fail, and
//! whether what the caller is told is true.

mod ends_support;
mod mesh_support;

use mesh_support::{
    document, exchange, report_process, status, wait_for, Arrival, Mesh, Script, Server,
};
use rustix::process::Signal;
use std::time::Duration;

/// Seed and time with faults in CI.
const CI_RUN: (u64, Duration) = (1, Duration::from_secs(6));

#[test]
fn callers_are_told_the_truth_while_daemons_and_links_fail() {
    let (seed, duration) = CI_RUN;
    let violations = ends_support::run(seed, duration);
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
}

/// `ENDS` contains the first seed, the number of seeds and the seconds with faults for each.
#[test]
#[ignore = "run by hand with the seeds in ENDS"]
fn callers_are_told_the_truth_for_many_seeds() {
    let text = std::env::var("ENDS").unwrap_or_else(|_| "1 5 20".to_owned());
    let numbers: Vec<u64> = text.split(' ').map(|word| word.parse().unwrap()).collect();
    let [first, count, seconds] = numbers[..] else {
        panic!("ENDS must have three numbers: {text}");
    };
    let mut failed = Vec::new();
    for seed in first..first + count {
        let violations = ends_support::run(seed, Duration::from_secs(seconds));
        println!("seed {seed}: {} violations", violations.len());
        violations
            .iter()
            .take(20)
            .for_each(|line| println!("  {line}"));
        failed.extend((!violations.is_empty()).then_some(seed));
    }
    assert!(failed.is_empty(), "seeds with violations: {failed:?}");
}

/// Requests that a gateway gives up while their executor stands still.
const GIVEN_UP: usize = 12;

/// The executor has open connections to its server, over which it could send them at once.
#[test]
fn request_given_up_while_its_executor_stands_still_is_not_run_afterwards() {
    let mesh = Mesh::start(2);
    assert_eq!(mesh.put_document(0, &document(1)), 200);
    let server = Server::start();
    let platform = mesh.platform_addr(2);
    let report = report_process(&platform, "i-1", &server.addr, "ready", (1, 1), 20);
    assert_eq!(report, 200);
    let outbound = mesh.outbound_addr(1);
    let send = |target: &str, id: &str, deadline_ms: u64| {
        let request = format!(
            "{target}{id} HTTP/1.1\r\nHost: plans.example\r\nAttempt-Id: {id}\r\n\
             Deadline-Ms: {deadline_ms}\r\nContent-Length: 0\r\n\r\n"
        );
        status(&exchange(&outbound, &request).unwrap_or_default())
    };
    let send_many = |target: &str, kind: &str, deadline_ms: u64| -> Vec<u16> {
        std::thread::scope(|scope| {
            let send = &send;
            let caller = |n| scope.spawn(move || send(target, &format!("{kind}-{n}"), deadline_ms));
            let callers: Vec<_> = (0..GIVEN_UP).map(caller).collect();
            let join = |caller: std::thread::ScopedJoinHandle<_>| caller.join().unwrap();
            callers.into_iter().map(join).collect()
        })
    };
    wait_for("a response", || {
        (send("GET /view/", "first", 1_000) == 200).then_some(())
    });
    for target in ["POST /commit/", "GET /view/"] {
        server.set_script(Script::Slow(50));
        assert_eq!(send_many(target, "before", 1_000), [200; GIVEN_UP]);
        server.clear_received();
        mesh.signal(2, Signal::STOP);
        let statuses = send_many(target, "late", 150);
        mesh.signal(2, Signal::CONT);
        assert_eq!(statuses, [504; GIVEN_UP], "{target}");
        wait_for("a response", || {
            (send("GET /view/", "after", 1_000) == 200).then_some(())
        });
        std::thread::sleep(Duration::from_millis(500));
        let received = server.received.lock().unwrap();
        let is_late = |arrival: &&Arrival| arrival.text.contains("/late-");
        let late = received.iter().filter(is_late).count();
        assert_eq!(late, 0, "{target}: requests that nobody waited for arrived");
    }
}
