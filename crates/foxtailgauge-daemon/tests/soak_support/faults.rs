//! The faults of a run, all from its seed.

use crate::mesh_support::{Script, Topology};
use foxtailgauge_bench::relay::{ConnectionFault, LinkFault};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Time between the starts of two faults, on average.
const FAULT_INTERVAL_MS: u64 = 500;
/// Shortest and longest fault. The longest exceeds the time after which a silent replica is
/// replaced.
const LENGTH_MS: std::ops::Range<u64> = 100..4_500;

/// What goes wrong. Daemons are counted as in the fleet: replicas first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The daemon stands still.
    Pause { daemon: usize },
    /// The daemon is killed, and started again at the end.
    Kill { daemon: usize },
    /// The daemon is told to stop, and started again at the end.
    Stop { daemon: usize },
    /// All replicas are killed, and started again at the end.
    KillReplicas,
    /// The replica is killed in the middle of a write to its log.
    TearLog { replica: usize },
    /// The replica is killed and its disk is lost.
    LoseDisk { replica: usize },
    /// The links of a daemon or a failure domain, by name.
    Links { subject: String, fault: LinkFault },
    /// All open connections between a daemon and the others end.
    Break {
        subject: String,
        how: ConnectionFault,
    },
    /// The backend server beside a daemon misbehaves.
    Server { daemon: usize, script: Script },
    /// The backend server beside a daemon leaves; another one takes its place.
    Replace { daemon: usize },
}

/// A fault and its time, counted from the start of the run.
#[derive(Clone, Debug)]
pub struct Planned {
    pub from: Duration,
    pub until: Duration,
    pub fault: Fault,
}

/// The faults of a seed, in the order of their starts; all end within `length`.
pub fn plan(seed: u64, topology: Topology, length: Duration) -> Vec<Planned> {
    let mut rng = StdRng::seed_from_u64(seed);
    let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
    let mut planned = Vec::new();
    let mut at_ms = 0;
    let mut may_lose_disk = true;
    loop {
        at_ms += rng.random_range(0..=2 * FAULT_INTERVAL_MS);
        if at_ms >= length_ms {
            return planned;
        }
        let fault = fault(&mut rng, topology, &mut may_lose_disk);
        let until_ms = (at_ms + rng.random_range(LENGTH_MS)).min(length_ms);
        planned.push(Planned {
            from: Duration::from_millis(at_ms),
            until: Duration::from_millis(until_ms),
            fault,
        });
    }
}

fn fault(rng: &mut StdRng, topology: Topology, may_lose_disk: &mut bool) -> Fault {
    let daemons = topology.replicas + topology.sidecars;
    let daemon = rng.random_range(0..daemons);
    let replica = rng.random_range(0..topology.replicas);
    let sidecar = rng.random_range(topology.replicas..daemons);
    let subject = match rng.random_range(0..4) {
        0 => format!("z{}", rng.random_range(0..topology.domains)),
        _ => format!("d{daemon}"),
    };
    match rng.random_range(0..12) {
        0 => Fault::Pause { daemon },
        1 => Fault::Kill { daemon },
        2 => Fault::Stop { daemon: sidecar },
        3 => Fault::KillReplicas,
        4 => Fault::TearLog { replica },
        // One disk is what three replicas may lose.
        5 if std::mem::take(may_lose_disk) => Fault::LoseDisk { replica },
        5 | 6 => Fault::Break {
            subject,
            how: match rng.random_range(0..2) {
                0 => ConnectionFault::Reset,
                _ => ConnectionFault::BlackHole,
            },
        },
        7 | 8 => Fault::Links {
            subject,
            fault: match rng.random_range(0..4) {
                0 => LinkFault::Cut,
                1 => LinkFault::CutOutbound,
                2 => LinkFault::CutInbound,
                _ => LinkFault::Delayed(Duration::from_millis(rng.random_range(5..300))),
            },
        },
        9 => Fault::Replace { daemon: sidecar },
        _ => {
            let scripts = [
                Script::Slow(300),
                Script::Slow(3_000),
                Script::Decline,
                Script::Fail,
                Script::Break,
                Script::Truncate,
                Script::MismatchedId,
                Script::BareUnavailable,
            ];
            let script = *scripts.choose(rng).expect("a script");
            Fault::Server {
                daemon: sidecar,
                script,
            }
        }
    }
}
