//! Exactly one site is bootstrapped, although hosts are killed and restarted meanwhile.

#[expect(dead_code, reason = "this file binds its own addresses")]
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

/// Time for which a host may query the others before it is killed: many rounds of queries.
const WAIT_BEFORE_KILL: Duration = Duration::from_millis(400);

/// A thread with its own runtime that simulates a process: killing it closes its sockets and drops
/// its memory.
struct Process {
    kill: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

impl Process {
    /// Ends the process and waits until its port is free.
    fn kill(self) {
        let _ = self.kill.send(());
        self.thread.join().unwrap();
    }
}

/// Runs `start` in a new process and keeps its result until the process is killed.
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

fn relay_settings(own: SocketAddr, listed: &[SocketAddr]) -> CommonSettings {
    settings(Path::new(""), own, listed).common
}

/// Starts a host without a disk at the site's first start.
fn relay(own: SocketAddr, listed: &[SocketAddr]) -> Process {
    let settings = relay_settings(own, listed);
    process(async move || RelayDaemon::start_first(settings, secret()).await.unwrap())
}

/// Starts a host without a disk again after its process ended.
fn restarted_relay(own: SocketAddr, listed: &[SocketAddr]) -> Process {
    let settings = relay_settings(own, listed);
    process(async move || RelayDaemon::start(settings, secret()).await.unwrap())
}

/// Returns addresses that are free and stay free while their processes restart: nothing else on
/// this machine, not even the local end of an outgoing connection, uses the same loopback IP.
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

/// Starts a host with a blank disk at the site's first start.
async fn start_first(folder: &Path, own: SocketAddr, listed: &[SocketAddr]) -> ControlDaemon {
    let daemon = ControlDaemon::start_first(settings(folder, own, listed), secret()).await;
    daemon.unwrap()
}

/// Starts a host with a disk again after its process ended, without the option for a first start.
async fn restart(folder: &Path, own: SocketAddr, listed: &[SocketAddr]) -> ControlDaemon {
    let daemon = ControlDaemon::start(settings(folder, own, listed), secret()).await;
    daemon.unwrap()
}

/// Starts a host and kills it while it still queries which hosts bootstrap the site.
fn kill_during_bootstrap(folder: &Path, own: SocketAddr, listed: &[SocketAddr]) {
    let settings = settings(folder, own, listed);
    let host = process(async move || {
        let start = ControlDaemon::start_first(settings, secret());
        let timed_out = tokio::time::timeout(WAIT_BEFORE_KILL, start).await;
        assert!(timed_out.is_err(), "the site was bootstrapped too early");
    });
    host.kill();
}

/// Two hosts ordered targets as leader, both with the fence of term 1.
///
/// None of the configured hosts had a disk. The first of them selected a bootstrap host and was
/// killed. After its restart it queried the other two, which had no disk either, and selected the
/// next host that requested it, because it had kept its first choice only in memory. The fault
/// shows in the voters of the second host: itself alone.
#[ntex::test]
async fn a_restarted_relay_selects_no_second_bootstrap_host() {
    let folder = tempfile::tempdir().unwrap();
    let mut all = addresses(5);
    let (second, first) = (all.pop().unwrap(), all.pop().unwrap());
    let listed = all;
    let mut relays: Vec<Process> = listed.iter().map(|own| relay(*own, &listed)).collect();
    let bootstrap_host = start_first(folder.path(), first, &listed).await;
    leader_of(std::slice::from_ref(&bootstrap_host)).await;

    relays.remove(0).kill();
    let _restarted = restarted_relay(listed[0], &listed);
    // The other two still know the choice: the next host learns that it is not the bootstrap host.
    let other = start_first(folder.path(), second, &listed).await;
    let status = other.status().await.unwrap();
    assert!(
        !status.voters.contains(&status.node),
        "a second bootstrap host"
    );
}

/// As above with all three relays killed: none knows the bootstrap host until it announces itself.
#[ntex::test]
async fn relays_that_all_restart_select_no_second_bootstrap_host() {
    let folder = tempfile::tempdir().unwrap();
    let mut all = addresses(5);
    let (second, first) = (all.pop().unwrap(), all.pop().unwrap());
    let listed = all;
    let relays: Vec<Process> = listed.iter().map(|own| relay(*own, &listed)).collect();
    let bootstrap_host = start_first(folder.path(), first, &listed).await;
    leader_of(std::slice::from_ref(&bootstrap_host)).await;

    relays.into_iter().for_each(Process::kill);
    let _restarted: Vec<Process> = listed
        .iter()
        .map(|own| restarted_relay(*own, &listed))
        .collect();
    let second_start = start_first(folder.path(), second, &listed);
    let mut second_start = std::pin::pin!(second_start);
    let timed_out = tokio::time::timeout(WAIT_BEFORE_KILL, &mut second_start).await;
    assert!(
        timed_out.is_err(),
        "a second bootstrap host was selected, or the first one was found without an announcement"
    );
    let seeds = listed.iter().map(ToString::to_string).collect();
    let link = Arc::new(ControlLink::new(secret(), seeds));
    tokio::spawn(shell::announce(HostName(first.to_string()), link));
    let other = second_start.await;
    status_where(&other, "two voters", |status| status.voters.len() == 2).await;
}

/// One of three relays may be lost before a bootstrap host is selected.
#[ntex::test]
async fn two_of_three_relays_still_agree_on_a_bootstrap_host() {
    let folder = tempfile::tempdir().unwrap();
    let mut all = addresses(4);
    let first = all.pop().unwrap();
    let listed = all;
    let mut relays: Vec<Process> = listed.iter().map(|own| relay(*own, &listed)).collect();
    relays.remove(0).kill();
    let _restarted = restarted_relay(listed[0], &listed);
    let bootstrap_host = start_first(folder.path(), first, &listed).await;
    leader_of(std::slice::from_ref(&bootstrap_host)).await;
}

/// A site never came up: all its bootstrap hosts were killed right after their first start and
/// restarted without the option for a first start. Each found its disk blank and waited to join a
/// site that no host had bootstrapped.
#[ntex::test]
async fn hosts_killed_before_they_bootstrap_continue_after_a_restart() {
    let folder = tempfile::tempdir().unwrap();
    let listed = addresses(3);
    for own in &listed[..2] {
        kill_during_bootstrap(folder.path(), *own, &listed);
    }
    let bootstrap_hosts = future::join3(
        // The settings list other hosts by now.
        restart(folder.path(), listed[0], &listed[..1]),
        restart(folder.path(), listed[1], &listed[..1]),
        start_first(folder.path(), listed[2], &listed),
    );
    let (first, second, third) = bootstrap_hosts.await;
    for bootstrap_host in [&first, &second, &third] {
        status_where(bootstrap_host, "a leader", |status| status.leader.is_some()).await;
    }
}

/// Three configured hosts without a disk and six hosts with one start within 0.3 s, in any order.
#[ntex::test]
async fn hosts_that_start_together_bootstrap_one_site() {
    for seed in 0..3 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let folder = tempfile::tempdir().unwrap();
        let all = addresses(9);
        let listed = &all[..3];
        let mut delay = || Duration::from_millis(rng.random_range(0..300));
        let mut relays = Vec::new();
        for own in listed {
            let (settings, after) = (relay_settings(*own, listed), delay());
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
                start_first(path, *own, listed).await
            });
        }
        let started = future::join(future::join_all(relays), future::join_all(hosts));
        let (_relays, hosts) = started.await;
        for host in &hosts {
            status_where(host, "six voters", |status| status.voters.len() == 6).await;
        }
    }
}

/// While a process of a host runs, a second one fails before it has opened the disk, so that no
/// two processes vote under one identity.
#[ntex::test]
async fn a_second_process_of_a_host_does_not_start() {
    let folder = tempfile::tempdir().unwrap();
    let own = addresses(1)[0];
    let first = start_first(folder.path(), own, &[own]).await;
    leader_of(std::slice::from_ref(&first)).await;
    let settings = settings(folder.path(), own, &[own]);
    let second = ControlDaemon::start(settings, secret()).await;
    assert!(second.is_err(), "two processes with one disk");
}
