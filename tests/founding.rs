//! One site is founded, whoever is killed and comes back while it is.

mod support_control;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::mpsc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use dunlinspring::control::relay::RelayDaemon;
use dunlinspring::control::shell::ControlDaemon;
use dunlinspring::process::settings::CommonSettings;
use tokio::sync::oneshot;

use support_control::{leader_of, listeners, secret, settings, status_where};

/// How long a host may go on asking before it is killed: many rounds of questions.
const ASKED: Duration = Duration::from_millis(400);

/// A process of its own, as far as its sockets and its memory go.
struct Process {
    kill: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

impl Process {
    /// Ends it at once; its port is free then.
    fn kill(self) {
        let _ = self.kill.send(());
        self.thread.join().unwrap();
    }
}

/// Runs `start` and what it leaves behind until it is killed.
fn process<T>(start: impl AsyncFnOnce() -> T + Send + 'static) -> Process {
    let (kill, killed) = oneshot::channel();
    let (started, wait) = mpsc::channel();
    let thread = thread::spawn(move || {
        let system = ntex::rt::System::build().build(ntex::rt::DefaultRuntime);
        system.block_on(async move {
            let _kept = start().await;
            started.send(()).unwrap();
            let _ = killed.await;
        });
    });
    wait.recv().unwrap();
    Process { kill, thread }
}

fn relay_settings(own: SocketAddr, named: &[SocketAddr]) -> CommonSettings {
    settings(Path::new(""), own, named).common
}

fn relay(own: SocketAddr, named: &[SocketAddr]) -> Process {
    let settings = relay_settings(own, named);
    process(async move || RelayDaemon::start(settings, secret()).await.unwrap())
}

/// Addresses that are free again.
async fn addresses(count: usize) -> Vec<SocketAddr> {
    let bound = listeners(count).await;
    let mut free: Vec<SocketAddr> = bound.iter().map(|(_, address)| *address).collect();
    free.sort();
    free
}

/// A host with a blank disk at the site's first start.
async fn starts_first(folder: &Path, own: SocketAddr, named: &[SocketAddr]) -> ControlDaemon {
    let daemon = ControlDaemon::start_first(settings(folder, own, named), secret()).await;
    daemon.unwrap()
}

/// The same host after its process ended: its settings no longer tell of a first start.
async fn restarts(folder: &Path, own: SocketAddr, named: &[SocketAddr]) -> ControlDaemon {
    let daemon = ControlDaemon::start(settings(folder, own, named), secret()).await;
    daemon.unwrap()
}

/// A host that is killed while it still asks who founds the site.
fn killed_while_it_asks(folder: &Path, own: SocketAddr, named: &[SocketAddr]) {
    let settings = settings(folder, own, named);
    let host = process(async move || {
        let start = ControlDaemon::start_first(settings, secret());
        let asked = tokio::time::timeout(ASKED, start).await;
        assert!(asked.is_err(), "nobody could found the site yet");
    });
    host.kill();
}

/// Two hosts acted as the one that orders targets, both with the fence of term 1.
///
/// None of the hosts that all were told of had a disk. The first of them named one host
/// to found the site, and was killed; it came back, asked the other two, which had no
/// disk either, and named the next host that asked. It had kept the name in its memory
/// alone. The evidence is what the second host says of its voters: itself alone.
#[ntex::test]
async fn a_relay_that_restarts_names_no_second_founder() {
    let folder = tempfile::tempdir().unwrap();
    let mut all = addresses(5).await;
    let (second, first) = (all.pop().unwrap(), all.pop().unwrap());
    let named = all;
    let mut relays: Vec<Process> = named.iter().map(|own| relay(*own, &named)).collect();
    let founder = starts_first(folder.path(), first, &named).await;
    leader_of(std::slice::from_ref(&founder)).await;

    relays.remove(0).kill();
    let _restarted = relay(named[0], &named);
    let asks = starts_first(folder.path(), second, &named);
    if let Ok(other) = tokio::time::timeout(ASKED, asks).await {
        let status = other.status().await.unwrap();
        assert!(!status.voters.contains(&status.node), "a second founder");
    }
}

/// A site never came up: all hosts that were to found it together were killed within a
/// moment of their first start, and came back without the word that it is the first.
///
/// Each found its disk blank and waited to be taken in by a site that nobody founded.
#[ntex::test]
async fn founders_that_are_killed_before_they_have_founded_go_on_after_their_restart() {
    let folder = tempfile::tempdir().unwrap();
    let named = addresses(3).await;
    for own in &named[..2] {
        killed_while_it_asks(folder.path(), *own, &named);
    }
    let founders = futures::future::join3(
        restarts(folder.path(), named[0], &named),
        restarts(folder.path(), named[1], &named),
        starts_first(folder.path(), named[2], &named),
    );
    let (first, second, third) = founders.await;
    for founder in [&first, &second, &third] {
        status_where(founder, "a leader", |status| status.leader.is_some()).await;
    }
}
