//! Replays the load of many gateways and a few collectors by a manual clock.

use foxtailgauge_core::{
    AdmissionShare, Allotment, AllotmentGate, Collector, LimitChange, ShareReply, UsageReport,
    UsageRequest, Workspace,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 100;
const COLLECTORS: usize = 3;
const STEP: Duration = Duration::from_millis(10);
const STEPS_PER_S: usize = 100;
/// Steps between reports, exchanges and ticks.
const REPORT_STEPS: usize = 10;
/// Steps until an unanswered message is given up.
const TIMEOUT_STEPS: usize = 30;
/// Workspace whose demand a test varies, and a small one of 0.03 requests a second a gateway.
const LARGE: &str = "large";
const SMALL: &str = "small";

struct Gateway {
    gate: AllotmentGate,
    target: usize,
    send_at: usize,
    /// Replies that arrive at a step.
    replies: VecDeque<(usize, UsageReport, ShareReply)>,
}

/// Requests of one workspace: by step, those that arrived and those that were admitted.
#[derive(Default)]
struct Record {
    arrived: Vec<u64>,
    admitted: Vec<u64>,
}

impl Record {
    fn sum(counts: &[u64], from_s: f64, to_s: f64) -> u64 {
        let step = |s: f64| (s * STEPS_PER_S as f64) as usize;
        counts[step(from_s)..step(to_s).min(counts.len())]
            .iter()
            .sum()
    }

    /// Highest number of admitted requests in any 5 s that begin at `from_s` or later.
    fn highest_window(&self, from_s: f64) -> u64 {
        let from = (from_s * STEPS_PER_S as f64) as usize;
        let windows = self.admitted[from..].windows(5 * STEPS_PER_S);
        windows.map(|window| window.iter().sum()).max().unwrap_or(0)
    }

    fn refused(&self, from_s: f64, to_s: f64) -> u64 {
        Self::sum(&self.arrived, from_s, to_s) - Self::sum(&self.admitted, from_s, to_s)
    }
}

fn window_limit(rate: f64, burst: f64) -> u64 {
    ((rate * 5.0 + burst) * 1.1 + 20.0) as u64
}

struct Fleet {
    gateways: Vec<Gateway>,
    collectors: Vec<Collector>,
    /// Step at which a message from one collector to another may be sent again.
    busy_until: [[usize; COLLECTORS]; COLLECTORS],
    workspaces: BTreeMap<String, Arc<Workspace>>,
    rng: StdRng,
    start: Instant,
    step: usize,
    records: BTreeMap<String, Record>,
    /// Gateways and collectors that reach no collector.
    is_gateway_cut: Vec<bool>,
    is_collector_cut: [bool; COLLECTORS],
    /// What the ticks of all collectors returned.
    changes: Vec<LimitChange>,
}

fn workspace(rate_per_s: f64, burst_requests: u64) -> Arc<Workspace> {
    Arc::new(Workspace {
        allotment: Some(Allotment {
            rate_milli: (rate_per_s * 1_000.0) as u64,
            burst_requests,
        }),
        ..Workspace::default()
    })
}

impl Fleet {
    fn new(large_rate: f64, seed: u64) -> Self {
        let start = Instant::now();
        let workspaces = BTreeMap::from([
            (LARGE.to_owned(), workspace(large_rate, large_rate as u64)),
            (SMALL.to_owned(), workspace(5.0, 5)),
        ]);
        let gateway = |n: usize| Gateway {
            gate: AllotmentGate::default(),
            target: n % COLLECTORS,
            send_at: n % REPORT_STEPS,
            replies: VecDeque::new(),
        };
        let mut fleet = Fleet {
            gateways: (0..GATEWAYS).map(gateway).collect(),
            collectors: Vec::new(),
            busy_until: Default::default(),
            workspaces,
            rng: StdRng::seed_from_u64(seed),
            start,
            step: 0,
            records: BTreeMap::new(),
            is_gateway_cut: vec![false; GATEWAYS],
            is_collector_cut: [false; COLLECTORS],
            changes: Vec::new(),
        };
        fleet.start_collectors(1);
        // Sums and shares settle before the load of a test begins.
        fleet.run(10.0, |_, _| 0.6, |_| 1.0);
        fleet.records.clear();
        fleet.changes.clear();
        fleet
    }

    fn now(&self) -> Instant {
        self.start + STEP * self.step as u32
    }

    fn start_collectors(&mut self, epoch: u64) {
        let now = self.now();
        let addrs: BTreeSet<String> = (0..COLLECTORS).map(|n| format!("c{n}")).collect();
        let start = |addr: &String| {
            let mut collector = Collector::new(addr, epoch, now);
            collector.set_fleet(&addrs, GATEWAYS);
            collector.set_workspaces(&self.workspaces, now);
            collector
        };
        self.collectors = addrs.iter().map(start).collect();
    }

    fn set_limit(&mut self, name: &str, rate: f64, burst: u64) {
        self.workspaces
            .insert(name.to_owned(), workspace(rate, burst));
        let now = self.now();
        for collector in &mut self.collectors {
            collector.set_workspaces(&self.workspaces, now);
        }
    }

    /// Runs for some seconds. `demand` is a multiple of the rate by workspace and time since the
    /// start of this run in seconds; `weight` says how much of it each gateway receives.
    fn run(
        &mut self,
        seconds: f64,
        demand: impl Fn(&str, f64) -> f64,
        weight: impl Fn(usize) -> f64,
    ) {
        let total: f64 = (0..GATEWAYS).map(&weight).sum();
        for step in 0..(seconds * STEPS_PER_S as f64) as usize {
            let time_s = step as f64 / STEPS_PER_S as f64;
            for (name, workspace) in self.workspaces.clone() {
                let allotment = workspace.allotment.expect("an allotment");
                let per_step = demand(&name, time_s) * allotment.rate_per_s() / STEPS_PER_S as f64;
                let (mut arrived, mut admitted) = (0, 0);
                for n in 0..GATEWAYS {
                    let mut expected = per_step * weight(n) / total;
                    // Poisson distributed, by the times between arrivals.
                    while {
                        expected += self.rng.random::<f64>().max(1e-300).ln();
                        expected > 0.0
                    } {
                        arrived += 1;
                        admitted += u64::from(self.request(n, &name, &allotment));
                    }
                }
                let record = self.records.entry(name).or_default();
                record.arrived.push(arrived);
                record.admitted.push(admitted);
            }
            self.exchange_messages();
            self.step += 1;
        }
    }

    fn request(&mut self, n: usize, name: &str, allotment: &Allotment) -> bool {
        let (now, draw) = (self.now(), self.rng.random());
        let gate = &mut self.gateways[n].gate;
        gate.admit(name, allotment, GATEWAYS, draw, now).is_ok()
    }

    fn exchange_messages(&mut self) {
        let (now, step) = (self.now(), self.step);
        for (n, gateway) in self.gateways.iter_mut().enumerate() {
            while gateway.replies.front().is_some_and(|(at, ..)| *at <= step) {
                if let Some((_, report, reply)) = gateway.replies.pop_front() {
                    gateway.gate.apply(&report, reply, now);
                }
            }
            if gateway.send_at > step {
                continue;
            }
            gateway.send_at = step + REPORT_STEPS;
            let Some(report) = gateway.gate.report(&format!("g{n}"), 1, true, now) else {
                continue;
            };
            if self.is_gateway_cut[n] || self.is_collector_cut[gateway.target] {
                gateway.target = (gateway.target + 1) % COLLECTORS;
                gateway.send_at = step + TIMEOUT_STEPS;
                continue;
            }
            let reply = self.collectors[gateway.target].report(&report, now);
            gateway.replies.push_back((step + 1, report, reply));
        }
        if step % REPORT_STEPS != 5 {
            return;
        }
        for from in 0..COLLECTORS {
            self.changes.extend(self.collectors[from].tick(now));
            for to in (0..COLLECTORS).filter(|to| *to != from) {
                self.exchange(from, to, now);
            }
        }
    }

    fn exchange(&mut self, from: usize, to: usize, now: Instant) {
        if self.busy_until[from][to] > self.step {
            return;
        }
        let addr = format!("c{to}");
        let message = self.collectors[from].exchange(&addr, now);
        let Some(UsageRequest::Exchange { report, senders }) = message else {
            return;
        };
        if self.is_collector_cut[from] || self.is_collector_cut[to] {
            self.busy_until[from][to] = self.step + TIMEOUT_STEPS;
            return;
        }
        let epoch = self.collectors[to].receive(&report, senders, now);
        let epoch = epoch.expect("a known collector");
        self.collectors[from].exchanged(&addr, report.serial, epoch);
    }

    #[track_caller]
    fn assert_windows(&self, name: &str, from_s: f64, case: &str) {
        let allotment = self.workspaces[name].allotment.expect("an allotment");
        let limit = window_limit(allotment.rate_per_s(), allotment.burst_requests as f64);
        let highest = self.records[name].highest_window(from_s);
        assert!(highest <= limit, "{case}, {name}: {highest} of {limit}");
    }
}

/// 7.5 times the usual demand of 0.6 of the rate.
const SURGE: f64 = 4.5;

fn surge(name: &str, time_s: f64) -> f64 {
    match name == LARGE && (2.0..8.0).contains(&time_s) {
        true => SURGE,
        false => 0.6,
    }
}

/// Guards against a sum above the allotment during a surge, against a surging workspace that gets
/// less than 0.85 of its rate, and against refusals below the limit.
#[test]
fn surge_is_held_to_the_allotment() {
    for (rate, seed) in [(20.0, 1), (100.0, 2), (1_000.0, 3)] {
        let mut fleet = Fleet::new(rate, seed);
        fleet.run(16.0, surge, |_| 1.0);
        let case = format!("rate {rate}");
        fleet.assert_windows(LARGE, 0.0, &case);
        fleet.assert_windows(SMALL, 0.0, &case);
        let large = &fleet.records[LARGE];
        let admitted = Record::sum(&large.admitted, 2.0, 8.0) as f64;
        assert!(admitted >= 0.85 * rate * 6.0, "{case}: {admitted}");
        assert_eq!(large.refused(0.0, 2.0), 0, "{case}: before the surge");
        assert_eq!(large.refused(9.0, 16.0), 0, "{case}: after the surge");
        assert_eq!(fleet.records[SMALL].refused(0.0, 16.0), 0, "{case}");
        // Each collector states the begin and the end of the limit once.
        let of_small = fleet.changes.iter().filter(|c| c.workspace == SMALL);
        assert_eq!(of_small.count(), 0, "{case}");
        assert_eq!(
            fleet.changes.len(),
            2 * COLLECTORS,
            "{case}: {:?}",
            fleet.changes
        );
        let is_limited = |change: &&LimitChange| change.share.is_some();
        assert_eq!(fleet.changes.iter().filter(is_limited).count(), COLLECTORS);
    }
}

/// Guards against refusals below the limit while the demand is skewed and moves between gateways.
#[test]
fn skewed_and_moving_demand_below_the_limit_is_admitted() {
    for seed in 1..4 {
        let mut fleet = Fleet::new(100.0, seed);
        for part in 0..10 {
            let favoured = part % COLLECTORS;
            let weight = |n: usize| match n % COLLECTORS == favoured {
                true => 1.0,
                false => 0.05,
            };
            fleet.run(1.0, |_, _| 0.7, weight);
        }
        assert_eq!(fleet.records[LARGE].refused(0.0, 10.0), 0, "seed {seed}");
    }
}

/// Guards against a surge that escapes the sum because it comes through few gateways and moves.
#[test]
fn skewed_and_moving_surge_is_held_to_the_allotment() {
    for seed in 1..4 {
        let mut fleet = Fleet::new(100.0, seed);
        for part in 0..10 {
            let favoured = part % COLLECTORS;
            let weight = |n: usize| f64::from(u8::from(n % COLLECTORS == favoured)) + 0.02;
            fleet.run(1.0, |_, _| SURGE, weight);
        }
        fleet.assert_windows(LARGE, 0.0, "moving surge");
        let admitted = Record::sum(&fleet.records[LARGE].admitted, 0.0, 10.0);
        assert!(admitted >= 850, "seed {seed}: {admitted}");
    }
}

/// Guards against a limit that does not bind from one window after it was lowered.
#[test]
fn lowered_limit_binds_after_one_window() {
    let mut fleet = Fleet::new(100.0, 1);
    fleet.run(2.0, |_, _| 0.9, |_| 1.0);
    fleet.set_limit(LARGE, 5.0, 5);
    // The demand stays at 90 requests a second.
    let demand = |name: &str, _| if name == LARGE { 18.0 } else { 0.6 };
    fleet.run(20.0, demand, |_| 1.0);
    fleet.assert_windows(LARGE, 7.0, "lowered limit");
    let admitted = Record::sum(&fleet.records[LARGE].admitted, 7.0, 22.0);
    assert!(admitted as f64 >= 0.85 * 5.0 * 15.0, "{admitted}");
}

/// Guards against two sides of a partition that both use the whole allotment, with the cut at
/// several times around the start of a surge.
#[test]
fn cut_off_collector_does_not_add_to_the_allotment() {
    for cut_at in [1.0, 1.8, 2.0, 2.3, 4.0] {
        // The gateways of the failure domain are cut off with the collector, or reach the others.
        for keeps_gateways in [true, false] {
            let mut fleet = Fleet::new(100.0, 5);
            let mut partition = Partition::new(&mut fleet, keeps_gateways);
            partition.run(cut_at, 0.0, false);
            partition.run(5.0, cut_at, true);
            partition.run(16.0 - cut_at - 5.0, cut_at + 5.0, false);
            let case = format!("cut at {cut_at}, keeps gateways: {keeps_gateways}");
            fleet.assert_windows(LARGE, 0.0, &case);
            let admitted = Record::sum(&fleet.records[LARGE].admitted, 2.0, 8.0);
            let least = if keeps_gateways { 0.85 } else { 0.6 };
            assert!(admitted as f64 >= least * 600.0, "{case}: {admitted}");
        }
    }
}

/// A fleet whose last collector is cut off from the others at times.
struct Partition<'a> {
    fleet: &'a mut Fleet,
    keeps_gateways: bool,
}

