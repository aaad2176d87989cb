//! What tests of control hosts share: settings, listeners, and waits.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use dunlinspring::consensus::raft::RaftTiming;
use dunlinspring::control::shell::ControlDaemon;
use dunlinspring::ids::{HallName, HostName};
use dunlinspring::process::peers::SiteSecret;
use dunlinspring::process::settings::{CommonSettings, ControlSettings, VoterSettings};
use dunlinspring::process::wire::ControlStatus;
use tokio::net::TcpListener;

/// Longest wait for a condition that must come; reaching it is a failure.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// Settings of a control host that keeps its data in `folder`.
pub fn settings(folder: &Path, own: SocketAddr, voters: &[SocketAddr]) -> ControlSettings {
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
            control: voters.iter().map(voter).collect(),
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

/// Listeners on ports that the system chose.
pub async fn listeners(count: usize) -> Vec<(TcpListener, SocketAddr)> {
    let mut bound = Vec::new();
    for _ in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        bound.push((listener, address));
    }
    bound
}

/// The secret of all processes of a test.
pub fn secret() -> SiteSecret {
    SiteSecret::new("a secret of this test")
}

/// Looks again and again until there is an answer.
pub async fn until<T>(what: &str, mut check: impl AsyncFnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + PATIENCE;
    loop {
        if let Some(found) = check().await {
            return found;
        }
        assert!(Instant::now() < deadline, "waited in vain for {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// The first status for which `holds`.
pub async fn status_where(
    daemon: &ControlDaemon,
    what: &str,
    holds: impl Fn(&ControlStatus) -> bool,
) -> ControlStatus {
    until(what, async || {
        daemon.status().await.filter(|status| holds(status))
    })
    .await
}

/// Waits for a leader that may decide.
pub async fn leader_of(daemons: &[ControlDaemon]) -> HostName {
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
