//! Control hosts whose files are damaged: each continues as a host with a new disk.

use std::fs;
use std::path::Path;

use dunlinspring::consensus::raft::{DiskRecord, LogEntry, LogMark, LogSnapshot, Payload};
use dunlinspring::control::bootstrap;
use dunlinspring::control::journal::{self, DiskJournal};
use dunlinspring::control::shell::ControlDaemon;
use dunlinspring::ids::{NodeId, Position, Term};
use tempfile::TempDir;

mod support_control;
use support_control::{leader_of, listeners, secret, settings, status_where};

fn flip_byte(path: &Path, at: usize) {
    let mut bytes = fs::read(path).unwrap();
    bytes[at] ^= 0x10;
    fs::write(path, bytes).unwrap();
}

/// A damaged file ended its host at each start, so that no quorum was left in the end.
#[ntex::test]
async fn a_host_with_a_damaged_log_votes_again_with_a_new_identity() {
    let folder = TempDir::new().unwrap();
    let bound = listeners(3).await;
    let addresses: Vec<_> = bound.iter().map(|(_, address)| *address).collect();
    let of = |at: usize| settings(folder.path(), addresses[at], &addresses);
    for at in 0..3 {
        bootstrap::bootstrap(&of(at)).unwrap();
    }
    let damaged = of(2);
    let (journal, _) = DiskJournal::open(&damaged.data_folder, None).unwrap();
    let former = journal.identity().node;
    journal.close().unwrap();
    flip_byte(&damaged.data_folder.join("log"), 5);

    let mut daemons = Vec::new();
    for (at, (listener, _)) in bound.into_iter().enumerate() {
        let started = ControlDaemon::start_on(listener, of(at), secret()).await;
        daemons.push(started.unwrap());
    }
    leader_of(&daemons).await;
    let status = status_where(&daemons[0], "three voters, one of them new", |status| {
        status.voters.len() == 3 && !status.voters.contains(&former)
    });
    status.await;
    assert!(damaged.data_folder.join("log.damaged").exists());
    for daemon in &daemons {
        daemon.stop().await;
    }
}

fn saved(folder: &Path, id: NodeId) {
    let (mut journal, _) = DiskJournal::open(folder, Some(id)).unwrap();
    let mark = LogMark {
        term: Term(1),
        index: Position(1),
    };
    let payload = Payload::Command(vec![1; 40].into());
    let records = [DiskRecord::Append(LogEntry { mark, payload })];
    journal.save(&records).unwrap();
    journal.close().unwrap();
}

/// An operator may need them if no quorum is left.
#[test]
fn files_that_were_set_aside_are_not_overwritten() {
    const ID: NodeId = NodeId(7);
    let folder = TempDir::new().unwrap();
    let read = |name: &str| fs::read(folder.path().join(name)).unwrap();
    let open = || DiskJournal::open(folder.path(), None);
    saved(folder.path(), ID);
    flip_byte(&folder.path().join("log"), 5);
    let (log, identity) = (read("log"), read("identity"));
    drop(journal::set_aside_damage(folder.path(), open).unwrap());
    saved(folder.path(), ID);
    flip_byte(&folder.path().join("log"), 5);
    drop(journal::set_aside_damage(folder.path(), open).unwrap());
    assert_eq!(read("log.damaged"), log);
    assert_eq!(read("identity.damaged"), identity);
}

#[test]
fn each_damaged_file_is_set_aside() {
    const ID: NodeId = NodeId(7);
    for name in ["log", "snapshot", "identity", "first-start"] {
        let folder = TempDir::new().unwrap();
        journal::begin_first_start(folder.path(), &[]).unwrap();
        if name != "first-start" {
            saved(folder.path(), ID);
        }
        if name == "snapshot" {
            let (mut journal, _) = DiskJournal::open(folder.path(), None).unwrap();
            let snapshot = LogSnapshot::default();
            journal.save(&[DiskRecord::Install(snapshot)]).unwrap();
        }
        flip_byte(&folder.path().join(name), 5);
        let open = || {
            journal::unfinished_first_start(folder.path(), ID)?;
            DiskJournal::open(folder.path(), None)
        };
        assert!(open().is_err(), "{name}");
        let (journal, image) = journal::set_aside_damage(folder.path(), open).unwrap();
        assert_eq!(image, Default::default(), "{name}");
        assert_ne!(journal.identity().node, ID, "{name}");
        let unfinished = journal::unfinished_first_start(folder.path(), ID);
        assert_eq!(unfinished.unwrap(), None, "{name}");
        assert!(journal::damaged_files(folder.path()) > 0, "{name}");
    }
}