impl<'a> Partition<'a> {
    fn new(fleet: &'a mut Fleet, keeps_gateways: bool) -> Self {
        Partition {
            fleet,
            keeps_gateways,
        }
    }

    fn run(&mut self, seconds: f64, from_s: f64, is_cut: bool) {
        let fleet = &mut *self.fleet;
        if self.keeps_gateways && is_cut {
            // Each exchange stays unanswered; the reports of its own gateways arrive.
            for other in 0..COLLECTORS - 1 {
                fleet.busy_until[other][COLLECTORS - 1] = usize::MAX;
                fleet.busy_until[COLLECTORS - 1][other] = usize::MAX;
            }
        } else {
            fleet.busy_until = Default::default();
        }
        fleet.is_collector_cut[COLLECTORS - 1] = is_cut && !self.keeps_gateways;
        fleet.run(
            seconds,
            |name, time_s| surge(name, from_s + time_s),
            |_| 1.0,
        );
    }
}

/// Guards against gateways that admit with an old share while they hear no collector.
#[test]
fn cut_off_gateways_do_not_add_to_the_allotment() {
    for rate in [20.0, 100.0, 1_000.0] {
        for cut_at in [0.5, 2.0, 3.0] {
            let mut fleet = Fleet::new(rate, 7);
            let demand = |from_s: f64| move |name: &str, time_s: f64| surge(name, from_s + time_s);
            fleet.run(cut_at, demand(0.0), |_| 1.0);
            fleet.is_gateway_cut[..17].fill(true);
            fleet.run(6.0, demand(cut_at), |_| 1.0);
            fleet.is_gateway_cut.fill(false);
            fleet.run(16.0 - cut_at - 6.0, demand(cut_at + 6.0), |_| 1.0);
            let case = format!("rate {rate}, cut at {cut_at}");
            fleet.assert_windows(LARGE, 0.0, &case);
            fleet.assert_windows(SMALL, 0.0, &case);
            let admitted = Record::sum(&fleet.records[LARGE].admitted, 2.0, 8.0) as f64;
            assert!(admitted >= 0.85 * rate * 6.0, "{case}: {admitted}");
        }
    }
}

