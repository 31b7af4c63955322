//! Admission, load balancing, retry budget and quarantine.

use foxtailgauge_core::{
    fingerprint, request_digest, Admission, AdmissionGate, AdmissionRefusal, Balancer, CallHealth,
    Candidate, RetryBudget, ServerKey, Suspect, SuspectIndex, SuspectLog, SuspectVerdict,
    QUARANTINE_CRASHES, SUSPECT_TTL_MS,
};
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

const AMPLE_TIME_LEFT: Duration = Duration::from_secs(60);

#[test]
fn gate_runs_waits_and_refuses() {
    let mut gate = AdmissionGate::new(2, 1);
    assert_eq!(gate.arrive(AMPLE_TIME_LEFT), Admission::Run);
    assert_eq!(gate.arrive(AMPLE_TIME_LEFT), Admission::Run);
    assert_eq!(gate.arrive(AMPLE_TIME_LEFT), Admission::Wait);
    let refused = gate.arrive(AMPLE_TIME_LEFT);
    assert!(matches!(
        refused,
        Admission::Refused(AdmissionRefusal::QueueFull { .. })
    ));
    assert!(
        gate.finish(None),
        "the waiting request should take over the slot"
    );
    assert_eq!((gate.running(), gate.waiting()), (2, 0));
    assert!(!gate.finish(None));
    assert!(!gate.finish(None));
    assert_eq!(gate.running(), 0);
}

#[test]
fn gate_refuses_requests_that_cannot_finish_in_time() {
    let mut gate = AdmissionGate::new(1, 100);
    for _ in 0..50 {
        gate.arrive(AMPLE_TIME_LEFT);
        gate.finish(Some(Duration::from_millis(100)));
    }
    assert_eq!(gate.arrive(AMPLE_TIME_LEFT), Admission::Run);
    let decision = gate.arrive(Duration::from_millis(50));
    let Admission::Refused(AdmissionRefusal::TooLate { retry_after }) = decision else {
        panic!("{decision:?}");
    };
    assert!(retry_after > Duration::from_millis(50));
    assert_eq!(gate.waiting(), 0);
}

#[test]
fn draining_gate_refuses_new_requests_and_finishes_admitted_ones() {
    let mut gate = AdmissionGate::new(1, 10);
    assert_eq!(gate.arrive(AMPLE_TIME_LEFT), Admission::Run);
    assert_eq!(gate.arrive(AMPLE_TIME_LEFT), Admission::Wait);
    gate.configure(1, None, true);
    assert_eq!(
        gate.arrive(AMPLE_TIME_LEFT),
        Admission::Refused(AdmissionRefusal::Draining)
    );
    assert!(
        gate.finish(None),
        "a request admitted before draining should still run"
    );
    gate.abandon();
    assert!(!gate.finish(None));
    assert_eq!((gate.running(), gate.waiting()), (0, 0));
}

/// Requests per second that finish within the deadline, with arrivals at `load_factor` times the
/// capacity.
///
/// One backend server with 4 slots at 10 ms per run has a capacity of 400 requests per second.
fn goodput(load_factor: f64) -> f64 {
    const SLOTS: u32 = 4;
    const RUN_US: u64 = 10_000;
    const DEADLINE_US: u64 = 50_000;
    const END_US: u64 = 20_000_000;
    let gap_us = (RUN_US as f64 / f64::from(SLOTS) / load_factor) as u64;
    let mut gate = AdmissionGate::new(SLOTS, 10_000);
    // End of the run and arrival of the request.
    let mut running: VecDeque<(u64, u64)> = VecDeque::new();
    let mut waiting: VecDeque<u64> = VecDeque::new();
    let mut good = 0u64;
    for arrived_us in (0..END_US).step_by(gap_us as usize) {
        while let Some((end_us, request_arrived_us)) = running.front().copied() {
            if end_us > arrived_us {
                break;
            }
            running.pop_front();
            good += u64::from(end_us <= request_arrived_us + DEADLINE_US);
            if gate.finish(Some(Duration::from_micros(RUN_US))) {
                let next = waiting.pop_front().unwrap();
                running.push_back((end_us + RUN_US, next));
            }
        }
        match gate.arrive(Duration::from_micros(DEADLINE_US)) {
            Admission::Run => running.push_back((arrived_us + RUN_US, arrived_us)),
            Admission::Wait => waiting.push_back(arrived_us),
            Admission::Refused(_) => {}
        }
    }
    good as f64 / (END_US as f64 / 1e6)
}

#[test]
fn goodput_under_overload_stays_close_to_that_at_capacity() {
    let at_capacity = goodput(1.0);
    assert!(at_capacity > 390.0, "{at_capacity}");
    for load_factor in [1.5, 2.0, 4.0] {
        let overloaded = goodput(load_factor);
        assert!(
            overloaded >= 0.9 * at_capacity,
            "load factor {load_factor}: {overloaded} of {at_capacity}"
        );
    }
}

fn candidates(domains: &[&str]) -> Vec<Candidate> {
    let candidate = |(n, domain): (usize, &&str)| Candidate {
        key: ServerKey {
            daemon: format!("daemon-{n}"),
            server: "server".to_owned(),
        },
        failure_domain: (*domain).to_owned(),
        calls_addr: format!("127.0.0.1:{n}"),
        slots: 4,
    };
    domains.iter().enumerate().map(candidate).collect()
}

fn chosen(balancer: &mut Balancer, among: &[Candidate], now: Instant) -> Option<Candidate> {
    let mut rng = StdRng::seed_from_u64(1);
    balancer.choose(among, &[], now, &mut rng).cloned()
}

