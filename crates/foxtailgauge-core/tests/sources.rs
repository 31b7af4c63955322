//! Sources of a daemon while replicas are replaced, and the choice among them.

use foxtailgauge_core::{sources, InstanceState, Presence, ReplicaAddrs, Source, SourceChoice};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

fn instance(name: &str, domain: &str, is_replica: bool, presence: Presence) -> InstanceState {
    InstanceState {
        name: name.to_owned(),
        failure_domain: domain.to_owned(),
        incarnation: 1,
        sequence: 1,
        control_addr: format!("{name}:1"),
        calls_addr: format!("{name}:2"),
        is_replica,
        presence,
        servers: Vec::new(),
        suspects: Vec::new(),
    }
}

fn replica(name: &str, presence: Presence) -> InstanceState {
    instance(name, &name[..1], true, presence)
}

fn addrs(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| format!("{name}:1")).collect()
}

#[test]
fn replicas_of_the_directory_come_before_seeds() {
    use Presence::{Live, Lost, Stopped};
    let seeds = ["a1:1", "b1:1", "c1:1"].map(str::to_owned);
    struct Case {
        name: &'static str,
        known: Vec<InstanceState>,
        live: &'static [&'static str],
        others: &'static [&'static str],
    }
    let table = [
        Case {
            name: "nothing is known",
            known: vec![],
            live: &[],
            others: &["a1", "b1", "c1"],
        },
        Case {
            name: "the seeds are the replicas",
            known: vec![
                replica("a1", Live),
                replica("b1", Live),
                replica("c1", Live),
            ],
            live: &["a1", "b1", "c1"],
            others: &[],
        },
        Case {
            name: "all seeds were replaced",
            known: vec![
                replica("a1", Lost),
                replica("b1", Stopped),
                replica("c1", Lost),
                replica("a2", Live),
                replica("b2", Live),
                replica("c2", Live),
            ],
            live: &["a2", "b2", "c2"],
            others: &["a1", "b1", "c1"],
        },
        Case {
            name: "a lost replica may be back; one that announced its stop is not",
            known: vec![replica("a2", Lost), replica("b2", Stopped)],
            live: &[],
            others: &["a1", "b1", "c1", "a2"],
        },
        Case {
            name: "the address of a lost replica belongs to another one now",
            known: vec![
                replica("a1", Lost),
                InstanceState {
                    control_addr: "a1:1".to_owned(),
                    ..replica("a2", Live)
                },
            ],
            live: &["a1"],
            others: &["b1", "c1"],
        },
        Case {
            name: "other daemons are no replicas",
            known: vec![instance("d1", "a", false, Live)],
            live: &[],
            others: &["a1", "b1", "c1"],
        },
    ];
    for case in table {
        let found = ReplicaAddrs::new("me", case.known.iter(), &seeds);
        let set = |list: &[String]| list.iter().cloned().collect::<BTreeSet<_>>();
        assert_eq!(set(&found.live), addrs(case.live), "{}", case.name);
        assert_eq!(set(&found.others), addrs(case.others), "{}", case.name);
        let count = found.in_order().count();
        assert_eq!(count, case.live.len() + case.others.len(), "{}", case.name);
    }
}

#[test]
fn unknown_seeds_come_before_lost_replicas() {
    let known = [replica("a1", Presence::Lost), replica("b1", Presence::Lost)];
    let seeds = ["a1:1".to_owned(), "new:1".to_owned()];
    for name in ["d1", "d2", "d3", "d4"] {
        let found = ReplicaAddrs::new(name, known.iter(), &seeds);
        assert_eq!(found.others[0], "new:1", "{name}");
    }
}

#[test]
fn each_round_has_the_relay_and_other_replicas() {
    let names: Vec<String> = ('b'..='k').map(|domain| format!("{domain}1")).collect();
    let mut known: Vec<_> = names
        .iter()
        .map(|name| replica(name, Presence::Live))
        .collect();
    known.push(replica("a1", Presence::Live));
    let seeds = ["b1:1".to_owned()];
    let mut tried = BTreeSet::new();
    for round in 0..4 {
        let found = sources("d1", "a", known.iter(), &seeds, 1, round);
        assert_eq!(found[0].control_addr, "a1:1", "round {round}");
        assert!(found.len() <= 4, "round {round}: {found:?}");
        tried.extend(found.into_iter().map(|source| source.control_addr));
    }
    assert_eq!(tried.len(), known.len(), "{tried:?}");
}

