//! Memory of a voter with large configurations: each phase holds a bounded number of copies.

mod counting;

use std::collections::BTreeSet;
use std::path::Path;

use dunlinspring::consensus::raft::{
    DiskImage, DiskRecord, LogEntry, LogMark, LogSnapshot, Payload, RaftCore, RaftMessage,
    RaftTiming,
};
use dunlinspring::consensus::replica::LogReplica;
use dunlinspring::consensus::state::{Command, SiteState, Stamped};
use dunlinspring::control::journal::DiskJournal;
use dunlinspring::ids::{NodeId, Position, ServiceName, Term};
use dunlinspring::routing::view;
use dunlinspring::table::accounts::{AccountList, AccountSpec, KeyDigest};
use dunlinspring::table::configuration::{
    Configuration, ConfigurationError, ConfigurationRecord, MAX_HEAP_BYTES, RouteKind, RouteSpec,
    ServiceSpec,
};
use tempfile::TempDir;

use counting::{CountingAllocator, peak_of};

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const MIB: usize = 1024 * 1024;
const TIMING: RaftTiming = RaftTiming {
    election_ms: 100,
    heartbeat_ms: 20,
};
const NODE: NodeId = NodeId(1);
/// Size of the text of the largest configuration, in bytes.
const TEXT_BYTES: usize = 4 * MIB;
/// Number of its routes.
const ROUTES: usize = 18_000;
/// What a step may allocate beside the values that it is about, in bytes.
const SLACK_BYTES: usize = MIB;

fn route(number: usize) -> RouteSpec {
    RouteSpec {
        name: format!("r-{number:07}"),
        host: format!("host{}.example", number % 40),
        prefix: format!("/path{number:07}/"),
        kind: RouteKind::Safe,
        timeout_ms: 800,
        latency_goal_ms: 100,
        max_event_gap_ms: 400,
        priority: 1,
        attempts: 2,
        resumable: false,
        public: false,
        regions: BTreeSet::new(),
        split: vec![(ServiceName::from("service"), 1_000)],
    }
}

fn largest_configuration(version: u64) -> Configuration {
    let service = ServiceSpec {
        max_connections: 96,
        warm_up: None,
        engine: None,
    };
    Configuration {
        version,
        routes: (0..ROUTES).map(route).collect(),
        services: [(ServiceName::from("service"), service)].into(),
        ..Configuration::default()
    }
}

fn configure(version: u64) -> Command {
    let record = ConfigurationRecord {
        configuration: largest_configuration(version).into(),
        source: vec![b'a'; TEXT_BYTES].into(),
    };
    Command::Configure(Box::new(record))
}

fn stamped(command: Command) -> Vec<u8> {
    bincode::serialize(&Stamped { at_ms: 0, command }).unwrap()
}

/// Size of a change in the log, in bytes.
fn entry_bytes() -> usize {
    stamped(configure(1)).len()
}

/// Size of the parsed configuration and its text in memory, in bytes.
fn state_bytes() -> usize {
    let encoded = stamped(configure(1));
    let (decoded, peak) = peak_of(|| bincode::deserialize::<Stamped>(&encoded).unwrap());
    drop(decoded);
    peak
}

fn large_entry(index: u64) -> LogEntry {
    LogEntry {
        mark: LogMark {
            term: Term(1),
            index: Position(index),
        },
        payload: Payload::Command(stamped(configure(index)).into()),
    }
}

/// Writes a log of large changes, as a voter has it before it compacts.
fn write_log(folder: &Path, entries: u64) {
    let (mut journal, _) = DiskJournal::open(folder, Some(NODE)).unwrap();
    let voters = BTreeSet::from([NODE]);
    let snapshot = LogReplica::bootstrap_image(voters).snapshot;
    let vote = DiskRecord::Vote(Term(1), Some(NODE));
    journal
        .save(&[DiskRecord::Install(snapshot), vote])
        .unwrap();
    for index in 1..=entries {
        let append = DiskRecord::Append(large_entry(index));
        let commit = DiskRecord::Commit(Position(index));
        journal.save(&[append, commit]).unwrap();
    }
}

/// A change of the configuration was copied for its record, for each follower and for its
/// application: a leader held each change nine times.
#[test]
fn a_large_change_is_held_once_by_records_messages_and_log() {
    let mut image = DiskImage::default();
    image.snapshot.voters = (1..=5).map(NodeId).collect();
    let mut core = RaftCore::new(NODE, TIMING, image, 0, 1);
    elect(&mut core);
    let command = stamped(configure(1));
    let len = command.len();
    let (output, peak) = peak_of(|| {
        core.propose(command).unwrap();
        core.flush(1_000);
        core.take_output()
    });
    assert_eq!(output.messages.len(), 4);
    assert!(peak <= SLACK_BYTES, "{peak} beside a change of {len}");
}

