//! State of a restarted voter before it has received any message.

use std::collections::BTreeSet;
use std::sync::Arc;

use dunlinspring::consensus::raft::{DiskImage, RaftTiming};
use dunlinspring::consensus::replica::LogReplica;
use dunlinspring::consensus::state::Command;
use dunlinspring::ids::NodeId;
use dunlinspring::table::configuration::{Configuration, ConfigurationRecord};

const TIMING: RaftTiming = RaftTiming {
    election_ms: 100,
    heartbeat_ms: 20,
};

fn voter(image: DiskImage, now_ms: u64) -> LogReplica {
    LogReplica::new(NodeId(1), TIMING, image, now_ms, 7, 1_000)
}

#[test]
fn a_restarted_voter_keeps_the_state_it_knew_to_be_committed() {
    let mut disk = LogReplica::bootstrap_image(BTreeSet::from([NodeId(1)]));
    let mut first = voter(disk.clone(), 0);
    first.tick(300);
    first
        .finish(300)
        .records
        .into_iter()
        .for_each(|r| disk.apply(r));
    let record = ConfigurationRecord {
        configuration: Arc::new(Configuration {
            version: 3,
            ..Configuration::default()
        }),
        source: b"three".to_vec().into(),
    };
    first
        .propose(0, Command::Configure(Box::new(record)))
        .unwrap();
    for now_ms in [301, 500, 700] {
        first.tick(now_ms);
        first
            .finish(now_ms)
            .records
            .into_iter()
            .for_each(|r| disk.apply(r));
    }
    let again = voter(disk, 1_000);
    let held = again.state().configuration.as_ref();
    assert_eq!(held.map(|record| record.configuration.version), Some(3));
    // It decides nothing by this state before it leads.
    assert!(again.newest(1_000).is_none());
}