fn source(name: &str) -> Source {
    Source {
        name: None,
        control_addr: name.to_owned(),
    }
}

#[test]
fn source_without_a_reply_is_avoided_until_all_were_tried() {
    let now = Instant::now();
    let candidates = ["relay", "r1", "r2"].map(source);
    let mut choice = SourceChoice::default();
    for (n, expected) in ["relay", "r1", "r2"].into_iter().enumerate() {
        let at = now + Duration::from_millis(100 * n as u64);
        let chosen = choice.choose(&candidates, None, at);
        assert_eq!(chosen, Some(source(expected)));
        assert_eq!(choice.round(), 0);
        choice.record_no_reply(expected, at);
    }
    let later = now + Duration::from_secs(1);
    assert_eq!(
        choice.choose(&candidates, None, later),
        Some(source("relay"))
    );
    assert_eq!(choice.round(), 1, "others are candidates next");
    choice.record_contact();
    assert_eq!(choice.round(), 0);
    let much_later = now + Duration::from_secs(6);
    let kept = choice.choose(&candidates, Some(source("r2")), much_later);
    assert_eq!(kept, Some(source("r2")), "a recent source is kept");
    assert_eq!(choice.choose(&[], Some(source("r2")), much_later), None);
}

#[test]
fn other_daemons_are_asked_once_known_replicas_do_not_reply() {
    let now = Instant::now();
    let ms = Duration::from_millis;
    let mut choice = SourceChoice::default();
    assert!(!choice.begin_search(now));
    choice.record_no_reply("relay", now);
    assert!(!choice.begin_search(now), "one source may have restarted");
    choice.avoid("r1", now);
    assert!(!choice.begin_search(now), "a stale source does reply");
    choice.record_no_reply("r2", now);
    assert!(choice.begin_search(now));
    assert!(
        !choice.begin_search(now + ms(900)),
        "a second has not passed"
    );
    assert!(choice.begin_search(now + ms(1_000)));
    choice.record_contact();
    assert!(!choice.begin_search(now + ms(3_000)));
}

/// Candidates that a daemon would probe at `now`, by address.
fn probed(choice: &mut SourceChoice, candidates: &[Source], now: Instant) -> Vec<String> {
    let found = choice.sources_to_probe(candidates, Some("relay"), now);
    found.into_iter().map(|s| s.control_addr).collect()
}

/// Guards against replicas that stay avoided after they run again, and against removed ones that are
/// tried first: the first source that a probe finds current is used at once.
#[test]
fn source_that_is_current_again_is_chosen_at_once() {
    let now = Instant::now();
    let candidates = ["relay", "r1", "r2"].map(source);
    let removed = ["gone1", "gone2", "gone3"].map(source);
    let mut choice = SourceChoice::default();
    for failed in &candidates {
        choice.record_no_reply(&failed.control_addr, now);
    }
    let later = now + Duration::from_millis(500);
    assert_eq!(choice.choose(&removed, None, later), Some(source("gone1")));
    assert_eq!(
        probed(&mut choice, &candidates, later),
        ["relay", "r1", "r2"],
        "all at the same time"
    );
    choice.record_probe_no_reply("relay", later);
    assert!(
        choice.record_probe_current(&source("r2"), later),
        "the first"
    );
    assert!(!choice.record_probe_current(&source("r1"), later));
    let recent = Some(source("gone1"));
    let chosen = choice.choose(&removed, recent, later);
    assert_eq!(chosen, Some(source("r2")), "in any round");
    assert_eq!(choice.choose(&candidates, None, later), Some(source("r2")));
    assert_eq!(probed(&mut choice, &candidates, later), [""; 0]);
}

/// Guards against a daemon that returns to a failed source because some time has passed.
#[test]
fn failed_source_is_used_again_once_a_probe_finds_it_current() {
    let now = Instant::now();
    let secs = Duration::from_secs;
    let candidates = ["relay", "r1"].map(source);
    let mut choice = SourceChoice::default();
    choice.record_no_reply("relay", now);
    choice.record_current("r1");
    for (second, expected_probes) in [(1, vec![]), (6, vec!["relay"]), (7, vec![])] {
        let at = now + secs(second);
        assert_eq!(choice.choose(&candidates, None, at), Some(source("r1")));
        assert_eq!(probed(&mut choice, &candidates, at), expected_probes);
        for addr in expected_probes {
            choice.record_probe_stale(addr, at);
        }
    }
    assert_eq!(probed(&mut choice, &candidates, now + secs(12)), ["relay"]);
    let at = now + secs(12);
    assert!(!choice.record_probe_current(&source("relay"), at));
    let chosen = choice.choose(&candidates, None, at);
    assert_eq!(chosen, Some(source("relay")), "preferred again");
}

