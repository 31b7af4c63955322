//! Requests that crash backend servers, while daemons restart and other requests are suspected with them.

use foxtailgauge_core::{
    Suspect, SuspectIndex, SuspectLog, SuspectVerdict, MAX_KNOWN_SUSPECTS, MAX_SUSPECTS,
    SUSPECT_TTL_MS,
};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

const POISON: u64 = u64::MAX;

fn is_quarantined(index: &SuspectIndex, fingerprint: u64, now_ms: u64) -> bool {
    let verdict = index.verdict(fingerprint, now_ms);
    matches!(verdict, SuspectVerdict::Quarantined { .. })
}

/// One daemon: what it publishes, and what it knows as a gateway.
#[derive(Clone, Default)]
struct Daemon {
    log: SuspectLog,
    index: SuspectIndex,
}

const ZONES: usize = 4;

/// A fleet in which each change of an entry is known at once to all daemons that are not cut off from it.
struct Fleet {
    /// Names and incarnations of the daemons.
    identities: Vec<(String, u64)>,
    daemons: Vec<Daemon>,
    /// Zone that is cut off.
    cut: Option<usize>,
    now_ms: u64,
}

impl Fleet {
    fn new(daemons: usize) -> Self {
        Fleet {
            identities: (0..daemons).map(|n| (format!("d{n}"), 1)).collect(),
            daemons: vec![Daemon::default(); daemons],
            cut: None,
            now_ms: 1_000_000,
        }
    }

    /// Daemons that reach each other, without the zone that is cut off or in it.
    fn side(&self, is_cut: bool) -> Vec<usize> {
        let daemons = 0..self.daemons.len();
        daemons
            .filter(|n| (self.cut == Some(n % ZONES)) == is_cut)
            .collect()
    }

    fn published(&self, side: &[usize]) -> Vec<Suspect> {
        let logs = side.iter().map(|n| &self.daemons[*n].log);
        logs.flat_map(|log| log.current(self.now_ms)).collect()
    }

    fn spread(&mut self) {
        for side in [false, true].map(|is_cut| self.side(is_cut)) {
            let published = self.published(&side);
            for n in side {
                let index = &mut self.daemons[n].index;
                *index = index.updated(published.iter(), self.now_ms);
            }
        }
    }

    /// Daemons take over what those that they do not reach no longer publish.
    fn take_over(&mut self) {
        for side in [false, true].map(|is_cut| self.side(is_cut)) {
            let published = self.published(&side);
            for n in &side {
                let live = side.iter().map(|n| {
                    let (name, start) = &self.identities[*n];
                    (name, *start)
                });
                let daemon = &mut self.daemons[*n];
                let name = &self.identities[*n].0;
                let orphans = daemon
                    .index
                    .orphans(published.iter(), name, live, self.now_ms);
                daemon.log.adopt(orphans, self.now_ms);
            }
        }
        self.spread();
    }

    fn cut(&mut self, zone: Option<usize>) {
        self.cut = zone;
        self.spread();
        self.take_over();
    }

    fn crash(&mut self, at: usize, fingerprint: u64) {
        self.now_ms += 1;
        let daemon = &mut self.daemons[at];
        daemon
            .log
            .record_crash(fingerprint, &daemon.index, self.now_ms);
        self.spread();
    }

    /// Daemons that start, at the same time, know the entries that others publish. Others take over those
    /// that are gone.
    fn restart(&mut self, restarted: &[usize]) {
        self.now_ms += 1;
        for at in restarted {
            self.daemons[*at] = Daemon::default();
            self.identities[*at].1 = self.now_ms * 1_000;
        }
        self.spread();
        self.take_over();
    }

    /// Sends a request that crashes its backend server unless its gateway refuses it.
    fn send(&mut self, gateway: usize, server: usize, fingerprint: u64) -> bool {
        let is_refused = is_quarantined(&self.daemons[gateway].index, fingerprint, self.now_ms);
        if !is_refused {
            self.crash(server, fingerprint);
        }
        !is_refused
    }
}

/// Guards against records of crashes that go with the daemons that saw them.
#[test]
fn quarantine_outlives_the_daemons_that_saw_the_crashes() {
    let mut fleet = Fleet::new(7);
    fleet.crash(4, POISON);
    fleet.crash(5, POISON);
    fleet.restart(&[4]);
    fleet.restart(&[5]);
    for gateway in 0..7 {
        let index = &fleet.daemons[gateway].index;
        assert!(is_quarantined(index, POISON, fleet.now_ms), "{gateway}");
    }
    // After all others have restarted as well, one after the other.
    for at in [0, 1, 2, 3, 6] {
        fleet.restart(&[at]);
    }
    let index = &fleet.daemons[6].index;
    assert!(is_quarantined(index, POISON, fleet.now_ms));
    let end_ms = fleet.now_ms + SUSPECT_TTL_MS;
    assert_eq!(index.verdict(POISON, end_ms), SuspectVerdict::Clear);
}

