//! Catch-up of lagging followers: a leader sends entries if it still has them, else a snapshot,
//! once until it may be lost. Commits of a leader that is the only voter.

mod support_raft;

use std::collections::BTreeSet;

use dunlinspring::consensus::raft::{
    DiskImage, LogEntry, ProposeError, RaftCore, RaftMessage, RaftTiming,
};
use dunlinspring::ids::{NodeId, Position};

use support_raft::take_sent;

const TIMING: RaftTiming = RaftTiming {
    election_ms: 100,
    heartbeat_ms: 20,
};
const LEADER: NodeId = NodeId(1);
const FOLLOWER: NodeId = NodeId(2);
const LAGGARD: NodeId = NodeId(3);
const MIB: usize = 1024 * 1024;

/// Two connected voters, and a third one to which nothing is delivered.
struct LoggedPair {
    cores: [RaftCore; 2],
    now_ms: u64,
    /// Messages sent to the third voter.
    to_laggard: Vec<RaftMessage>,
}

impl LoggedPair {
    fn new() -> Self {
        let core = |id| {
            let mut image = DiskImage::default();
            image.snapshot.voters = BTreeSet::from([LEADER, FOLLOWER, LAGGARD]);
            RaftCore::new(id, TIMING, image, 0, id.0)
        };
        let mut pair = Self {
            cores: [core(LEADER), core(FOLLOWER)],
            now_ms: 0,
            to_laggard: Vec::new(),
        };
        while !pair.cores[0].is_leader() {
            pair.now_ms += 1;
            pair.cores[0].tick(pair.now_ms);
            pair.deliver();
        }
        pair.deliver();
        pair
    }

    /// Delivers messages between the two voters until there are none.
    fn deliver(&mut self) {
        loop {
            let sent = take_sent(&mut self.cores, self.now_ms);
            if sent.is_empty() {
                return;
            }
            for (from, to, message) in sent {
                match to {
                    LAGGARD => self.to_laggard.push(message),
                    to => {
                        self.cores[usize::from(to == FOLLOWER)].receive(self.now_ms, from, message)
                    }
                }
            }
        }
    }

    fn commit(&mut self, count: usize) {
        for _ in 0..count {
            self.cores[0].propose(vec![7; 10]).unwrap();
        }
        self.deliver();
    }

    fn advance(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms {
            self.now_ms += 1;
            self.cores[0].tick(self.now_ms);
            self.deliver();
        }
    }

    /// Refuses an append as the third voter, which holds nothing after `at`.
    fn refuse(&mut self, at: u64) {
        let term = self.cores[0].term();
        let refusal = RaftMessage::AppendReply {
            term,
            at: Position(at),
            matched: false,
            sent_ms: self.now_ms,
        };
        self.cores[0].receive(self.now_ms, LAGGARD, refusal);
        self.deliver();
    }
}

fn installs(messages: &[RaftMessage]) -> usize {
    let is_install = |message: &&RaftMessage| matches!(message, RaftMessage::Install { .. });
    messages.iter().filter(is_install).count()
}

#[test]
fn a_follower_that_lags_behind_a_compaction_gets_entries() {
    let mut pair = LoggedPair::new();
    pair.commit(30);
    pair.cores[0].compact(vec![1; 1_000]);
    pair.commit(1);
    pair.to_laggard.clear();
    pair.refuse(5);
    let Some(RaftMessage::Append { prev, entries, .. }) = pair.to_laggard.first() else {
        panic!("expected entries, got {:?}", pair.to_laggard);
    };
    assert_eq!(prev.index, Position(5));
    assert_eq!(entries.first().unwrap().mark.index, Position(6));
    let last = pair.cores[0].last().index;
    assert_eq!(entries.last().unwrap().mark.index, last);
    assert_eq!(installs(&pair.to_laggard), 0);
}

#[test]
fn a_snapshot_is_sent_once_until_it_may_be_lost() {
    let mut pair = LoggedPair::new();
    for _ in 0..6 {
        pair.commit(400);
        pair.cores[0].compact(vec![1; 1_000]);
    }
    pair.to_laggard.clear();
    pair.refuse(0);
    assert_eq!(installs(&pair.to_laggard), 1);
    // Neither refused heartbeats nor proposals cause another copy.
    for _ in 0..10 {
        pair.advance(40);
        pair.refuse(0);
        pair.commit(1);
    }
    assert_eq!(installs(&pair.to_laggard), 1);
    assert!(pair.to_laggard.len() > 10);
    pair.advance(1_000);
    assert_eq!(installs(&pair.to_laggard), 2);
}

