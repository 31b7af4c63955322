//! Real daemons: a replica is replaced in planned work, and another one loses its disk soon after.

mod mesh_support;

use mesh_support::{document, newest_version, put_document, wait_for, Mesh, Topology};
use std::time::{Duration, Instant};

/// Time for which the successor runs before the old replica ends: more than a platform needs to count
/// the old one as replaced.
const CATCH_UP: Duration = Duration::from_secs(5);
/// Time after the loss until the lost replica is back with an empty disk.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// Time within which the group serves again once all are back.
const RECOVERY: Duration = Duration::from_secs(15);

/// How the replaced replica ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Term,
    Kill,
}

/// Replicas of a group of three, by number; the successor is number 3.
#[derive(Clone, Copy, Debug)]
struct Case {
    replaced: usize,
    end: End,
    /// Time from the end of the replaced replica until the next one loses its disk.
    loss_after_ms: u64,
    lost: usize,
}

/// Puts the next document at any of the replicas; panics if none confirms it within `RECOVERY`.
fn put(mesh: &Mesh, replicas: &[usize], version: u64, case: Case) {
    let deadline = Instant::now() + RECOVERY;
    let next = document(version);
    loop {
        for n in replicas {
            let status = put_document(&mesh.platform_addr(*n), version - 1, &next);
            if status == Some(200) {
                return;
            }
        }
        assert!(
            Instant::now() < deadline,
            "{case:?}: no confirmation of {version}"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn start(spares: usize) -> Mesh {
    let topology = Topology {
        replicas: 3,
        sidecars: 0,
        domains: 3,
        has_links: false,
    };
    Mesh::start_with_spares(topology, spares)
}

fn start_successor(mesh: &mut Mesh, n: usize) {
    mesh.start_daemon(n, false);
    wait_for("the document at the successor", || newest_version(mesh, n));
    std::thread::sleep(CATCH_UP);
}

fn run(case: Case) {
    let mut mesh = start(1);
    put(&mesh, &[0, 1, 2], 1, case);
    start_successor(&mut mesh, 3);
    replace_and_lose(mesh, case, &[0, 1, 2, 3]);
}

/// The same with a first successor that ends for good after a time, whether it votes by then or not.
fn run_with_dead_successor(case: Case, dies_after: Duration) {
    let mut mesh = start(2);
    put(&mesh, &[0, 1, 2], 1, case);
    mesh.start_daemon(4, false);
    std::thread::sleep(dies_after);
    mesh.kill(4);
    start_successor(&mut mesh, 3);
    replace_and_lose(mesh, case, &[0, 1, 2, 3]);
}

/// Ends the replaced replica of a group, takes the disk of another one, and checks what is served.
fn replace_and_lose(mut mesh: Mesh, case: Case, group: &[usize]) {
    match case.end {
        End::Term => {
            mesh.terminate(case.replaced);
            mesh.wait_for_exit(case.replaced);
        }
        End::Kill => mesh.kill(case.replaced),
    }
    let ended = Instant::now();
    let others = group.iter().copied().filter(|n| *n != case.replaced);
    let left: Vec<usize> = others.collect();
    mesh.seeds = left.clone();
    let loss_after = Duration::from_millis(case.loss_after_ms);
    let mut newest = 1;
    if loss_after > Duration::ZERO {
        std::thread::sleep(loss_after.saturating_sub(ended.elapsed()));
        // An order that is confirmed right before the loss, if the group has a leader.
        let order = put_document(&mesh.platform_addr(case.lost), newest, &document(2));
        newest += u64::from(order == Some(200));
    }
    mesh.kill(case.lost);
    std::fs::remove_dir_all(mesh.store_dir(case.lost)).expect("the store");
    std::thread::sleep(RESTART_DELAY);
    mesh.start_daemon(case.lost, false);
    let back = Instant::now();
    for n in &left {
        while newest_version(&mesh, *n).is_none_or(|version| version < newest) {
            let age = back.elapsed();
            if age >= RECOVERY {
                let kept = mesh.keep_files();
                panic!("{case:?}: replica {n} without version {newest} after {age:?}, {kept:?}");
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }
    // An order of unknown outcome may be in force.
    let version = left.iter().filter_map(|n| newest_version(&mesh, *n)).max();
    put(&mesh, &left, version.unwrap_or(newest) + 1, case);
    println!("{case:?}: served {:?} after the return", back.elapsed());
}

/// Runs the cases side by side, three at a time.
fn run_all(cases: &[Case]) {
    for some in cases.chunks(3) {
        std::thread::scope(|scope| {
            for case in some {
                scope.spawn(|| run(*case));
            }
        });
    }
}

fn case(replaced: usize, end: End, loss_after_ms: u64, lost: usize) -> Case {
    Case {
        replaced,
        end,
        loss_after_ms,
        lost,
    }
}

/// Guards against a stopped replica that stays a voter for three seconds: with the next lost disk, the
/// confirmed configuration could not be read any more and no order was confirmed.
#[test]
fn disk_lost_after_a_planned_replacement_is_survived() {
    run_all(&[
        case(2, End::Term, 1_000, 1),
        case(0, End::Term, 1_000, 1),
        case(1, End::Term, 300, 3),
        case(2, End::Term, 0, 0),
        case(0, End::Term, 0, 3),
    ]);
}

/// The same for a replica that is removed without a signal. The disk is lost once the group has had
/// the time to notice.
#[test]
fn disk_lost_after_a_replica_was_killed_and_replaced_is_survived() {
    run_all(&[
        case(2, End::Kill, 1_000, 1),
        case(1, End::Kill, 1_000, 0),
        case(0, End::Kill, 1_000, 3),
    ]);
}

/// Guards against a group without a quorum: a replica was removed without a signal, and another one loses its
/// disk before anybody has noticed.
#[test]
fn disk_lost_at_the_moment_of_a_removal_is_survived() {
    run_all(&[
        case(2, End::Kill, 300, 0),
        case(0, End::Kill, 300, 1),
        case(1, End::Kill, 300, 3),
        case(2, End::Kill, 0, 1),
        case(0, End::Kill, 0, 2),
        case(1, End::Kill, 0, 3),
    ]);
}

/// Guards against a successor that dies while it joins and stays in the group.
#[test]
fn successor_that_dies_while_it_joins_takes_no_loss_away() {
    std::thread::scope(|scope| {
        for (dies_after_ms, case) in [
            (150, case(2, End::Term, 0, 1)),
            (600, case(0, End::Kill, 0, 1)),
            (1_500, case(1, End::Kill, 300, 3)),
        ] {
            let dies_after = Duration::from_millis(dies_after_ms);
            scope.spawn(move || run_with_dead_successor(case, dies_after));
        }
    });
}
