//! Tells whether a version answers several times slower than the others, from histograms of run
//! times.
//!
//! Designed for a version that answers 8 times slower in a third of its answers, while run times of a
//! route spread over a factor of 10, and servers differ in speed by 0.6 to 1.4 and have slow periods.
//! Means need too many runs for that, so the histograms decide which of two kinds of explanations
//! fits better: the others' run times with these differences, or a part of them slower by several
//! times. A server is cold for seconds after its start, and then up to twice as slow; its run times
//! have a histogram of their own, which all explanations may shift by that much.

use crate::ids::RouteName;
use crate::rollout_judge::RouteTallies;
use crate::usage::{RunTally, RunTimes};

/// Buckets of a histogram, see [`RunTally::run_times`].
const BUCKETS: usize = 44;
/// Lowest bucket, 16 ms: shorter run times count as this. Daemons and servers with a small fraction
/// of a core differ by as much.
const MIN_BUCKET: usize = 8;
/// Scales of run times by which servers differ, in buckets: 0.5 to 2 times. Half buckets are
/// interpolated.
const SCALES: [f64; 9] = [-2.0, -1.5, -1.0, -0.5, 0.0, 0.5, 1.0, 1.5, 2.0];
/// Scales of cold servers: those of warm ones, and up to 2 buckets on top, which is twice as slow.
const COLD_SCALES: [f64; SCALES.len() + COLD_STEPS - 1] = [
    -2.0, -1.5, -1.0, -0.5, 0.0, 0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 3.5, 4.0,
];
/// Scales of cold servers for each scale of warm ones.
const COLD_STEPS: usize = 5;
/// Differences that servers of a good version show: share and scale, in buckets, of slow periods, and
/// of pauses of the machine, which hit all running requests at once.
const GOOD: [(f64, f64); 3] = [(0.0, 0.0), (0.2, 3.0), (0.08, 6.0)];
/// The same with cold servers. They are observed for 3 s and are few at first, so that slow periods
/// may make up more of that time.
const GOOD_IF_COLD: [(f64, f64); 4] = [(0.0, 0.0), (0.2, 3.0), (0.08, 6.0), (0.4, 3.0)];
/// Differences that servers of a bad version show.
const BAD: [(f64, f64); 5] = [(0.2, 6.0), (0.33, 6.0), (0.33, 5.0), (1.0, 4.0), (1.0, 6.0)];
/// Logarithm of how much more likely the run times must be with a bad version. A good one exceeds it
/// in few of a thousand rollouts.
const BAD_LOG_RATIO: f64 = 4.5;
/// The same with cold servers. 4.5 gave 2 false alarms in 360 rollouts with run times that spread as
/// on real routes, 7 none, and neither missed more bad versions than the other.
const BAD_LOG_RATIO_IF_COLD: f64 = 7.0;
/// The same from which the version is not known to be good, for few and for many runs: with few the
/// ratio of a good version has not fallen far yet.
const DOUBT_LOG_RATIO_FEW: f64 = 2.5;
const DOUBT_LOG_RATIO_MANY: f64 = 1.0;
/// Runs from which they are many.
const MANY_RUNS: f64 = 60.0;
/// Run times of a route from which they are compared.
const MIN_RUNS: u64 = 10;
/// Runs that are assumed in each bucket of the others in addition to the counted ones.
const PRIOR_RUNS: f64 = 0.2;

/// Run times of a route: of the target version, and the distribution of the others on warm servers.
struct Compared {
    target: Vec<(usize, f64)>,
    others: [f64; BUCKETS],
}

impl Compared {
    fn new(target: &RunTimes, others: &RunTimes) -> Option<Self> {
        let target_runs: u64 = target.values().sum();
        let other_runs: u64 = others.values().sum();
        if target_runs == 0 || other_runs < MIN_RUNS {
            return None;
        }
        let all = other_runs as f64 + PRIOR_RUNS * BUCKETS as f64;
        let mut distribution = [PRIOR_RUNS / all; BUCKETS];
        for (bucket, runs) in others {
            distribution[index(*bucket)] += *runs as f64 / all;
        }
        let target = target.iter();
        Some(Compared {
            target: target
                .map(|(bucket, runs)| (index(*bucket), *runs as f64))
                .collect(),
            others: distribution,
        })
    }

    fn runs(&self) -> f64 {
        self.target.iter().map(|(_, runs)| runs).sum()
    }

    /// Probability of a bucket if run times are scaled.
    fn scaled(&self, bucket: usize, scale: f64) -> f64 {
        let position = bucket as f64 - scale;
        let lower = position.floor();
        let weight = position - lower;
        let at = |position: f64| {
            let index = position.clamp(0.0, (BUCKETS - 1) as f64) as usize;
            self.others[index]
        };
        at(lower) * (1.0 - weight) + at(lower + 1.0) * weight
    }

    /// Logarithm of the likelihood of the target version's run times with a scale and a slow part.
    fn log_likelihood(&self, scale: f64, (slow_share, slow_scale): (f64, f64)) -> f64 {
        let of_bucket = |(bucket, runs): &(usize, f64)| {
            let usual = self.scaled(*bucket, scale);
            let slow = self.scaled(*bucket, scale + slow_scale);
            runs * (usual * (1.0 - slow_share) + slow * slow_share).ln()
        };
        self.target.iter().map(of_bucket).sum()
    }
}