#[test]
fn same_domain_is_preferred_until_its_slots_are_full() {
    let among = candidates(&["a", "a", "b"]);
    let mut balancer = Balancer::new("a");
    let now = Instant::now();
    for _ in 0..8 {
        let candidate = chosen(&mut balancer, &among, now).unwrap();
        assert_eq!(candidate.failure_domain, "a");
    }
    let domains: Vec<String> = (0..4)
        .map(|_| chosen(&mut balancer, &among, now).unwrap().failure_domain)
        .collect();
    assert_eq!(
        domains, ["b"; 4],
        "slots of the same domain should be taken"
    );
    let last = chosen(&mut balancer, &among, now).unwrap();
    assert_eq!(
        last.failure_domain, "a",
        "with all slots taken, requests should queue in the same domain"
    );
}

#[test]
fn load_spreads_evenly() {
    let among = candidates(&["a"; 4]);
    let mut balancer = Balancer::new("a");
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(3);
    let mut counts = std::collections::BTreeMap::new();
    for _ in 0..16 {
        let key = balancer
            .choose(&among, &[], now, &mut rng)
            .unwrap()
            .key
            .clone();
        *counts.entry(key).or_insert(0) += 1;
    }
    assert!(
        counts.values().all(|count| (2..=6).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn failing_server_is_ejected_but_never_more_than_half() {
    let among = candidates(&["a"; 4]);
    let mut balancer = Balancer::new("a");
    let now = Instant::now();
    let fail = |balancer: &mut Balancer, n: usize| {
        for _ in 0..3 {
            balancer.finish(&among[n].key, CallHealth::Failed, None, now);
        }
    };
    fail(&mut balancer, 0);
    let mut rng = StdRng::seed_from_u64(4);
    for _ in 0..40 {
        let key = balancer
            .choose(&among, &[], now, &mut rng)
            .unwrap()
            .key
            .clone();
        assert_ne!(key, among[0].key);
        balancer.finish(&key, CallHealth::Neutral, None, now);
    }
    for n in 1..4 {
        fail(&mut balancer, n);
    }
    assert!(
        chosen(&mut balancer, &among, now).is_some(),
        "with all servers failing, all should be tried"
    );
    let later = now + Duration::from_secs(120);
    let keys: std::collections::BTreeSet<ServerKey> = (0..60)
        .map(|_| {
            balancer
                .choose(&among, &[], later, &mut rng)
                .unwrap()
                .key
                .clone()
        })
        .collect();
    assert_eq!(keys.len(), 4, "ejections should expire");
}

#[test]
fn tried_servers_are_not_chosen_again() {
    let among = candidates(&["a", "a"]);
    let mut balancer = Balancer::new("a");
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(5);
    let tried = [among[0].key.clone()];
    let key = balancer
        .choose(&among, &tried, now, &mut rng)
        .unwrap()
        .key
        .clone();
    assert_eq!(key, among[1].key);
    let all = [among[0].key.clone(), among[1].key.clone()];
    assert!(balancer.choose(&among, &all, now, &mut rng).is_none());
}

#[test]
fn retries_stay_inside_the_budget() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit(10.0);
        while budget.try_withdraw() {
            retries += 1;
        }
    }
    assert!((100..=110).contains(&retries), "{retries}");
    let mut empty = RetryBudget::default();
    while empty.try_withdraw() {}
    empty.deposit(0.0);
    assert!(!empty.try_withdraw());
}

fn suspect_after_crash(request: u64, crash_ms: u64) -> Vec<Suspect> {
    let mut suspect_log = SuspectLog::default();
    suspect_log.record_crash(request, &SuspectIndex::default(), crash_ms);
    suspect_log.current(crash_ms)
}

fn index_of<'a>(published: impl Iterator<Item = &'a Suspect>) -> SuspectIndex {
    SuspectIndex::default().updated(published, 0)
}

#[test]
fn crashing_request_is_suspected_then_quarantined() {
    let digest = request_digest("GET", "/plans/1", b"");
    let request = fingerprint(&digest);
    assert_ne!(
        request,
        fingerprint(&request_digest("GET", "/plans/2", b""))
    );
    let (one, two) = (
        suspect_after_crash(request, 5),
        suspect_after_crash(request, 10),
    );
    let index = index_of(one.iter());
    assert_eq!(index.verdict(request, 6), SuspectVerdict::Suspect);
    assert_eq!(index.verdict(request + 1, 6), SuspectVerdict::Clear);
    // Two daemons recorded one crash each.
    let index = index_of(one.iter().chain(&two));
    assert_eq!(QUARANTINE_CRASHES, 2);
    let until_ms = 10 + SUSPECT_TTL_MS;
    assert_eq!(
        index.verdict(request, 11),
        SuspectVerdict::Quarantined { until_ms }
    );
    assert_eq!(index.verdict(request, until_ms), SuspectVerdict::Clear);
}

#[test]
fn completed_request_is_cleared_of_earlier_crashes() {
    let mut other = SuspectLog::default();
    other.record_completion(1, &SuspectIndex::default(), 20);
    let (early, late) = (suspect_after_crash(1, 10), suspect_after_crash(1, 30));
    let completed = other.current(20);
    let index = index_of(early.iter().chain(&completed));
    assert_eq!(index.verdict(1, 21), SuspectVerdict::Clear);
    let index = index_of(early.iter().chain(&completed).chain(&late));
    assert_eq!(
        index.verdict(1, 31),
        SuspectVerdict::Suspect,
        "the later crash should count"
    );
    let mut local = SuspectLog::default();
    let index = SuspectIndex::default();
    local.record_crash(1, &index, 10);
    local.record_completion(1, &index, 20);
    local.record_crash(1, &index, 30);
    assert_eq!(local.current(31)[0].crashes_ms, [30]);
}
