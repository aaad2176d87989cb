//! The size of the log with large configurations: on disk, in messages, and in memory.

mod support_raft;

use std::collections::BTreeSet;
use std::sync::Arc;

use dunlinspring::consensus::raft::{DiskImage, LogEntry, RaftCore, RaftMessage, RaftTiming};
use dunlinspring::consensus::replica::LogReplica;
use dunlinspring::consensus::state::Command;
use dunlinspring::ids::NodeId;
use dunlinspring::table::configuration::{Configuration, ConfigurationRecord};

use support_raft::take_sent;

const TIMING: RaftTiming = RaftTiming {
    election_ms: 100,
    heartbeat_ms: 20,
};
const MIB: usize = 1024 * 1024;
/// Number of entries by which these logs are never compacted.
const MANY_ENTRIES: usize = 100_000;

fn configure(version: u64, bytes: usize) -> Command {
    let record = ConfigurationRecord {
        configuration: Arc::new(Configuration {
            version,
            ..Configuration::default()
        }),
        source: vec![b'a'; bytes].into(),
    };
    Command::Configure(Box::new(record))
}

fn log_size(disk: &DiskImage) -> usize {
    disk.entries.iter().map(LogEntry::size).sum()
}

/// Returns the largest size of the log on a voter's disk while changes of that size come, and
/// whether the last one is in force after a restart.
fn largest_log(bytes: usize, changes: u64) -> (usize, bool) {
    let voters = BTreeSet::from([NodeId(1)]);
    let mut disk = LogReplica::bootstrap_image(voters);
    let open = |disk: &DiskImage, now_ms| {
        LogReplica::new(NodeId(1), TIMING, disk.clone(), now_ms, 7, MANY_ENTRIES)
    };
    let mut replica = open(&disk, 0);
    let mut largest = 0;
    let mut now_ms = 300;
    replica.tick(now_ms);
    for version in 0..=changes {
        if version > 0 {
            replica.propose(0, configure(version, bytes)).unwrap();
        }
        for _ in 0..3 {
            now_ms += 25;
            replica.tick(now_ms);
            for record in replica.finish(now_ms).records {
                disk.apply(record);
            }
        }
        largest = largest.max(log_size(&disk));
    }
    let again = open(&disk, now_ms);
    let held = again.state().configuration.as_ref();
    let held = held.map(|record| record.configuration.version);
    (largest, held == Some(changes))
}

/// The log was compacted after a number of entries only: changes of a configuration of a megabyte
/// filled all disks.
#[test]
fn large_changes_are_compacted_by_their_size() {
    for (bytes, changes) in [(300_000, 200), (MIB, 60), (4 * MIB, 20)] {
        let (largest, is_held) = largest_log(bytes, changes);
        let bound = 4 * MIB.max(bytes) + bytes;
        assert!(largest <= bound, "{bytes}: {largest} of {bound}");
        assert!(is_held, "{bytes}");
    }
}

/// A follower that lags was sent up to 512 entries in one message, however large they were.
#[test]
fn a_lagging_follower_is_sent_large_entries_in_several_messages() {
    let core = |id| {
        let mut image = DiskImage::default();
        image.snapshot.voters = BTreeSet::from([NodeId(1), NodeId(2)]);
        RaftCore::new(NodeId(id), TIMING, image, 0, id)
    };
    let mut cores = [core(1), core(2)];
    let mut now_ms = 0;
    while !cores[0].is_leader() {
        now_ms += 1;
        cores[0].tick(now_ms);
        for (from, to, message) in take_sent(&mut cores, now_ms) {
            cores[usize::from(to == NodeId(2))].receive(now_ms, from, message);
        }
    }
    for _ in 0..40 {
        cores[0].propose(vec![7; 300_000]).unwrap();
    }
    let mut largest = 0;
    for _ in 0..200 {
        now_ms += 20;
        cores[0].tick(now_ms);
        for (from, to, message) in take_sent(&mut cores, now_ms) {
            if let RaftMessage::Append { entries, .. } = &message {
                largest = largest.max(entries.iter().map(LogEntry::size).sum());
            }
            cores[usize::from(to == NodeId(2))].receive(now_ms, from, message);
        }
    }
    assert_eq!(cores[1].last(), cores[0].last());
    assert!(largest <= MIB + 301_000, "{largest}");
}