fn index(bucket: u8) -> usize {
    usize::from(bucket).clamp(MIN_BUCKET, BUCKETS - 1)
}

/// Run times that are judged together: of one route, or of all.
struct Group<'a> {
    name: &'a str,
    warm: Vec<&'a Compared>,
    cold: Vec<&'a Compared>,
}

impl Group<'_> {
    /// Logarithm of the likelihood under the best explanation of a kind.
    fn best(&self, kinds: &[(f64, f64)]) -> f64 {
        let sum = |parts: &[&Compared], scale: f64, kind: &(f64, f64)| -> f64 {
            parts.iter().map(|p| p.log_likelihood(scale, *kind)).sum()
        };
        let of_kind = |kind: &(f64, f64)| {
            let cold = COLD_SCALES.map(|scale| sum(&self.cold, scale, kind));
            let of_scale = |(n, scale): (usize, &f64)| {
                let of_cold = max(cold[n..n + COLD_STEPS].iter().copied());
                sum(&self.warm, *scale, kind) + of_cold
            };
            max(SCALES.iter().enumerate().map(of_scale))
        };
        max(kinds.iter().map(of_kind))
    }

    /// What the run times say.
    fn slowness(&self) -> Slowness {
        let parts = self.warm.iter().chain(&self.cold);
        let runs: f64 = parts.map(|part| part.runs()).sum();
        if runs < MIN_RUNS as f64 {
            return Slowness::Good;
        }
        let (good, bad_ratio) = match self.cold.is_empty() {
            true => (&GOOD[..], BAD_LOG_RATIO),
            false => (&GOOD_IF_COLD[..], BAD_LOG_RATIO_IF_COLD),
        };
        let ratio = self.best(&BAD) - self.best(good);
        let doubt = match runs < MANY_RUNS {
            true => DOUBT_LOG_RATIO_FEW,
            false => DOUBT_LOG_RATIO_MANY,
        };
        if ratio > bad_ratio {
            let name = self.name;
            Slowness::Bad {
                reason: format!(
                    "run times several times those of the others (route {name}, {ratio:.1}, {} of \
                     {runs} runs on cold servers)",
                    self.cold.iter().map(|part| part.runs()).sum::<f64>()
                ),
            }
        } else if ratio > doubt {
            Slowness::Doubtful
        } else {
            Slowness::Good
        }
    }

    /// The same without the runs on cold servers.
    fn without_cold(&self) -> Self {
        Group {
            name: self.name,
            warm: self.warm.clone(),
            cold: Vec::new(),
        }
    }
}

fn max(values: impl IntoIterator<Item = f64>) -> f64 {
    values.into_iter().fold(f64::NEG_INFINITY, f64::max)
}

/// What the run times of the target version say about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Slowness {
    /// A part of them is several times those of the others, over all routes or on one.
    Bad { reason: String },
    /// They may be.
    Doubtful,
    /// They do not differ by more than servers of a version do.
    Good,
}

/// What is compared.
pub(crate) struct ComparedTallies<'a> {
    /// Runs of the target version.
    pub(crate) target: &'a RouteTallies,
    /// Runs of the others while the target version had runs on warm servers.
    pub(crate) others_in_warm_time: &'a RouteTallies,
    /// Runs of the others while it had runs on cold servers.
    pub(crate) others_in_cold_time: &'a RouteTallies,
}

impl ComparedTallies<'_> {
    /// Run times of a route on warm and on cold servers.
    fn route(&self, name: &RouteName, target: &RunTally) -> [Option<Compared>; 2] {
        let compared = |run_times, others: &RouteTallies| {
            Compared::new(run_times, &others.get(name)?.run_times)
        };
        [
            compared(&target.run_times, self.others_in_warm_time),
            compared(&target.cold_run_times, self.others_in_cold_time),
        ]
    }
}

/// Compares the run times of the target version with those of the others.
pub(crate) fn slowness(tallies: &ComparedTallies<'_>) -> Slowness {
    let target = tallies.target.iter();
    let routes: Vec<_> = target
        .map(|(name, target)| (name, tallies.route(name, target)))
        .collect();
    let all = Group {
        name: "all",
        warm: routes.iter().flat_map(|(_, [warm, _])| warm).collect(),
        cold: routes.iter().flat_map(|(_, [_, cold])| cold).collect(),
    };
    let of_routes = routes.iter().map(|(name, [warm, cold])| Group {
        name,
        warm: warm.iter().collect(),
        cold: cold.iter().collect(),
    });
    let mut result = Slowness::Good;
    for group in std::iter::once(all).chain(of_routes) {
        let is_mixed = !group.warm.is_empty() && !group.cold.is_empty();
        if let (true, bad @ Slowness::Bad { .. }) = (is_mixed, group.without_cold().slowness()) {
            return bad;
        }
        match group.slowness() {
            Slowness::Good => {}
            Slowness::Doubtful => result = Slowness::Doubtful,
            bad @ Slowness::Bad { .. } => return bad,
        }
    }
    result
}
