//! A new leader serves no read from a state that misses entries known to be committed.

use std::collections::BTreeSet;

use dunlinspring::consensus::raft::{DiskImage, RaftMessage, RaftTiming};
use dunlinspring::consensus::replica::LogReplica;
use dunlinspring::consensus::state::Command;
use dunlinspring::ids::{NodeId, Position};
use dunlinspring::table::site::SiteSpec;

const TIMING: RaftTiming = RaftTiming {
    election_ms: 100,
    heartbeat_ms: 10,
};
/// Time longer than any election, in milliseconds.
const LONG_MS: u64 = 5_000;

struct Peers {
    now_ms: u64,
    voters: Vec<(LogReplica, DiskImage)>,
    messages: Vec<(NodeId, NodeId, RaftMessage)>,
}

impl Peers {
    fn new() -> Self {
        let ids: BTreeSet<NodeId> = (0..3).map(NodeId).collect();
        let image = LogReplica::bootstrap_image(ids.clone());
        let voter = |id: &NodeId| {
            let replica = LogReplica::new(*id, TIMING, image.clone(), 0, id.0, 1_000);
            (replica, image.clone())
        };
        Self {
            now_ms: 0,
            voters: ids.iter().map(voter).collect(),
            messages: Vec::new(),
        }
    }

    /// Ends a batch of one voter: writes records to its disk and sends its messages.
    fn finish(&mut self, voter: usize) {
        let (replica, disk) = &mut self.voters[voter];
        let output = replica.finish(self.now_ms);
        for record in output.records {
            disk.apply(record);
        }
        let from = NodeId(voter as u64);
        let sent = output.messages.into_iter();
        self.messages
            .extend(sent.map(|(to, message)| (from, to, message)));
    }

    /// Advances time by 1 ms and delivers all messages among `alive`, each as its own batch.
    /// `between` inspects a voter between a message and the end of its batch.
    fn step(&mut self, alive: &[usize], mut between: impl FnMut(&LogReplica, u64)) {
        self.now_ms += 1;
        for voter in alive {
            self.voters[*voter].0.tick(self.now_ms);
            self.finish(*voter);
        }
        for (from, to, message) in std::mem::take(&mut self.messages) {
            let to = to.0 as usize;
            if alive.contains(&to) && alive.contains(&(from.0 as usize)) {
                let now_ms = self.now_ms;
                self.voters[to].0.receive(now_ms, from, message);
                between(&self.voters[to].0, now_ms);
                self.finish(to);
            }
        }
    }

    fn leader(&self, alive: &[usize]) -> Option<usize> {
        let leads = |voter: &&usize| self.voters[**voter].0.newest(self.now_ms).is_some();
        alive.iter().find(leads).copied()
    }
}

#[test]
fn a_new_leader_reports_that_its_state_lags_behind_committed_entries() {
    let mut peers = Peers::new();
    let all = [0, 1, 2];
    while peers.leader(&all).is_none() {
        peers.step(&all, |_, _| {});
        assert!(peers.now_ms < LONG_MS, "no leader");
    }
    let old = peers.leader(&all).unwrap();
    let site = SiteSpec {
        generation: 7,
        ..SiteSpec::default()
    };
    peers.voters[old]
        .0
        .propose(peers.now_ms, Command::Site(site))
        .unwrap();
    let committed = peers.voters[old].0.raft().last().index;
    while peers.voters[old].0.position() < committed {
        peers.step(&all, |_, _| {});
        assert!(peers.now_ms < LONG_MS, "not committed");
    }
    let left: Vec<usize> = all.into_iter().filter(|voter| *voter != old).collect();
    let mut lagged = false;
    let deadline = peers.now_ms + LONG_MS;
    while peers.leader(&left).is_none() {
        peers.step(&left, |replica, now_ms| {
            // The voter may decide, and a read here would miss the change.
            if let Some(state) = replica.newest(now_ms) {
                let misses = state.position < replica.raft().commit();
                assert_eq!(misses, replica.is_behind());
                lagged |= misses;
            }
        });
        assert!(peers.now_ms < deadline, "no second leader");
    }
    assert!(lagged, "the race that this test checks did not occur");
    let new = peers.leader(&left).unwrap();
    let replica = &peers.voters[new].0;
    assert!(!replica.is_behind());
    assert!(replica.position() > Position(0) && replica.position() >= committed);
    assert_eq!(replica.newest(peers.now_ms).unwrap().site.generation, 7);
}
