//! Control hosts that nobody named become voters, whichever host they ask.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use dunlinspring::control;
use dunlinspring::controld::ControlDaemon;
use dunlinspring::ids::{HallName, HostName};
use dunlinspring::peers::SiteSecret;
use dunlinspring::raft::RaftTiming;
use dunlinspring::settings::{CommonSettings, ControlSettings, VoterSettings};
use dunlinspring::wire::ControlStatus;
use tokio::net::TcpListener;

/// Longest wait for a condition that must come; reaching it is a failure.
const PATIENCE: Duration = Duration::from_secs(60);

fn settings(folder: &Path, own: SocketAddr, founders: &[SocketAddr]) -> ControlSettings {
    let voter = |address: &SocketAddr| VoterSettings {
        host: HostName(address.to_string()),
        address: *address,
    };
    ControlSettings {
        common: CommonSettings {
            host: HostName(own.to_string()),
            hall: HallName::from("hall"),
            listen: own,
            watch: "127.0.0.1:0".parse().unwrap(),
            control: founders.iter().map(voter).collect(),
            secret_file: Default::default(),
            log: Default::default(),
        },
        data_folder: folder.join(own.port().to_string()),
        timing: RaftTiming {
            election_ms: 300,
            heartbeat_ms: 50,
        },
        duties: Default::default(),
        compact_after: 100,
        platform_url: None,
        open_membership: true,
        fleet: Default::default(),
        site: Default::default(),
    }
}

async fn listeners(count: usize) -> Vec<(TcpListener, SocketAddr)> {
    let mut bound = Vec::new();
    for _ in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        bound.push((listener, address));
    }
    bound
}

fn secret() -> SiteSecret {
    SiteSecret::new("a secret of this test")
}

async fn until<T>(what: &str, mut look: impl AsyncFnMut() -> Option<T>) -> T {
    let give_up = Instant::now() + PATIENCE;
    loop {
        if let Some(found) = look().await {
            return found;
        }
        assert!(Instant::now() < give_up, "waited in vain for {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn status_where(
    daemon: &ControlDaemon,
    what: &str,
    holds: impl Fn(&ControlStatus) -> bool,
) -> ControlStatus {
    until(what, async || {
        daemon.status().await.filter(|status| holds(status))
    })
    .await
}

/// Three founders on empty disks.
async fn founders(folder: &Path) -> (Vec<ControlDaemon>, Vec<SocketAddr>) {
    let bound = listeners(3).await;
    let addresses: Vec<SocketAddr> = bound.iter().map(|(_, address)| *address).collect();
    let mut daemons = Vec::new();
    for (listener, address) in bound {
        let settings = settings(folder, address, &addresses);
        control::found(&settings).unwrap();
        let daemon = ControlDaemon::start_on(listener, settings, secret()).await;
        daemons.push(daemon.unwrap());
    }
    (daemons, addresses)
}

async fn leader_of(daemons: &[ControlDaemon]) -> HostName {
    until("a leader", async || {
        for daemon in daemons {
            let status = daemon.status().await?;
            if status.decides {
                return Some(status.host);
            }
        }
        None
    })
    .await
}

async fn joins(folder: &Path, asked: &[SocketAddr]) -> ControlDaemon {
    let (listener, own) = listeners(1).await.remove(0);
    let settings = settings(folder, own, asked);
    let daemon = ControlDaemon::start_on(listener, settings, secret()).await;
    daemon.unwrap()
}

#[ntex::test]
async fn a_host_that_knows_only_a_follower_becomes_a_voter() {
    let folder = tempfile::tempdir().unwrap();
    let (daemons, addresses) = founders(folder.path()).await;
    let leader = leader_of(&daemons).await;
    let mut others = addresses.iter();
    let follower = others
        .find(|address| address.to_string() != leader.0)
        .unwrap();
    let fourth = joins(folder.path(), &[*follower]).await;
    let own = fourth.status().await.unwrap().node;
    status_where(&fourth, "the fourth to vote", |s| s.voters.contains(&own)).await;
    let fifth = joins(folder.path(), &[*follower]).await;
    status_where(&fifth, "five voters", |s| s.voters.len() == 5).await;
}
