//! Case: a configuration is changed once a second, and a replica stops for good (a deadlock); then one
//! machine of the core loses power. Several small deployments are played side by side, as it takes two threads that meet.

mod harness;
use harness::*;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const DEPLOYMENTS: u32 = 24;
const SIDECARS: usize = 9;
/// Routes of the configuration.
const ROUTES: u32 = 20;
/// Time between two orders: as long as a daemon holds a poll (`hold_ms` of the deploy files) and the next poll takes to arrive.
const ORDER_INTERVAL: Duration = Duration::from_micros(1_000_300);
/// Largest addition to it, in microseconds.
const JITTER_US: u64 = 600;
/// Time of the orders.
const CHANGED: Duration = Duration::from_secs(78);
/// Status checks in a row without an answer, of a second each, after which a daemon counts as hung.
const MISSED: u32 = 5;
/// `contact_ms`, after which the core is stable again.
const CONTACT: Duration = Duration::from_millis(3_100);
/// `ack_timeout_ms` and 3 ms for each route, and some more.
const CONFIRMED_WITHIN: Duration = Duration::from_millis(4_000 + 3 * ROUTES as u64 + 1_500);

fn main() {
    let file = std::env::args().nth(1).expect("file of the record");
    let record = Record::new(Path::new(&file));
    let is_over = Arc::new(AtomicBool::new(false));
    let plays: Vec<_> = (0..DEPLOYMENTS)
        .map(|number| {
            let (record, is_over) = (record.clone(), Arc::clone(&is_over));
            thread::spawn(move || play(number, &record, &is_over))
        })
        .collect();
    let results: Vec<_> = plays.into_iter().map(|play| play.join().unwrap()).collect();
    let late = results.iter().filter(|result| **result == Ok(true)).count();
    let error = results.iter().find_map(|result| result.as_ref().err());
    let (code, text) = match error {
        _ if late > 0 => (1, format!("an order had no confirmation in {late} of {DEPLOYMENTS} deployments")),
        Some(error) => (2, error.clone()),
        None => (0, "all orders were confirmed".to_owned()),
    };
    record.line(format!("result {code}: {text}"));
    println!("{code}: {text}");
    std::process::exit(code);
}

/// Plays one deployment; returns whether an order had no confirmation in time.
fn play(number: u32, record: &Record, is_over: &Arc<AtomicBool>) -> Result<bool, String> {
    let mut fleet = Fleet::numbered(record, number);
    let machine = |fleet: &Fleet, class, name: String, at: usize| Machine {
        name: format!("{number}/{name}"),
        class,
        ip: fleet.ip(at),
        zone: format!("zone-{}", at % 3),
        service: "svc".to_owned(),
    };
    let core: Vec<Machine> = (1..=3).map(|at| machine(&fleet, "core", format!("core-{at}"), at)).collect();
    let sides: Vec<Machine> = (1..=SIDECARS)
        .map(|at| machine(&fleet, "sidecar", format!("sidecar-{at}"), 3 + at))
        .collect();
    let addrs: Vec<String> = core.iter().map(|m| fleet.control(m)).collect();
    for machine in core.iter().chain(&sides) {
        fleet.start(machine, &addrs, true);
    }
    let mut version = 1;
    if put_config(record, &addrs, 0, &large_config(version), Duration::from_secs(20)) != Some(200) {
        return Err("the first configuration was not accepted".to_owned());
    }
    sleep_ms(4_000);
    let checked: Vec<Machine> = core.iter().chain(&sides).cloned().collect();
    let hung = Arc::new(Mutex::new(None));
    let checking = check(&fleet, &checked, record, is_over, &hung);
    let begun = Instant::now();
    let mut order_at = begun;
    let mut random = u64::from(std::process::id() + number) * 7_919 + 17;
    while begun.elapsed() < CHANGED && !is_over.load(Ordering::SeqCst) {
        thread::sleep(order_at.saturating_duration_since(Instant::now()));
        if put_config(record, &addrs[..1], version, &large_config(version + 1), Duration::from_secs(10)) == Some(200) {
            version += 1;
        }
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        order_at += ORDER_INTERVAL + Duration::from_micros((random >> 33) % JITTER_US);
    }
    is_over.store(true, Ordering::SeqCst);
    let _ = checking.join();
    let hung: Option<usize> = *hung.lock().unwrap();
    if let Some(at) = hung {
        if fleet.has_ended(&checked[at]) {
            return Err(format!("the process of {} has ended", checked[at].name));
        }
        record.line(format!("{} hangs; its process runs, and nothing disturbed it", checked[at].name));
    }
    // One machine of the core loses power: not the one that hangs.
    let lost = if hung == Some(0) { 1 } else { 0 };
    if has_trouble() {
        record.line(format!("{} loses power", core[lost].name));
        fleet.signal(&core[lost], "KILL");
        fleet.wait_end(&core[lost]);
        thread::sleep(CONTACT);
    }
    let left: Vec<String> = (0..3).filter(|at| !has_trouble() || *at != lost).map(|at| addrs[at].clone()).collect();
    record.line(format!("{number}: order of version {} at the machines that run", version + 1));
    let sent = Instant::now();
    let answer = put_config(record, &left, version, &large_config(version + 1), CONFIRMED_WITHIN);
    let text = format!("{number}: order of version {}: {answer:?} after {:.1} s", version + 1, sent.elapsed().as_secs_f64());
    record.line(text);
    if std::env::var("KEEP").is_ok() && answer.is_none() {
        sleep_ms(40_000);
    }
    Ok(answer.is_none())
}

/// Sends status checks to the daemons, as the platform does, until the orders end or one seems to hang.
fn check(fleet: &Fleet, machines: &[Machine], record: &Record, is_over: &Arc<AtomicBool>, hung: &Arc<Mutex<Option<usize>>>) -> thread::JoinHandle<()> {
    let addr = |machine: &Machine| match machine.class {
        "core" => fleet.control(machine),
        _ => fleet.ready(machine),
    };
    let named: Vec<(String, String)> = machines.iter().map(|m| (m.name.clone(), addr(m))).collect();
    let (record, is_over, hung) = (record.clone(), Arc::clone(is_over), Arc::clone(hung));
    thread::spawn(move || {
        let mut missed = vec![0; named.len()];
        while !is_over.load(Ordering::SeqCst) {
            for (at, (name, addr)) in named.iter().enumerate() {
                match call(addr, "GET", "/foxtailgauge/ready", &[], b"", Duration::from_secs(1)) {
                    Ok(_) => missed[at] = 0,
                    Err(_) => missed[at] += 1,
                }
                if missed[at] >= MISSED {
                    record.line(format!("{name} has not answered {MISSED} status checks in a row"));
                    *hung.lock().unwrap() = Some(at);
                    is_over.store(true, Ordering::SeqCst);
                    return;
                }
            }
            sleep_ms(1_000);
        }
    })
}

/// A configuration with some more routes.
fn large_config(version: u32) -> String {
    let route = |number: u32| {
        format!(
            r#",{{"name":"r-{number}","route_type":"safe","target_latency_ms":800,"priority":1,"match":{{"path_prefix":"/idle{number}/"}},"action":{{"service":"svc","timeout_ms":5000,"max_attempts":2}}}}"#
        )
    };
    let extra: String = (0..ROUTES).map(route).collect();
    config(version, "first.example", "svc", &extra)
}
