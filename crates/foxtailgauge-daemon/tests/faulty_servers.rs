//! Backend servers that keep to the protocol only in part, on the product's own routes.

mod support;

use foxtailgauge_bench::plan::Deployment;
use foxtailgauge_wire::http::HttpRequest;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use support::{call_at, call_until_ran, outcome, send, start, Call, Fleet, WAIT_TIMEOUT};

const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// How a backend server deviates from the protocol.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Refuses every second request, and writes the refusal once more after the time.
    RepeatsRefusals(Duration),
    /// Writes these bytes as its answer and closes the connection.
    BreaksOff(&'static str),
}

/// Number of runs by request id, of all faulty servers.
type Runs = Arc<Mutex<BTreeMap<String, usize>>>;

/// Replaces the backend servers by `count` faulty ones.
fn replace_servers(fleet: &Fleet, count: usize, fault: Fault) -> Runs {
    let runs = Runs::default();
    for n in 0..fleet.plan.daemons.len() {
        fleet.server(n).leave();
    }
    for daemon in &fleet.plan.daemons[..count] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let body = serde_json::json!({
            "service": fleet.plan.backend_servers[0].service,
            "addr": listener.local_addr().expect("invalid address"),
            "slots": 20, "state": "ready", "lease_ms": 60_000,
        });
        let body = body.to_string();
        let announcement = HttpRequest {
            method: "PUT",
            target: "/v1/servers/faulty",
            headers: &[],
            body: body.as_bytes(),
        };
        let announced = send(daemon.announce_addr, announcement, WAIT_TIMEOUT);
        assert_eq!(announced.expect("a response").status, 200);
        let (runs, requests) = (Arc::clone(&runs), Arc::new(AtomicUsize::new(0)));
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (runs, requests) = (Arc::clone(&runs), Arc::clone(&requests));
                std::thread::spawn(move || serve(stream, fault, &runs, &requests));
            }
        });
    }
    runs
}

/// Serves a connection until its peer closes it.
fn serve(stream: TcpStream, fault: Fault, runs: &Runs, requests: &AtomicUsize) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut stream = stream;
    loop {
        let (mut id, mut length) = (String::new(), 0);
        loop {
            let mut line = String::new();
            reader
                .read_line(&mut line)
                .ok()
                .filter(|count| *count > 0)?;
            match line.trim_end().to_ascii_lowercase().split_once(": ") {
                Some(("content-length", value)) => length = value.parse().ok()?,
                Some(("x-id" | "idempotency-key", value)) => id = value.to_owned(),
                Some(_) => {}
                None if line == "\r\n" => break,
                None => {}
            }
        }
        reader.read_exact(&mut vec![0; length]).ok()?;
        match fault {
            Fault::RepeatsRefusals(after) if requests.fetch_add(1, Ordering::SeqCst) % 2 == 1 => {
                stream.write_all(REFUSAL).ok()?;
                let mut again = stream.try_clone().ok()?;
                std::thread::spawn(move || {
                    std::thread::sleep(after);
                    again.write_all(REFUSAL)
                });
                continue;
            }
            _ => *runs.lock().unwrap().entry(id).or_default() += 1,
        }
        match fault {
            Fault::RepeatsRefusals(_) => {
                std::thread::sleep(Duration::from_millis(5));
                let response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                stream.write_all(response).ok()?;
            }
            Fault::BreaksOff(response) => {
                stream.write_all(response.as_bytes()).ok()?;
                return stream.shutdown(std::net::Shutdown::Both).ok();
            }
        }
    }
}

fn wait_for_faulty_servers(fleet: &Fleet, count: u32) {
    support::wait_for("only the faulty servers", || {
        let status = fleet.status()?;
        let ready: u32 = status.domains.iter().map(|d| d.ready_servers).sum();
        (ready == count).then_some(())
    });
    std::thread::sleep(Duration::from_millis(300));
}

/// Guards against a repeated refusal that is taken for the answer to the next request.
#[test]
fn refusal_that_is_written_twice_does_not_end_another_request() {
    for after_ms in [0, 2, 20] {
        let fleet = support::trio();
        let fault = Fault::RepeatsRefusals(Duration::from_millis(after_ms));
        let runs = replace_servers(&fleet, 2, fault);
        wait_for_faulty_servers(&fleet, 2);
        let addrs: Vec<_> = fleet.plan.daemons.iter().map(|d| d.caller_addr).collect();
        let reports: Vec<(String, String)> = std::thread::scope(|scope| {
            let addrs = &addrs;
            let send_all = move |worker: usize| {
                let report = |n: usize| {
                    let id = format!("{worker}-{n}");
                    let mut call = Call::get("/notes/1").header("X-Id", &id);
                    call.method = "POST";
                    let response = call_at(addrs[worker % 3], &call).expect("a response");
                    (id, outcome(&response).to_owned())
                };
                (0..40).map(report).collect::<Vec<_>>()
            };
            let workers: Vec<_> = (0..6).map(|w| scope.spawn(move || send_all(w))).collect();
            let reports = workers.into_iter().map(|worker| worker.join().unwrap());
            reports.flatten().collect()
        });
        let runs = runs.lock().unwrap();
        let count = |id: &String| runs.get(id).copied().unwrap_or(0);
        let refused = reports.iter().filter(|(_, outcome)| outcome == "not-run");
        let false_refusals = refused.filter(|(id, _)| count(id) > 0).count();
        let twice = reports.iter().filter(|(id, _)| count(id) > 1).count();
        let ran = reports
            .iter()
            .filter(|(_, outcome)| outcome == "ran")
            .count();
        assert!(ran > 20, "{ran} of {} ran", reports.len());
        assert_eq!(
            (false_refusals, twice),
            (0, 0),
            "refused and run, run twice, {after_ms} ms"
        );
    }
}

/// Guards against part of an answer that is delivered, or recorded for a key, as the whole one.
#[test]
fn answer_that_breaks_off_is_not_delivered_as_a_whole_one() {
    let cases = [
        "",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\n",
    ];
    let fleet = start(Deployment::Trio, 1, false);
    fleet.apply_all();
    call_until_ran(&fleet, 0, &Call::billable("/layouts/1"));
    let mut runs = None;
    for (n, response) in cases.into_iter().enumerate() {
        runs = Some(replace_servers(&fleet, 1, Fault::BreaksOff(response)));
        wait_for_faulty_servers(&fleet, 1);
        // Different bodies: requests that break connections are quarantined.
        let action = Call {
            body: format!("action {n}"),
            ..Call::billable("/layouts/1")
        };
        let path = format!("/plans/{n}");
        for call in [&action, &action, &Call::get(&path)] {
            let answer = fleet.call(1, call).expect("a response");
            assert_eq!(outcome(&answer), "unknown", "{response:?}: {answer:?}");
        }
    }
    assert!(runs.is_some_and(|runs| !runs.lock().unwrap().is_empty()));
}