#[test]
fn a_leader_that_is_its_own_quorum_commits_entries_that_a_heartbeat_sends() {
    let mut image = DiskImage::default();
    image.snapshot.voters = BTreeSet::from([LEADER]);
    let mut core = RaftCore::new(LEADER, TIMING, image, 0, 1);
    let mut now_ms = 0;
    while !core.is_leader() {
        now_ms += 1;
        core.tick(now_ms);
    }
    core.take_output();
    let mark = core.propose(vec![7; 10]).unwrap();
    // The proposal comes in the same batch in which a heartbeat is due.
    core.tick(now_ms + TIMING.heartbeat_ms);
    core.flush(now_ms + TIMING.heartbeat_ms);
    assert_eq!(core.commit(), mark.index);
}

/// Size of a large command, in bytes.
const LARGE_COMMAND_BYTES: usize = 3_000_000;

fn entry_bytes(messages: &[RaftMessage]) -> usize {
    let entries = messages.iter().flat_map(|message| match message {
        RaftMessage::Append { entries, .. } => &entries[..],
        _ => &[],
    });
    entries.map(LogEntry::size).sum()
}

/// A follower that confirmed nothing was sent every large change, which piled up at the leader, on
/// the way and before the follower's disk.
#[test]
fn a_follower_that_confirms_nothing_is_sent_a_bounded_number_of_bytes() {
    let mut pair = LoggedPair::new();
    pair.to_laggard.clear();
    for _ in 0..40 {
        let command = vec![7; LARGE_COMMAND_BYTES];
        pair.cores[0].propose(command).unwrap();
        pair.deliver();
        pair.advance(40);
    }
    let sent = entry_bytes(&pair.to_laggard);
    let bound = MIB + LARGE_COMMAND_BYTES + 1_000;
    assert!(sent <= bound, "{sent} of {bound}");
    // Its confirmation opens the way for the next entries.
    let last_sent = pair
        .to_laggard
        .iter()
        .rev()
        .find_map(|message| match message {
            RaftMessage::Append { entries, .. } => entries.last().map(|entry| entry.mark.index),
            _ => None,
        });
    pair.to_laggard.clear();
    let confirmation = RaftMessage::AppendReply {
        term: pair.cores[0].term(),
        at: last_sent.unwrap(),
        matched: true,
        sent_ms: pair.now_ms,
    };
    pair.cores[0].receive(pair.now_ms, LAGGARD, confirmation);
    pair.deliver();
    assert!(entry_bytes(&pair.to_laggard) >= LARGE_COMMAND_BYTES);
}

/// A message that is lost must not close the way for good.
#[test]
fn a_follower_that_lost_a_large_entry_is_sent_it_again() {
    let mut pair = LoggedPair::new();
    for _ in 0..3 {
        let command = vec![7; LARGE_COMMAND_BYTES];
        pair.cores[0].propose(command).unwrap();
        pair.deliver();
        pair.to_laggard.clear();
        pair.refuse(1);
        assert!(entry_bytes(&pair.to_laggard) >= LARGE_COMMAND_BYTES);
    }
}

/// Without a quorum, or with a slow disk, large changes piled up at the leader.
#[test]
fn a_leader_takes_a_bounded_number_of_large_commands_that_are_not_committed() {
    let mut pair = LoggedPair::new();
    let accepted = (0..40).filter(|_| {
        let command = vec![7; LARGE_COMMAND_BYTES];
        pair.cores[0].propose(command).is_ok()
    });
    assert_eq!(accepted.count(), 1);
    let refused = pair.cores[0].propose(vec![7; LARGE_COMMAND_BYTES]);
    assert_eq!(refused, Err(ProposeError::Backlog));
    // Small commands are taken meanwhile, and large ones once the first is committed.
    pair.commit(1);
    assert!(pair.cores[0].propose(vec![7; LARGE_COMMAND_BYTES]).is_ok());
    pair.deliver();
    pair.cores[0].set_unsaved_bytes(8 * MIB);
    let refused = pair.cores[0].propose(vec![7; LARGE_COMMAND_BYTES]);
    assert_eq!(refused, Err(ProposeError::Backlog));
    pair.commit(1);
    pair.cores[0].set_unsaved_bytes(0);
    assert!(pair.cores[0].propose(vec![7; LARGE_COMMAND_BYTES]).is_ok());
}
