//! One site is founded, whoever is killed and comes back while it is.

#[expect(dead_code, reason = "these hosts restart on addresses of their own")]
mod support_control;

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, mpsc};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use dunlinspring::control::relay::RelayDaemon;
use dunlinspring::control::shell::{self, ControlDaemon};
use dunlinspring::ids::HostName;
use dunlinspring::process::peers::ControlLink;
use dunlinspring::process::settings::CommonSettings;
use futures::future;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::oneshot;

use support_control::{leader_of, secret, settings, status_where};

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

/// A host without a disk at the site's first start.
fn relay(own: SocketAddr, named: &[SocketAddr]) -> Process {
    let settings = relay_settings(own, named);
    process(async move || RelayDaemon::start_first(settings, secret()).await.unwrap())
}

/// The same host after its process ended.
fn restarted_relay(own: SocketAddr, named: &[SocketAddr]) -> Process {
    let settings = relay_settings(own, named);
    process(async move || RelayDaemon::start(settings, secret()).await.unwrap())
}

/// Addresses that are free, and stay so while their processes restart: nothing else of
/// this machine, not even a caller's end of a connection, is on the same local host.
fn addresses(count: usize) -> Vec<SocketAddr> {
    static HOSTS: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let host = HOSTS.fetch_add(1, Ordering::SeqCst);
    let ip = Ipv4Addr::new(127, high | 1, low, host);
    let bound: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind((ip, 0)).unwrap())
        .collect();
    let free = bound.iter().map(|listener| listener.local_addr().unwrap());
    let mut free: Vec<SocketAddr> = free.collect();
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
    let mut all = addresses(5);
    let (second, first) = (all.pop().unwrap(), all.pop().unwrap());
    let named = all;
    let mut relays: Vec<Process> = named.iter().map(|own| relay(*own, &named)).collect();
    let founder = starts_first(folder.path(), first, &named).await;
    leader_of(std::slice::from_ref(&founder)).await;

    relays.remove(0).kill();
    let _restarted = restarted_relay(named[0], &named);
    // The other two remember: the next host learns that it is not the founder.
    let other = starts_first(folder.path(), second, &named).await;
    let status = other.status().await.unwrap();
    assert!(!status.voters.contains(&status.node), "a second founder");
}

/// The same with all three killed: nobody knows of the founder until it tells where it is.
#[ntex::test]
async fn relays_that_all_restart_name_nobody() {
    let folder = tempfile::tempdir().unwrap();
    let mut all = addresses(5);
    let (second, first) = (all.pop().unwrap(), all.pop().unwrap());
    let named = all;
    let relays: Vec<Process> = named.iter().map(|own| relay(*own, &named)).collect();
    let founder = starts_first(folder.path(), first, &named).await;
    leader_of(std::slice::from_ref(&founder)).await;

    relays.into_iter().for_each(Process::kill);
    let _restarted: Vec<Process> = named
        .iter()
        .map(|own| restarted_relay(*own, &named))
        .collect();
    let asks = starts_first(folder.path(), second, &named);
    let mut asks = std::pin::pin!(asks);
    let asked = tokio::time::timeout(ASKED, &mut asks).await;
    assert!(
        asked.is_err(),
        "a second founder was named, or none is missed"
    );
    let seeds = named.iter().map(ToString::to_string).collect();
    let link = Arc::new(ControlLink::new(secret(), seeds));
    tokio::spawn(shell::announce(HostName(first.to_string()), link));
    let other = asks.await;
    status_where(&other, "two voters", |status| status.voters.len() == 2).await;
}

/// One of three may be lost before any host was named.
#[ntex::test]
async fn two_relays_of_three_still_have_a_founder_named() {
    let folder = tempfile::tempdir().unwrap();
    let mut all = addresses(4);
    let first = all.pop().unwrap();
    let named = all;
    let mut relays: Vec<Process> = named.iter().map(|own| relay(*own, &named)).collect();
    relays.remove(0).kill();
    let _restarted = restarted_relay(named[0], &named);
    let founder = starts_first(folder.path(), first, &named).await;
    leader_of(std::slice::from_ref(&founder)).await;
}

/// A site never came up: all hosts that were to found it together were killed within a
/// moment of their first start, and came back without the word that it is the first.
///
/// Each found its disk blank and waited to be taken in by a site that nobody founded.
#[ntex::test]
async fn founders_that_are_killed_before_they_have_founded_go_on_after_their_restart() {
    let folder = tempfile::tempdir().unwrap();
    let named = addresses(3);
    for own in &named[..2] {
        killed_while_it_asks(folder.path(), *own, &named);
    }
    let founders = future::join3(
        // The settings name other hosts by now.
        restarts(folder.path(), named[0], &named[..1]),
        restarts(folder.path(), named[1], &named[..1]),
        starts_first(folder.path(), named[2], &named),
    );
    let (first, second, third) = founders.await;
    for founder in [&first, &second, &third] {
        status_where(founder, "a leader", |status| status.leader.is_some()).await;
    }
}

/// Three named hosts without a disk and six with one start within 0.3 s, in any order.
#[ntex::test]
async fn all_that_start_together_found_one_site() {
    for seed in 0..3 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let folder = tempfile::tempdir().unwrap();
        let all = addresses(9);
        let named = &all[..3];
        let mut delay = || Duration::from_millis(rng.random_range(0..300));
        let mut relays = Vec::new();
        for own in named {
            let (settings, after) = (relay_settings(*own, named), delay());
            relays.push(async move {
                tokio::time::sleep(after).await;
                RelayDaemon::start_first(settings, secret()).await.unwrap()
            });
        }
        let mut hosts = Vec::new();
        for own in &all[3..] {
            let (after, path) = (delay(), folder.path());
            hosts.push(async move {
                tokio::time::sleep(after).await;
                starts_first(path, *own, named).await
            });
        }
        let started = future::join(future::join_all(relays), future::join_all(hosts));
        let (_relays, hosts) = started.await;
        for host in &hosts {
            status_where(host, "six voters", |status| status.voters.len() == 6).await;
        }
    }
}

/// While a process of a host runs, another one cannot: it is refused before it has
/// opened the disk, so that no two vote under one identity.
#[ntex::test]
async fn a_second_process_of_a_host_does_not_start() {
    let folder = tempfile::tempdir().unwrap();
    let own = addresses(1)[0];
    let first = starts_first(folder.path(), own, &[own]).await;
    leader_of(std::slice::from_ref(&first)).await;
    let settings = settings(folder.path(), own, &[own]);
    let second = ControlDaemon::start(settings, secret()).await;
    assert!(second.is_err(), "two processes with one disk");
}