/// Guards against collectors that forget the sum when all of them are restarted, at several times
/// around the start of a surge.
#[test]
fn restart_of_all_collectors_does_not_add_to_the_allotment() {
    for down_at in [1.0, 2.0, 2.5, 4.0] {
        for down_s in [0.3, 1.0, 3.0] {
            let mut fleet = Fleet::new(100.0, 9);
            let demand = |from_s: f64| move |name: &str, time_s: f64| surge(name, from_s + time_s);
            fleet.run(down_at, demand(0.0), |_| 1.0);
            fleet.is_collector_cut = [true; COLLECTORS];
            fleet.run(down_s, demand(down_at), |_| 1.0);
            fleet.is_collector_cut = [false; COLLECTORS];
            fleet.start_collectors(2);
            let up_at = down_at + down_s;
            fleet.run(16.0 - up_at, demand(up_at), |_| 1.0);
            let case = format!("down at {down_at} for {down_s}");
            fleet.assert_windows(LARGE, 0.0, &case);
            fleet.assert_windows(SMALL, 0.0, &case);
            assert_eq!(fleet.records[LARGE].refused(9.5, 16.0), 0, "{case}");
        }
    }
}

/// Requests through gateways with a fixed share.
struct SpreadCase {
    gateways: usize,
    requests: usize,
    share: f64,
}