/// Makes a voter of five lead.
fn elect(core: &mut RaftCore) {
    let mut now_ms = 0;
    while !core.is_leader() {
        now_ms += 1;
        core.tick(now_ms);
        let term = core.term();
        for (to, message) in core.take_output().messages {
            let reply = match message {
                RaftMessage::PreVote { term, .. } => RaftMessage::PreVoteReply {
                    term,
                    granted: true,
                },
                RaftMessage::Vote { .. } => RaftMessage::VoteReply {
                    term,
                    granted: true,
                },
                _ => continue,
            };
            core.receive(now_ms, to, reply);
        }
    }
    core.take_output();
}

/// A configuration was copied for the state, for the changes that members follow, for each of
/// their pages, and stood twice in a snapshot.
#[test]
fn a_configuration_is_held_once_by_the_state_and_its_pages() {
    let change = Stamped {
        at_ms: 0,
        command: configure(1),
    };
    let mut state = SiteState::default();
    let (_, peak) = peak_of(|| state.apply(Position(1), &change));
    assert!(peak <= SLACK_BYTES, "state: {peak}");
    let (pages, peak) = peak_of(|| {
        let cursors = [0, 1, 0, 0].map(Position);
        cursors.map(|cursor| view::page_after(&state, cursor))
    });
    assert!(peak <= SLACK_BYTES, "pages: {peak}");
    assert_eq!(pages[0].changes.len(), 2);
    let snapshot = bincode::serialize(&state).unwrap();
    let entry = entry_bytes();
    assert!(snapshot.len() <= entry + SLACK_BYTES, "{}", snapshot.len());
}

/// Compaction read the log back and decoded it, beside the entries that the voter holds.
#[test]
fn compaction_of_a_large_log_reads_nothing_back_into_memory() {
    let folder = TempDir::new().unwrap();
    write_log(folder.path(), 6);
    let (mut journal, _) = DiskJournal::open(folder.path(), None).unwrap();
    let install = DiskRecord::Install(LogSnapshot {
        last: large_entry(4).mark,
        voters: BTreeSet::from([NODE]),
        state: vec![1; entry_bytes()].into(),
    });
    let (saved, peak) = peak_of(|| journal.save(std::slice::from_ref(&install)));
    saved.unwrap();
    assert!(peak <= SLACK_BYTES, "{peak}");
    drop(journal);
    let (_, image) = DiskJournal::open(folder.path(), None).unwrap();
    assert_eq!(image.entries, vec![large_entry(5), large_entry(6)]);
    assert_eq!(image.commit, Position(6));
}

/// A start read the whole log into memory, held it decoded beside that, and copied the committed
/// entries once more.
#[test]
fn a_start_holds_the_log_once() {
    let folder = TempDir::new().unwrap();
    let entries = 6;
    write_log(folder.path(), entries);
    let (replica, peak) = peak_of(|| {
        let (_, image) = DiskJournal::open(folder.path(), None).unwrap();
        LogReplica::new(NODE, TIMING, image, 0, 1, 400)
    });
    assert_eq!(replica.position(), Position(entries));
    // The log, one frame as it is read, and the state before and after a change.
    let bound = (entries as usize + 1) * entry_bytes() + 2 * state_bytes() + SLACK_BYTES;
    assert!(peak <= bound, "{peak} of {bound}");
}

/// Texts of very many short names take many times their size in memory.
#[test]
fn a_configuration_that_takes_too_much_memory_is_refused() {
    let (largest, peak) = peak_of(|| largest_configuration(1));
    let estimate = largest.heap_bytes();
    assert!(estimate >= peak / 2, "{estimate} of {peak}");
    assert_eq!(largest.check(), Ok(()));
    let account = AccountSpec {
        name: "many".into(),
        keys: vec![KeyDigest::of("key"); MAX_HEAP_BYTES / size_of::<KeyDigest>()],
        priority: None,
        quota: None,
        regions: BTreeSet::new(),
    };
    let accounts = AccountList {
        accounts: vec![account],
    };
    let many = Configuration {
        accounts: Some(accounts),
        ..Configuration::default()
    };
    let refused = many.check();
    let bytes = many.heap_bytes();
    assert!(bytes > MAX_HEAP_BYTES);
    assert_eq!(refused, Err(ConfigurationError::TooLarge { bytes }));
}