/// A source that replies is polled rather than one that does not, while none is current: it passes a change on as
/// soon as it has it.
#[test]
fn stale_source_is_preferred_to_an_unresponsive_one() {
    let now = Instant::now();
    let candidates = ["relay", "r1", "r2"].map(source);
    let mut choice = SourceChoice::default();
    choice.record_no_reply("relay", now);
    choice.record_no_reply("r1", now);
    choice.avoid("r2", now + Duration::from_millis(10));
    let chosen = choice.choose(&candidates, None, now + Duration::from_millis(20));
    assert_eq!(chosen, Some(source("r2")));
}

/// Guards against sidecars that leave a current source for a replica which has just started: they had to wait for
/// its first reply, and missed changes meanwhile.
#[test]
fn current_source_is_kept_until_a_preferred_one_is_proven() {
    let now = Instant::now();
    let candidates = ["new-relay", "r1", "r2"].map(source);
    let mut choice = SourceChoice::default();
    choice.record_current("r1");
    assert_eq!(choice.choose(&candidates, None, now), Some(source("r1")));
    assert!(choice.has_unproven());
    assert_eq!(probed(&mut choice, &candidates, now), ["new-relay"]);
    choice.record_probe_stale("new-relay", now);
    assert_eq!(choice.choose(&candidates, None, now), Some(source("r1")));
    assert!(!choice.has_unproven(), "it is avoided for a while");
    let later = now + Duration::from_secs(5);
    assert_eq!(probed(&mut choice, &candidates, later), ["new-relay"]);
    choice.record_probe_current(&source("new-relay"), later);
    let chosen = choice.choose(&candidates, None, later);
    assert_eq!(chosen, Some(source("new-relay")));
    choice.record_no_reply("r1", later);
    choice.record_no_reply("new-relay", later);
    let chosen = choice.choose(&candidates, None, later);
    assert_eq!(chosen, Some(source("r2")), "nothing is current");
}

/// Guards against a source that answers probes and nothing else, such as one behind a full link: a daemon that
/// has another source does not return to it at once.
#[test]
fn source_that_failed_is_left_alone_while_there_is_another() {
    let now = Instant::now();
    let candidates = ["relay", "r1"].map(source);
    let mut choice = SourceChoice::default();
    choice.record_no_reply("relay", now);
    assert!(choice.record_probe_current(&source("r1"), now));
    assert!(!choice.record_probe_current(&source("relay"), now));
    for ms in [0, 1_000, 4_900] {
        let at = now + Duration::from_millis(ms);
        let chosen = choice.choose(&candidates, None, at);
        assert_eq!(chosen, Some(source("r1")), "after {ms} ms");
    }
}

/// Guards against a daemon that asks for the same update, which it refuses, as often as it can.
#[test]
fn source_of_a_refused_update_is_not_found_by_a_probe() {
    let now = Instant::now();
    let mut choice = SourceChoice::default();
    choice.record_refused("relay", now);
    let later = now + Duration::from_secs(4);
    assert!(!choice.record_probe_current(&source("relay"), later));
    let later = now + Duration::from_secs(5);
    assert!(choice.record_probe_current(&source("relay"), later));
}

/// Guards against a daemon that leaves its source for a removed replica, as the first candidates of the
/// directory are all gone and still listed.
#[test]
fn current_source_is_kept_when_it_is_no_candidate() {
    let now = Instant::now();
    let candidates = ["gone1", "gone2", "gone3"].map(source);
    let mut choice = SourceChoice::default();
    choice.record_current("r1");
    for gone in ["gone1", "gone2", "gone3"] {
        assert_eq!(choice.choose(&candidates, None, now), Some(source("r1")));
        assert_eq!(probed(&mut choice, &candidates, now), [gone]);
        choice.record_probe_no_reply(gone, now);
    }
    assert_eq!(choice.choose(&candidates, None, now), Some(source("r1")));
}