impl SpreadCase {
    /// Number of requests that all gateways admit; the share is stated again behind every third
    /// request, as by the replies to reports.
    fn admitted_evenly(&self, rng: &mut StdRng) -> usize {
        let start = Instant::now();
        let workspace = workspace(1_000.0, 1_000);
        let allotment = workspace.allotment.expect("an allotment");
        let share = AdmissionShare {
            share_ppm: (self.share * 1e6) as u32,
            retry_after_ms: 100,
        };
        let mut admitted = 0;
        for _ in 0..self.gateways {
            let mut gate = AllotmentGate::default();
            for n in 0..self.requests {
                if n % 3 == 0 {
                    let report = gate.report("g", 1, true, start).expect("a report");
                    let reply = ShareReply {
                        is_ready: true,
                        is_complete: true,
                        shares: vec![(LARGE.to_owned(), share)],
                    };
                    gate.apply(&report, reply, start);
                }
                let draw = rng.random();
                let admission = gate.admit(LARGE, &allotment, self.gateways, draw, start);
                admitted += usize::from(admission.is_ok());
            }
        }
        admitted
    }

    /// The rule before: each request is admitted by a draw of its own.
    fn admitted_by_draws(&self, rng: &mut StdRng) -> usize {
        let requests = self.gateways * self.requests;
        let is_admitted = |_: &usize| rng.random::<f64>() < self.share;
        (0..requests).filter(is_admitted).count()
    }
}

