//! What a leader sends to followers that lag: entries where it still has them, else a
//! snapshot, and that one once until it may be lost. What a leader alone commits.

mod support_raft;

use std::collections::BTreeSet;

use dunlinspring::consensus::raft::{DiskImage, RaftCore, RaftMessage, RaftTiming};
use dunlinspring::ids::{NodeId, Position};

use support_raft::take_sent;

const TIMING: RaftTiming = RaftTiming {
    election_ms: 100,
    heartbeat_ms: 20,
};
const LEADER: NodeId = NodeId(1);
const FOLLOWER: NodeId = NodeId(2);
const LAGGARD: NodeId = NodeId(3);

/// Two voters that talk, and a third one to which nothing is delivered.
struct LoggedPair {
    cores: [RaftCore; 2],
    now_ms: u64,
    /// What was sent to the third one.
    unheard: Vec<RaftMessage>,
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
            unheard: Vec::new(),
        };
        while !pair.cores[0].is_leader() {
            pair.now_ms += 1;
            pair.cores[0].tick(pair.now_ms);
            pair.deliver();
        }
        pair.deliver();
        pair
    }

    /// Delivers between the two until both are silent.
    fn deliver(&mut self) {
        loop {
            let sent = take_sent(&mut self.cores, self.now_ms);
            if sent.is_empty() {
                return;
            }
            for (from, to, message) in sent {
                match to {
                    LAGGARD => self.unheard.push(message),
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

    fn pass(&mut self, span_ms: u64) {
        for _ in 0..span_ms {
            self.now_ms += 1;
            self.cores[0].tick(self.now_ms);
            self.deliver();
        }
    }

    /// The third voter says that it holds nothing after `at`.
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
fn a_follower_that_lags_across_a_compaction_is_sent_entries() {
    let mut pair = LoggedPair::new();
    pair.commit(30);
    pair.cores[0].compact(vec![1; 1_000]);
    pair.commit(1);
    pair.unheard.clear();
    pair.refuse(5);
    let Some(RaftMessage::Append { prev, entries, .. }) = pair.unheard.first() else {
        panic!("entries are sent: {:?}", pair.unheard);
    };
    assert_eq!(prev.index, Position(5));
    assert_eq!(entries.first().unwrap().mark.index, Position(6));
    let last = pair.cores[0].last().index;
    assert_eq!(entries.last().unwrap().mark.index, last);
    assert_eq!(installs(&pair.unheard), 0);
}

#[test]
fn a_snapshot_is_sent_once_until_it_may_be_lost() {
    let mut pair = LoggedPair::new();
    for _ in 0..6 {
        pair.commit(400);
        pair.cores[0].compact(vec![1; 1_000]);
    }
    pair.unheard.clear();
    pair.refuse(0);
    assert_eq!(installs(&pair.unheard), 1);
    // Heartbeats go on, their refusals draw nothing, and proposals no further copy.
    for _ in 0..10 {
        pair.pass(40);
        pair.refuse(0);
        pair.commit(1);
    }
    assert_eq!(installs(&pair.unheard), 1);
    assert!(pair.unheard.len() > 10);
    pair.pass(1_000);
    assert_eq!(installs(&pair.unheard), 2);
}

#[test]
fn a_leader_that_is_its_own_quorum_commits_what_a_heartbeat_sends_first() {
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
    // The proposal comes in the same turn as a heartbeat is due.
    core.tick(now_ms + TIMING.heartbeat_ms);
    core.flush(now_ms + TIMING.heartbeat_ms);
    assert_eq!(core.commit(), mark.index);
}
