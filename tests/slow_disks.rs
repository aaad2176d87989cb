//! Voters whose disks take longer for a write than voters wait for a leader.

use std::collections::{BTreeSet, VecDeque};

use dunlinspring::consensus::raft::{DiskImage, RaftCore, RaftMessage, RaftTiming};
use dunlinspring::consensus::replica::ReplicaOutput;
use dunlinspring::consensus::write_queue::{ReleasedOutput, WriteQueue};
use dunlinspring::ids::{NodeId, Position};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const VOTERS: u64 = 3;
const TIMING: RaftTiming = RaftTiming {
    election_ms: 300,
    heartbeat_ms: 50,
};
/// Time between two turns of a voter without events, in milliseconds.
const TURN_MS: u64 = 10;
/// Time of a message on its way, in milliseconds.
const TRANSIT_MS: u64 = 1;
/// Time between two proposals, in milliseconds.
const PROPOSE_MS: u64 = 100;

/// Time in which an entry gives up on one claim, in milliseconds.
const CLAIM_TIMEOUT_MS: u64 = 3_000;
/// Time for the first election, in milliseconds: as long as a caller is patient in
/// `tests/failures.rs`.
const SETTLED_MS: u64 = 20_000;

struct TimedMessage {
    arrives_ms: u64,
    from: NodeId,
    message: RaftMessage,
}

/// A voter with a slow disk.
struct SlowVoter {
    core: RaftCore,
    inbox: VecDeque<TimedMessage>,
    next_turn_ms: u64,
    writes: WriteQueue,
    /// Number of the last batch that waits to be written.
    queued: Option<u64>,
    /// Number of the last batch in the write that is going on, and the end of the write.
    writing: Option<(u64, u64)>,
}

/// Three voters with slow disks.
struct SlowSite {
    now_ms: u64,
    voters: Vec<SlowVoter>,
    rng: SmallRng,
    write_ms: std::ops::Range<u64>,
    /// Times at which the commit index of any voter rose.
    commits_ms: Vec<u64>,
    committed: Position,
}

impl SlowSite {
    fn new(seed: u64, write_ms: std::ops::Range<u64>) -> Self {
        let voter = |id| {
            let mut image = DiskImage::default();
            image.snapshot.voters = (1..=VOTERS).map(NodeId).collect::<BTreeSet<_>>();
            SlowVoter {
                core: RaftCore::new(NodeId(id), TIMING, image, 0, seed * 10 + id),
                inbox: VecDeque::new(),
                next_turn_ms: 0,
                writes: WriteQueue::default(),
                queued: None,
                writing: None,
            }
        };
        Self {
            now_ms: 0,
            voters: (1..=VOTERS).map(voter).collect(),
            rng: SmallRng::seed_from_u64(seed),
            write_ms,
            commits_ms: Vec::new(),
            committed: Position(0),
        }
    }

    fn run_until(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.now_ms += 1;
            for index in 0..self.voters.len() {
                self.write(index);
                self.turn(index);
            }
            if self.now_ms.is_multiple_of(PROPOSE_MS) {
                let leaders = self.voters.iter_mut().map(|voter| &mut voter.core);
                for leader in leaders.filter(|core| core.is_leader()) {
                    leader.propose(vec![7; 10]).unwrap();
                }
            }
        }
    }

    /// Ends a write whose time has come, and begins the next one.
    fn write(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let voter = &mut self.voters[index];
        if let Some((number, _)) = voter.writing.take_if(|(_, ends_ms)| *ends_ms <= now_ms) {
            let released = voter.writes.saved(number);
            voter.core.set_unsaved_from(voter.writes.unsaved_from());
            if released.vote_saved {
                voter.core.vote_saved(now_ms);
            }
            self.send(index, released);
        }
        let voter = &mut self.voters[index];
        if voter.writing.is_none()
            && let Some(number) = voter.queued.take()
        {
            let ends_ms = now_ms + self.rng.random_range(self.write_ms.clone());
            voter.writing = Some((number, ends_ms));
        }
    }

    fn turn(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let voter = &mut self.voters[index];
        let arrived = voter.inbox.partition_point(|m| m.arrives_ms <= now_ms);
        if arrived == 0 && now_ms < voter.next_turn_ms {
            return;
        }
        voter.next_turn_ms = now_ms + TURN_MS;
        for sent in voter.inbox.drain(..arrived) {
            voter.core.receive(now_ms, sent.from, sent.message);
        }
        voter.core.tick(now_ms);
        voter.core.flush(now_ms);
        let output = voter.core.take_output();
        if voter.core.commit() > self.committed {
            self.committed = voter.core.commit();
            self.commits_ms.push(now_ms);
        }
        let (batch, released) = voter.writes.push(ReplicaOutput {
            records: output.records,
            messages: output.messages,
            replies: Vec::new(),
            compacted: false,
        });
        voter.core.set_unsaved_from(voter.writes.unsaved_from());
        voter.queued = batch.map(|batch| batch.number).or(voter.queued);
        self.send(index, released);
    }

    fn send(&mut self, index: usize, released: ReleasedOutput) {
        let from = self.voters[index].core.id();
        let arrives_ms = self.now_ms + TRANSIT_MS;
        for (to, message) in released.messages {
            let recipient = self.voters.iter_mut().find(|voter| voter.core.id() == to);
            recipient.unwrap().inbox.push_back(TimedMessage {
                arrives_ms,
                from,
                message,
            });
        }
    }

    fn highest_term(&self) -> u64 {
        self.voters.iter().map(|v| v.core.term().0).max().unwrap()
    }

    /// Returns the longest time without a commit since `from_ms`.
    fn longest_gap_ms(&self, from_ms: u64) -> u64 {
        let commits = self.commits_ms.iter().copied().filter(|at| *at > from_ms);
        let times: Vec<u64> = std::iter::once(from_ms)
            .chain(commits)
            .chain([self.now_ms])
            .collect();
        times
            .windows(2)
            .map(|pair| pair[1] - pair[0])
            .max()
            .unwrap()
    }
}

/// Voters whose writes took longer than the election timeout replaced each other's leaders forever:
/// claims met no quorum for 3 s, calls that may not be repeated were refused, and members took
/// their table for outdated. With writes of 250 ms on average, 90 terms began in a minute.
#[test]
fn voters_whose_writes_outlast_the_election_timeout_commit_within_a_claims_timeout() {
    for mean_write_ms in [100, 200, 300, 400, 600] {
        for seed in 0..20 {
            let write_ms = mean_write_ms / 2..mean_write_ms * 3 / 2;
            let mut site = SlowSite::new(seed, write_ms);
            site.run_until(SETTLED_MS + 60_000);
            let gap_ms = site.longest_gap_ms(SETTLED_MS);
            let terms = site.highest_term();
            assert!(
                gap_ms < CLAIM_TIMEOUT_MS,
                "writes of {mean_write_ms} ms, seed {seed}: {gap_ms} ms without a commit, {terms} terms"
            );
        }
    }
}