/// Guards against adopters that know nothing of the request, because they have just started.
#[test]
fn quarantine_outlives_restarts_in_a_small_fleet_whatever_the_request() {
    for request in 0..200 {
        let mut fleet = Fleet::new(4);
        fleet.crash(1, request);
        fleet.crash(2, request);
        for restarted in [&[1, 2][..], &[3], &[0], &[1], &[2], &[3]] {
            fleet.restart(restarted);
            for (n, daemon) in fleet.daemons.iter().enumerate() {
                let is_refused = is_quarantined(&daemon.index, request, fleet.now_ms);
                assert!(is_refused, "request {request}, {n} after {restarted:?}");
            }
        }
    }
}

/// Guards against innocent requests that push a quarantined one out: they were in flight when backend
/// servers crashed for other reasons.
#[test]
fn hundreds_of_suspects_do_not_push_out_a_quarantined_request() {
    let mut fleet = Fleet::new(2);
    fleet.crash(0, POISON);
    fleet.crash(0, POISON);
    for innocent in 0..500 {
        fleet.crash(0, innocent);
    }
    let published = fleet.daemons[0].log.current(fleet.now_ms);
    assert_eq!(published.len(), MAX_SUSPECTS);
    assert!(published.iter().any(|s| s.fingerprint == POISON));
    // The newest of the others are kept.
    assert!(published.iter().any(|s| s.fingerprint == 499));
    let mut later = SuspectIndex::default();
    later = later.updated(published.iter(), fleet.now_ms);
    assert!(is_quarantined(&later, POISON, fleet.now_ms));
}

/// Hundreds of requests crash servers while all daemons restart in turn, several times, and each zone is cut
/// off for a while. Only the requests of gateways in touch are bounded.
#[test]
fn each_of_hundreds_of_crashing_requests_is_stopped_while_daemons_restart() {
    const REQUESTS: u64 = 200;
    const DAEMONS: usize = 16;
    for seed in 0..2 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(DAEMONS);
        let mut runs = [0_u32; REQUESTS as usize];
        let mut restarts = (0..DAEMONS).cycle();
        for step in 0..4_000 {
            let is_cut = rng.random_ratio(1, ZONES as u32);
            let side = match fleet.side(is_cut) {
                side if side.is_empty() => fleet.side(false),
                side => side,
            };
            let [gateway, server] = [(); 2].map(|()| *side.choose(&mut rng).expect("a daemon"));
            let request = rng.random_range(0..REQUESTS);
            let has_run = fleet.send(gateway, server, request);
            let is_in_touch = fleet.cut != Some(gateway % ZONES);
            runs[request as usize] += u32::from(has_run && is_in_touch);
            match step % 500 {
                200 => fleet.cut(Some(step / 500 % ZONES)),
                400 => fleet.cut(None),
                _ => {}
            }
            if step % 80 == 79 {
                fleet.restart(&[restarts.next().expect("a cycle")]);
            }
        }
        let most = runs.iter().max();
        // Two until it is refused, and three late ones.
        assert!(most <= Some(&5), "seed {seed}: {runs:?}");
    }
}

/// Guards against an index that grows with each request that was ever suspected.
#[test]
fn known_suspects_are_bounded_and_the_quarantined_ones_stay() {
    let mut index = SuspectIndex::default();
    let suspect = |fingerprint, crashes_ms: &[u64]| Suspect {
        fingerprint,
        crashes_ms: crashes_ms.to_vec(),
        completed_ms: 0,
    };
    index = index.updated([suspect(POISON, &[5, 6])].iter(), 10);
    for part in 0..20 {
        let first = part * 1_000;
        let innocents: Vec<Suspect> = (first..first + 1_000)
            .map(|fingerprint| suspect(fingerprint, &[10 + part]))
            .collect();
        index = index.updated(innocents.iter(), 10 + part);
        assert!(index.len() <= MAX_KNOWN_SUSPECTS);
    }
    assert!(is_quarantined(&index, POISON, 100));
    let none = index.updated([].iter(), 100 + SUSPECT_TTL_MS);
    assert_eq!(none.len(), 0);
}