/// Mean and standard deviation over 400 seeds.
fn mean_and_spread(sample: impl Fn(&mut StdRng) -> usize) -> (f64, f64) {
    let sums: Vec<f64> = (0..400)
        .map(|seed| sample(&mut StdRng::seed_from_u64(seed)) as f64)
        .collect();
    let mean = sums.iter().sum::<f64>() / sums.len() as f64;
    let squares = sums.iter().map(|sum| (sum - mean).powi(2)).sum::<f64>();
    (mean, (squares / sums.len() as f64).sqrt())
}

/// Guards against a number of admitted requests that varies as by independent draws, and against
/// gateways that admit in step: both would add to the sum of many gateways with few requests each.
#[test]
fn sum_of_admitted_requests_varies_little() {
    let cases = [
        (100, 1, 0.3),
        (100, 4, 0.17),
        (100, 10, 0.25),
        (5, 200, 0.17),
        (5, 1_000, 0.4567),
    ];
    for (gateways, requests, share) in cases {
        let case = SpreadCase {
            gateways,
            requests,
            share,
        };
        let (mean, spread) = mean_and_spread(|rng| case.admitted_evenly(rng));
        let (_, by_draws) = mean_and_spread(|rng| case.admitted_by_draws(rng));
        let name = format!("{gateways} gateways, {requests} requests each, share {share}");
        println!("{name}: mean {mean:.1}, spread {spread:.2}, by draws {by_draws:.2}");
        let expected = (gateways * requests) as f64 * share;
        // A gateway admits the part rounded up or down, whichever the random begin decides.
        let fraction = (requests as f64 * share).fract();
        let rounding = (gateways as f64 * fraction * (1.0 - fraction)).sqrt();
        assert!((mean - expected).abs() <= 0.25 * by_draws, "{name}: {mean}");
        assert!(spread <= 1.15 * rounding + 0.1, "{name}: {spread}");
    }
}

