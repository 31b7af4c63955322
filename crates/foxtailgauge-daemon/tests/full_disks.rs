//! Real replicas whose disks refuse writes for a while, one after another.

mod mesh_support;

use mesh_support::{document, newest_version, wait_for, Mesh, Topology};
use std::os::unix::fs::symlink;
use std::path::Path;
use std::time::{Duration, Instant};

/// Time that the group is given after a fault.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Time within which a change is acknowledged.
const ACK_TIMEOUT: Duration = Duration::from_secs(4);
/// Event of a failed store.
const STORE_FAILED: &str = "\"event\":2003";

/// What stands in the place of a file that a replica is about to write.
#[derive(Clone, Copy, Debug)]
enum Obstacle {
    /// The disk has no space for the bytes.
    Full,
    /// The disk accepts the bytes, and the sync fails.
    Unsynced,
    /// The file cannot be created.
    Uncreated,
}

impl Obstacle {
    const ALL: [Obstacle; 3] = [Obstacle::Full, Obstacle::Unsynced, Obstacle::Uncreated];

    fn place(self, file: &Path) {
        // The file exists for a moment while the replica replaces another one by it.
        wait_for("a free name", || {
            match self {
                Obstacle::Full => symlink("/dev/full", file),
                Obstacle::Unsynced => symlink("/dev/null", file),
                Obstacle::Uncreated => std::fs::create_dir(file),
            }
            .ok()
        });
    }

    fn remove(self, file: &Path) {
        match self {
            Obstacle::Full | Obstacle::Unsynced => std::fs::remove_file(file),
            Obstacle::Uncreated => std::fs::remove_dir(file),
        }
        .expect("cannot remove the obstacle");
    }
}

/// Makes one change on top of the newest document, through any replica; whether it is acknowledged.
fn change(mesh: &Mesh, replicas: usize) -> bool {
    (0..replicas).any(|n| {
        let Some(version) = newest_version(mesh, n) else {
            return false;
        };
        let next = document(version + 1);
        mesh_support::put_document(&mesh.platform_addr(n), version, &next) == Some(200)
    })
}

fn assert_acknowledged(mesh: &Mesh, replicas: usize, what: &str) {
    let started = Instant::now();
    while !change(mesh, replicas) {
        let age = started.elapsed();
        let logs: Vec<_> = (0..replicas)
            .flat_map(|n| mesh.grep(n, STORE_FAILED))
            .collect();
        assert!(age < ACK_TIMEOUT, "{what}: no acknowledgement: {logs:#?}");
    }
}

fn start(replicas: usize) -> Mesh {
    let mesh = Mesh::start_with(Topology {
        replicas,
        sidecars: 0,
        domains: replicas,
        has_links: false,
    });
    assert_eq!(mesh.put_document(0, &document(1)), 200);
    for n in 0..replicas {
        wait_for("the first document", || newest_version(&mesh, n));
    }
    mesh
}

/// Makes changes until a replica has failed to write one of its files.
fn fail_store(mesh: &Mesh, n: usize, replicas: usize, obstacle: Obstacle, file: &Path) {
    let failures = mesh.grep(n, STORE_FAILED).len();
    obstacle.place(file);
    wait_for("the failure", || {
        change(mesh, replicas);
        (mesh.grep(n, STORE_FAILED).len() > failures).then_some(())
    });
}

/// Guards against replicas that end at a failed write other than for a lack of bytes: each was lost
/// until its restart, and with the second one the group.
#[test]
fn changes_are_acknowledged_after_the_disks_of_all_replicas_failed_in_turn() {
    const REPLICAS: usize = 3;
    let mesh = start(REPLICAS);
    for obstacle in Obstacle::ALL {
        for n in 0..REPLICAS {
            let what = format!("{obstacle:?} at replica {n}");
            let file = mesh.store_dir(n).join("config").join("snapshot.new");
            fail_store(&mesh, n, REPLICAS, obstacle, &file);
            assert_acknowledged(&mesh, REPLICAS, &what);
            obstacle.remove(&file);
            std::thread::sleep(CATCH_UP);
        }
    }
    assert_acknowledged(&mesh, REPLICAS, "at the end");
    let newest = wait_for("the newest version", || newest_version(&mesh, 0));
    // Each replica takes part: any two of them form a quorum.
    for n in 0..REPLICAS {
        assert_eq!(newest_version(&mesh, n), Some(newest), "replica {n}");
    }
}

/// Guards against a replica that fails for good while it starts: on a full disk a new one can neither
/// write its identity nor its first record.
#[test]
fn replica_joins_once_its_disk_has_space() {
    for (name, obstacle) in [
        ("replica.new", Obstacle::Full),
        ("replica.new", Obstacle::Unsynced),
        ("ledger/log", Obstacle::Uncreated),
    ] {
        let mut mesh = start(3);
        mesh.kill(2);
        std::fs::remove_dir_all(mesh.store_dir(2)).expect("cannot remove the store");
        let file = mesh.store_dir(2).join(name);
        std::fs::create_dir_all(file.parent().expect("a directory")).expect("the directory");
        obstacle.place(&file);
        mesh.start_daemon(2, false);
        wait_for("the failure", || mesh.grep(2, STORE_FAILED).pop());
        assert!(!mesh.has_exited(2), "{name}: {obstacle:?}");
        assert_acknowledged(&mesh, 2, name);
        obstacle.remove(&file);
        wait_for("the document", || newest_version(&mesh, 2));
        std::thread::sleep(CATCH_UP);
        // The quorum now depends on the replica.
        mesh.kill(0);
        wait_for("an acknowledgement", || {
            let version = newest_version(&mesh, 2)?;
            let next = document(version + 1);
            let status = mesh_support::put_document(&mesh.platform_addr(2), version, &next);
            (status == Some(200)).then_some(())
        });
    }
}
