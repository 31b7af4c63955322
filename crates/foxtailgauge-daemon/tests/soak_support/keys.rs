//! Billable actions on the product's own routes, resent with their keys through other daemons, while
//! daemons are killed, paused, stopped and cut off and backend servers refuse.

use super::profile::Plan;
use crate::support::{self, call_at, error_code, new_key, outcome, Call, Fleet};
use foxtailgauge_bench::plan::Deployment;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Twice the number of slots that the servers announce in all.
const CALLERS: u64 = 24;
const BEHAVIOUR: &str = r#"{"run_ms": 40, "announced_slots": 2}"#;
const REFUSING_BEHAVIOUR: &str = r#"{"run_ms": 40, "announced_slots": 2, "shed_percent": 50}"#;
const DEADLINE_MS: u64 = 600;
/// Times after which a caller breaks its connection, in milliseconds.
const TIMEOUTS_MS: [u64; 3] = [30, 150, 1_500];
const MAX_TRIES: usize = 5;
/// Time after the last try until which an action may still begin to run: its claim is void then.
const SETTLE_TIME: Duration = Duration::from_secs(3);
const FAULT_LENGTH_MS: std::ops::Range<u64> = 100..1_500;

/// What was done to a daemon, or to the server or the failure domain next to it.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill,
    Stop,
    Pause,
    Cut,
    Refuse,
}

/// A try of an action: the daemon, times since the start, and the outcome with the error's code;
/// `None` without a response.
type Try = (usize, Duration, Duration, Option<(String, String)>);

/// Makes a run; returns the violations of what is promised for keys.
pub fn run(plan: Plan) -> Vec<String> {
    let mut fleet = support::start(Deployment::Trio, 2, true);
    fleet.apply_all();
    let count = fleet.plan.daemons.len();
    (0..count).for_each(|n| fleet.set_behaviour(n, BEHAVIOUR));
    let daemons = fleet.plan.daemons.iter();
    let addrs: Vec<SocketAddr> = daemons.map(|daemon| daemon.caller_addr).collect();
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let (started, is_done) = (Instant::now(), AtomicBool::new(false));
    let mut faults = Vec::new();
    let actions: Vec<(String, Vec<Try>)> = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let rng = StdRng::seed_from_u64(plan.seed.wrapping_mul(1_000) + caller);
                let (addrs, is_done) = (&addrs, &is_done);
                scope.spawn(move || send_actions(addrs, rng, started, is_done))
            })
            .collect();
        while started.elapsed() < plan.duration {
            let pair: Vec<usize> = rand::seq::index::sample(&mut rng, count, 2).into_vec();
            let pair = pair.into_iter().take(rng.random_range(1..=2));
            let chosen: Vec<(usize, Fault)> = pair.map(|n| (n, random_fault(&mut rng))).collect();
            faults.push((started.elapsed(), chosen.clone()));
            chosen
                .iter()
                .for_each(|(n, fault)| begin(&mut fleet, *n, *fault));
            std::thread::sleep(Duration::from_millis(rng.random_range(FAULT_LENGTH_MS)));
            chosen
                .iter()
                .for_each(|(n, fault)| end(&mut fleet, *n, *fault));
            std::thread::sleep(Duration::from_millis(rng.random_range(0..600)));
        }
        is_done.store(true, Ordering::Relaxed);
        let results = callers
            .into_iter()
            .map(|caller| caller.join().expect("caller panicked"));
        results.flatten().collect()
    });
    std::thread::sleep(SETTLE_TIME);
    let starts = fleet.journal_lines("start");
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for line in &starts {
        let line: serde_json::Value = serde_json::from_str(line).unwrap_or_default();
        *runs
            .entry(line["key"].as_str().unwrap_or_default().to_owned())
            .or_default() += 1;
    }
    let mut told: BTreeMap<&str, usize> = BTreeMap::new();
    let mut found = Vec::new();
    for (key, tries) in &actions {
        let last = tries.last().and_then(|(_, _, _, answer)| answer.as_ref());
        let last = last.map_or("none", |(outcome, _)| outcome);
        *told.entry(last).or_default() += 1;
        let runs = runs.get(key).copied().unwrap_or_default();
        let what = match (last, runs) {
            (_, 2..) => "action ran more than once",
            ("not-run", 1) => "action reported as not run, but ran",
            ("ran", 0) => "action reported as run without a run",
            _ => continue,
        };
        found.push(format!("{what}, {runs} runs: {key}: {tries:?}"));
    }
    println!("{plan:?}: {} keys, last told: {told:?}", actions.len());
    if !found.is_empty() {
        let dir = keep_evidence(&fleet, plan.seed, &format!("{found:#?}\n{faults:#?}"));
        println!("logs, journals and violations in {}", dir.display());
    }
    found
}

