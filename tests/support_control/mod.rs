//! Helpers for tests of control hosts: settings, listeners, and waits.

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

/// Longest wait for a condition; reaching it fails the test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns settings of a control host that keeps its data in `folder`.
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
        bearable_losses: 1,
        fleet: Default::default(),
        site: Default::default(),
    }
}

/// Binds listeners to ports that the system chooses; returns them with their addresses.
pub async fn listeners(count: usize) -> Vec<(TcpListener, SocketAddr)> {
    let mut bound = Vec::new();
    for _ in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        bound.push((listener, address));
    }
    bound
}

/// Returns the site secret of all processes of a test.
pub fn secret() -> SiteSecret {
    SiteSecret::new("a secret of this test")
}

/// Repeats `check` until it returns a value; panics after the longest wait.
pub async fn until<T>(what: &str, mut check: impl AsyncFnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(found) = check().await {
            return found;
        }
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Waits for the first status for which `holds` returns true.
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

/// Waits for a leader that may decide; returns its host.
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
