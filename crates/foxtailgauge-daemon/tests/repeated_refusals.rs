//! Backend servers that write a refusal a second time on its connection, in place of the response to
//! the next request there.

mod mesh_support;

use mesh_support::{
    document, exchange, header, report_process, status, wait_for, Mesh, Script, Server,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Callers on each sidecar, and requests of each.
const CALLERS: usize = 6;
const REQUESTS: usize = 60;
/// Slots of a backend server: one for each caller, so that no queue refuses a request.
const SLOTS: u32 = 12;

/// One replica, and sidecars with a colocated backend server each, all known to all of them.
fn start(sidecars: usize) -> (Mesh, Vec<Server>) {
    let mesh = Mesh::start(sidecars);
    assert_eq!(mesh.put_document(0, &document(1)), 200);
    let servers: Vec<Server> = (0..sidecars).map(|_| Server::start()).collect();
    for (n, server) in servers.iter().enumerate() {
        assert_eq!(report(&mesh, n, server, 1), 200);
    }
    for n in 1..=sidecars {
        wait_for("a response", || {
            (status(&send(&mesh, n, "GET", "/view/first", "first")) == 200).then_some(())
        });
    }
    servers.iter().for_each(Server::clear_received);
    (mesh, servers)
}

fn report(mesh: &Mesh, n: usize, server: &Server, sequence: u64) -> u16 {
    let (platform, name) = (mesh.platform_addr(n + 1), format!("i-{n}"));
    report_process(
        &platform,
        &name,
        &server.addr,
        "ready",
        (1, sequence),
        SLOTS,
    )
}

fn send(mesh: &Mesh, sidecar: usize, method: &str, target: &str, id: &str) -> String {
    let text = format!(
        "{method} {target} HTTP/1.1\r\nHost: plans.example\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: 1000\r\nContent-Length: 0\r\n\r\n"
    );
    exchange(&mesh.outbound_addr(sidecar), &text).unwrap_or_default()
}

/// How often the servers started to run each request.
fn run_counts(servers: &[Server]) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for server in servers {
        let received = server.received.lock().expect("received requests");
        for arrival in received.iter().filter(|arrival| arrival.is_started) {
            let id = header(&arrival.text, "attempt-id").unwrap_or_default();
            *runs.entry(id).or_insert(0) += 1;
        }
    }
    runs
}

/// Statuses by which a caller is told that its request did not run.
fn is_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

#[test]
fn request_that_runs_behind_a_repeated_refusal_is_not_reported_as_not_run() {
    let (mesh, servers) = start(1);
    // Status of the refusal, and ids of the refused request and of the one behind it.
    let cases = [
        ("503 No", "r1", "n1"),
        ("429 No", "r2", "n2"),
        ("421 No", "r3", "n3"),
        ("503 No", "same", "same"),
    ];
    let mut sequence = 1;
    for (refusal, refused_id, next_id) in cases {
        servers[0].set_script(Script::RepeatRefusals(refusal));
        for (method, route) in [("GET", "/view"), ("POST", "/commit")] {
            let case = format!("{refusal}, {refused_id} before {next_id}, {route}");
            servers[0].clear_received();
            let refused = send(&mesh, 1, method, &format!("{route}/decline-1"), refused_id);
            assert_eq!(status(&refused), 503, "{case}: {refused}");
            // A 421 makes the server unreachable until its next report.
            sequence += 1;
            assert_eq!(report(&mesh, 0, &servers[0], sequence), 200, "{case}");
            let response = send(&mesh, 1, method, &format!("{route}/next"), next_id);
            let runs = run_counts(&servers);
            let has_run = runs.get(next_id).is_some_and(|count| *count > 0);
            assert!(
                !(has_run && is_not_run(status(&response))),
                "{case}: reported as not run, but ran: {response}"
            );
            // A request that runs at most once is not sent behind a refusal.
            let is_served = status(&response) == 200;
            assert!(is_served || method == "GET", "{case}: {response}");
        }
    }
}

#[test]
fn requests_between_repeated_refusals_run_once_and_are_reported_truthfully() {
    let (mesh, servers) = start(2);
    for server in &servers {
        server.set_script(Script::RepeatRefusals("503 No"));
    }
    let call = |sidecar: usize, caller: usize, n: usize| {
        let id = format!("{sidecar}-{caller}-{n}");
        let name = if n % 2 == 0 { "decline" } else { "next" };
        let response = send(&mesh, sidecar, "POST", &format!("/commit/{name}-{id}"), &id);
        (id, status(&response))
    };
    let responses: Vec<(String, u16)> = std::thread::scope(|scope| {
        let callers = (0..2 * CALLERS).map(|caller| {
            let call = &call;
            scope.spawn(move || {
                let send = |n| call(1 + caller % 2, caller, n);
                (0..REQUESTS).map(send).collect::<Vec<_>>()
            })
        });
        let callers: Vec<_> = callers.collect();
        let join = |caller: std::thread::ScopedJoinHandle<'_, Vec<_>>| caller.join();
        callers
            .into_iter()
            .flat_map(|caller| join(caller).expect("caller panicked"))
            .collect()
    });
    std::thread::sleep(Duration::from_millis(200));
    let runs = run_counts(&servers);
    let run_count = |id: &String| runs.get(id).copied().unwrap_or(0);
    let told_wrong = responses
        .iter()
        .filter(|(id, status)| is_not_run(*status) && run_count(id) > 0)
        .count();
    let twice = runs.values().filter(|count| **count > 1).count();
    let served = responses
        .iter()
        .filter(|(_, status)| *status == 200)
        .count();
    println!(
        "{} requests, {served} served, {told_wrong} reported as not run that ran, {twice} ran twice",
        responses.len()
    );
    assert_eq!((told_wrong, twice), (0, 0));
}
