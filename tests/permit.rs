//! What a leader permitted under its lease is kept also once it leads no more.

mod support_raft;

use std::collections::BTreeSet;

use dunlinspring::consensus::raft::{DiskImage, RaftCore, RaftMessage, RaftTiming};
use dunlinspring::ids::NodeId;

use support_raft::take_sent;

const TIMING: RaftTiming = RaftTiming {
    election_ms: 500,
    heartbeat_ms: 50,
};
const VOTERS: usize = 3;
/// Draws of the election timeouts that are tried.
const SEEDS: u64 = 200;
/// For how long the leader stands still, in milliseconds.
const STILL_MS: u64 = 700;
/// For how long the way from the leader to the one that stands is lost, in milliseconds.
const LOST_MS: u64 = 400;

/// Three voters whose messages arrive at once, but for what a test holds back.
struct Trio {
    cores: Vec<RaftCore>,
    now_ms: u64,
    /// Messages from the first to the second are lost.
    lost: bool,
    /// Nothing reaches or leaves the first one.
    still: bool,
    /// Yes of the third to the second that is on its way.
    held: Option<RaftMessage>,
    holds: bool,
}

fn node(place: usize) -> NodeId {
    NodeId(place as u64 + 1)
}

fn place_of(node: NodeId) -> usize {
    node.0 as usize - 1
}

impl Trio {
    fn new(seed: u64) -> Self {
        let core = |place| {
            let mut image = DiskImage::default();
            image.snapshot.voters = (0..VOTERS).map(node).collect::<BTreeSet<_>>();
            RaftCore::new(node(place), TIMING, image, 0, seed * 10 + place as u64)
        };
        Self {
            cores: (0..VOTERS).map(core).collect(),
            now_ms: 0,
            lost: false,
            still: false,
            held: None,
            holds: false,
        }
    }

    fn step(&mut self) {
        self.now_ms += 1;
        for place in 0..VOTERS {
            if !(place == 0 && self.still) {
                self.cores[place].tick(self.now_ms);
            }
        }
        self.deliver();
    }

    fn deliver(&mut self) {
        loop {
            let sent = take_sent(&mut self.cores, self.now_ms);
            if sent.is_empty() {
                return;
            }
            for (from, to, message) in sent {
                let (from, to) = (place_of(from), place_of(to));
                let dropped =
                    (self.still && (from == 0 || to == 0)) || (self.lost && from == 0 && to == 1);
                if dropped {
                    continue;
                }
                let yes = matches!(&message, RaftMessage::PreVoteReply { granted: true, .. });
                if self.holds && from == 2 && to == 1 && yes {
                    self.held = Some(message);
                    continue;
                }
                self.cores[to].receive(self.now_ms, node(from), message);
            }
        }
    }

    fn run(&mut self, span_ms: u64) {
        for _ in 0..span_ms {
            self.step();
        }
    }
}

/// The end of the last permit that the first one gave, and when another decided, where one
/// did before that end.
fn overlap(seed: u64) -> Option<(u64, u64)> {
    let mut trio = Trio::new(seed);
    while !trio.cores[0].may_decide(trio.now_ms) {
        trio.step();
        if trio.now_ms > 3_000 {
            // Another leads: not the case in question.
            return None;
        }
    }
    trio.run(200);
    // It stands still. The second one asks whether it may stand; a yes is on its way.
    trio.still = true;
    trio.holds = true;
    for _ in 0..STILL_MS {
        trio.step();
        if trio.held.is_some() {
            break;
        }
    }
    let yes = trio.held.take()?;
    // It wakes, and a majority confirms it; its way to the second one loses packets.
    trio.still = false;
    trio.lost = true;
    trio.run(60);
    if !trio.cores[0].may_decide(trio.now_ms) {
        return None;
    }
    trio.cores[1].receive(trio.now_ms, node(2), yes);
    trio.holds = false;
    trio.deliver();
    let mut until_ms = 0;
    for passed_ms in 0..1_500 {
        if trio.cores[0].may_decide(trio.now_ms) {
            until_ms = trio.cores[0].lease_until_ms(trio.now_ms);
        }
        trio.lost = passed_ms < LOST_MS;
        trio.step();
        let other = (1..VOTERS).any(|place| trio.cores[place].may_decide(trio.now_ms));
        if other && trio.now_ms < until_ms {
            return Some((until_ms, trio.now_ms));
        }
    }
    None
}

/// **Order of events:** a leader stands still; another one is given leave to stand, by a yes
/// that is late. The leader wakes, is confirmed by a majority and permits an order. It hears
/// of the other's higher term, leads no more, and forgets that its own vote is part of what
/// the permit rests on: it helps the other to power before the permit's end.
#[test]
fn a_leader_that_steps_down_helps_nobody_to_power_before_its_permits_end() {
    let overlaps: Vec<_> = (0..SEEDS).filter_map(overlap).collect();
    assert!(
        overlaps.is_empty(),
        "permit's end, another decides: {overlaps:?}"
    );
}
