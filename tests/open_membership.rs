//! Control hosts that are not configured as bootstrap hosts become voters through any host.

mod support_control;
mod support_founders;

use std::net::SocketAddr;
use std::path::Path;

use dunlinspring::control::shell::ControlDaemon;

use support_control::{leader_of, listeners, secret, settings, status_where, until};
use support_founders::start_control_hosts;

async fn start_host(folder: &Path, contacts: &[SocketAddr]) -> ControlDaemon {
    let (listener, own) = listeners(1).await.remove(0);
    let settings = settings(folder, own, contacts);
    let daemon = ControlDaemon::start_on(listener, settings, secret()).await;
    daemon.unwrap()
}

#[ntex::test]
async fn a_host_that_knows_only_a_follower_becomes_a_voter() {
    let folder = tempfile::tempdir().unwrap();
    let (daemons, addresses) = start_control_hosts(folder.path()).await;
    let leader = leader_of(&daemons).await;
    let mut others = addresses.iter();
    let follower = others
        .find(|address| address.to_string() != leader.0)
        .unwrap();
    let fourth = start_host(folder.path(), &[*follower]).await;
    let own = fourth.status().await.unwrap().node;
    status_where(&fourth, "the fourth to vote", |s| s.voters.contains(&own)).await;
    let fifth = start_host(folder.path(), &[*follower]).await;
    status_where(&fifth, "five voters", |s| s.voters.len() == 5).await;
}

/// A set that counts a host that was told to stop for good bears one loss fewer than its size shows.
#[ntex::test]
async fn a_voter_that_is_told_to_stop_votes_no_more_where_others_suffice() {
    let folder = tempfile::tempdir().unwrap();
    let (daemons, addresses) = start_control_hosts(folder.path()).await;
    leader_of(&daemons).await;
    let fourth = start_host(folder.path(), &addresses).await;
    let own = fourth.status().await.unwrap().node;
    for daemon in &daemons {
        status_where(daemon, "four voters", |s| s.voters.contains(&own)).await;
    }
    fourth.stop().await;
    let leader = until("the leader", async || {
        for daemon in &daemons {
            let status = daemon.status().await?;
            if status.decides {
                return Some(status);
            }
        }
        None
    })
    .await;
    assert_eq!(leader.voters.len(), 3);
    assert!(!leader.voters.contains(&own));
}