/// Sends actions until the end of the run, each again through other daemons until it ran, or until the
/// caller gives up.
fn send_actions(
    addrs: &[SocketAddr],
    mut rng: StdRng,
    started: Instant,
    is_done: &AtomicBool,
) -> Vec<(String, Vec<Try>)> {
    let mut actions = Vec::new();
    while !is_done.load(Ordering::Relaxed) {
        let (key, mut tries) = (new_key(), Vec::new());
        while tries.len() < MAX_TRIES {
            let n = rng.random_range(0..addrs.len());
            let timeout_ms = *TIMEOUTS_MS.choose(&mut rng).expect("no timeouts");
            let call = Call {
                key: Some(key.clone()),
                timeout: Duration::from_millis(timeout_ms),
                ..Call::billable("/layouts/1")
            };
            let call = call.header("Foxtailgauge-Deadline-Ms", &DEADLINE_MS.to_string());
            let sent = started.elapsed();
            let response = call_at(addrs[n], &call);
            let answer = response.map(|r| (outcome(&r).to_owned(), error_code(&r)));
            let is_final = match answer.as_ref().map(|(outcome, _)| outcome.as_str()) {
                Some("ran") => true,
                Some("not-run") => rng.random_bool(0.5),
                _ => false,
            };
            tries.push((n, sent, started.elapsed(), answer));
            if is_final {
                break;
            }
            std::thread::sleep(Duration::from_millis(rng.random_range(0..20)));
        }
        actions.push((key, tries));
    }
    actions
}

fn random_fault(rng: &mut StdRng) -> Fault {
    let faults = [
        Fault::Kill,
        Fault::Stop,
        Fault::Pause,
        Fault::Cut,
        Fault::Refuse,
    ];
    *faults.choose(rng).expect("no faults")
}

fn begin(fleet: &mut Fleet, n: usize, fault: Fault) {
    match fault {
        Fault::Kill => fleet.kill(n),
        // Returns once the daemon has exited.
        Fault::Stop => drop(fleet.stop(n)),
        Fault::Pause => fleet.pause(n),
        Fault::Cut => fleet.partition(&[&fleet.plan.daemons[n].failure_domain.clone()]),
        Fault::Refuse => fleet.set_behaviour(n, REFUSING_BEHAVIOUR),
    }
}

fn end(fleet: &mut Fleet, n: usize, fault: Fault) {
    match fault {
        Fault::Kill | Fault::Stop => fleet.start_daemon(n),
        Fault::Pause => fleet.resume(n),
        Fault::Cut => fleet.partition(&[]),
        Fault::Refuse => fleet.set_behaviour(n, BEHAVIOUR),
    }
}

/// Writes the daemons' logs, the servers' journals and a text to a directory that stays.
fn keep_evidence(fleet: &Fleet, seed: u64, text: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("soak-keys-{seed}-{}", std::process::id()));
    let write = |name: String, text: String| {
        std::fs::write(dir.join(name), text).expect("cannot write to the directory");
    };
    std::fs::create_dir_all(&dir).expect("cannot create the directory");
    for n in 0..fleet.plan.daemons.len() {
        write(format!("d{n}.log"), fleet.log_text(n));
    }
    for event in ["start", "end"] {
        write(event.to_owned(), fleet.journal_lines(event).join("\n"));
    }
    write("violations".to_owned(), text.to_owned());
    dir
}