/// Guards against a gateway that admits by a share from its last report all that a fast caller sends
/// until the next one: 9, 9 and 2 of 20 actions were refused behind a surge.
#[test]
fn caller_that_is_faster_than_the_reports_stays_within_its_allotment() {
    // Share in percent as last stated, and the requests that take part of a second in all.
    let cases = [(100, 1_000), (90, 1_000), (40, 200), (100, 64)];
    for (share_percent, requests) in cases {
        let start = Instant::now();
        let allotment = workspace(2.0, 2).allotment.expect("an allotment");
        let mut gate = AllotmentGate::default();
        let report = gate.report("g", 1, true, start).expect("a report");
        let share = AdmissionShare {
            share_ppm: share_percent * 10_000,
            retry_after_ms: 100,
        };
        let limited = (share_percent < 100).then(|| (SMALL.to_owned(), share));
        let reply = ShareReply {
            is_ready: true,
            is_complete: true,
            shares: limited.into_iter().collect(),
        };
        gate.apply(&report, reply, start);
        let mut admitted = 0;
        for n in 0..requests {
            let now = start + Duration::from_millis(90) * n / requests;
            match gate.admit(SMALL, &allotment, 3, 0.5, now) {
                // Every third one turns out not to run.
                Ok(()) if n % 3 == 0 => gate.refund(SMALL),
                Ok(()) => admitted += 1,
                Err(delay) => assert!(delay <= Duration::from_millis(1_500), "{delay:?}"),
            }
        }
        let case = format!("{requests} requests at a share of {share_percent} %");
        assert!(admitted <= window_limit(2.0, 2.0), "{case}: {admitted}");
        // A surge leaves room for what follows in the same window.
        assert!(admitted <= 10, "{case}: {admitted}");
        let later = start + Duration::from_millis(1_090);
        let is_admitted = |_| gate.admit(SMALL, &allotment, 3, 0.5, later).is_ok();
        assert!((0..3).any(is_admitted), "{case}: nothing a second later");
    }
}

/// Sends requests of one caller until one is refused, and one more after the wait that it is told, in
/// whole seconds as in the response header. Returns whether that one is admitted.
fn is_admitted_after_its_wait(rate: f64, requests_per_s: f64, seed: u64) -> bool {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let workspaces = BTreeMap::from([(SMALL.to_owned(), workspace(rate, rate as u64))]);
    let allotment = workspaces[SMALL].allotment.expect("an allotment");
    let mut collector = Collector::new("c0", 1, start);
    collector.set_fleet(&BTreeSet::from(["c0".to_owned()]), 1);
    collector.set_workspaces(&workspaces, start);
    let mut gate = AllotmentGate::default();
    let report_at_ms = rng.random_range(0..100);
    let mut unread = None;
    let mut next_request_ms = 5_000.0;
    let mut return_at_ms = None;
    for ms in 0..20_000_u64 {
        let now = start + Duration::from_millis(ms);
        if let Some((report, reply)) = unread.take() {
            gate.apply(&report, reply, now);
        }
        if ms % 100 == report_at_ms {
            collector.tick(now);
            let report = gate.report("g", 1, true, now);
            unread = report.map(|report| (report.clone(), collector.report(&report, now)));
        }
        let mut admit = || gate.admit(SMALL, &allotment, 1, rng.random(), now);
        if return_at_ms == Some(ms) {
            return admit().is_ok();
        }
        while return_at_ms.is_none() && next_request_ms <= ms as f64 {
            next_request_ms += 1e3 / requests_per_s;
            if let Err(delay) = admit() {
                return_at_ms = Some(ms + delay.as_secs_f64().ceil() as u64 * 1_000);
            }
        }
    }
    panic!("no request is refused");
}

/// Guards against a refusal that sends a caller back too soon: a request behind a surge was told 1 s and
/// refused again.
#[test]
fn caller_that_returns_after_its_wait_is_admitted() {
    let cases = [
        // Rate and demand, in requests per second.
        (2.0, 8.0),
        (2.0, 60.0),
        (2.0, 200.0),
        (2.0, 800.0),
        (2.0, 4_000.0),
        (20.0, 80.0),
        (20.0, 800.0),
        (20.0, 4_000.0),
        (200.0, 2_000.0),
    ];
    for (rate, demand) in cases {
        let is_admitted = |seed: &u64| is_admitted_after_its_wait(rate, demand, *seed);
        let admitted = (0..100).filter(is_admitted).count();
        assert_eq!(admitted, 100, "{demand}/s for {rate}/s");
    }
}
