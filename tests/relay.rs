//! Relays, which are control hosts without a disk: they take part in the bootstrap, tell the
//! addresses of voters, and forward calls of replicas and operators. They never vote.

mod support_replicas;

mod support_control;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use dunlinspring::consensus::directory::ReplicaRecord;
use dunlinspring::control::registry::{LogAccess, Registry, RegistryError};
use dunlinspring::control::relay::RelayDaemon;
use dunlinspring::control::shell::{self, ControlDaemon};
use dunlinspring::ids::{HostName, ServiceName};
use dunlinspring::process::peers::ControlLink;
use dunlinspring::table::configuration::{ClientLimits, Configuration, ServiceSpec};
use tokio::net::TcpListener;

use support_control::{leader_of, listeners, secret, settings, status_where, until};
use support_replicas::ready_replica;

async fn relay(listener: TcpListener, own: SocketAddr, named: &[SocketAddr]) -> RelayDaemon {
    let settings = settings(Path::new(""), own, named).common;
    let relay = RelayDaemon::start_first_on(listener, settings, secret()).await;
    relay.unwrap()
}

async fn first_voter(
    folder: &Path,
    listener: TcpListener,
    own: SocketAddr,
    named: &[SocketAddr],
) -> ControlDaemon {
    let settings = settings(folder, own, named);
    let daemon = ControlDaemon::start_first_on(listener, settings, secret()).await;
    daemon.unwrap()
}

/// Starts a single voter, which leads. Returns it with its address.
async fn only_voter(folder: &Path) -> (ControlDaemon, SocketAddr) {
    let (listener, own) = listeners(1).await.remove(0);
    let voter = first_voter(folder, listener, own, &[own]).await;
    leader_of(std::slice::from_ref(&voter)).await;
    (voter, own)
}

async fn two_listeners() -> [(TcpListener, SocketAddr); 2] {
    listeners(2).await.try_into().unwrap()
}

/// Returns the registry of a relay that knows the addresses `named`.
fn relayed(named: &[SocketAddr]) -> Registry {
    let named = named.iter().map(ToString::to_string).collect();
    Registry::new(
        LogAccess::Remote,
        Arc::new(ControlLink::new(secret(), named)),
        BTreeSet::new(),
    )
}

fn replica(id: &str) -> ReplicaRecord {
    ready_replica(id, "lookup")
}

fn lookup() -> ServiceSpec {
    ServiceSpec {
        max_connections: 9,
        warm_up: None,
        engine: None,
    }
}

fn configuration(version: u64) -> Configuration {
    Configuration {
        version,
        routes: Vec::new(),
        services: BTreeMap::from([(ServiceName::from("lookup"), lookup())]),
        limits: ClientLimits::default(),
        accounts: None,
    }
}

#[ntex::test]
async fn configured_hosts_with_a_disk_bootstrap_the_site_and_relays_never_vote() {
    let folder = tempfile::tempdir().unwrap();
    let mut bound = listeners(4).await;
    let (listener, third) = bound.pop().unwrap();
    let named: Vec<SocketAddr> = bound.iter().map(|(_, address)| *address).collect();
    let (other, without) = bound.pop().unwrap();
    let relay = relay(other, without, &named).await;
    let [first, second] = <[_; 2]>::try_from(bound).unwrap();
    let voters = futures::future::join(
        first_voter(folder.path(), first.0, first.1, &named),
        first_voter(folder.path(), second.0, second.1, &named),
    );
    let (first, second) = voters.await;
    let bootstrapped =
        |daemon| status_where(daemon, "two bootstrap voters", |s| s.voters.len() == 2);
    bootstrapped(&first).await;
    bootstrapped(&second).await;
    // Another host knows only the relay.
    let third = first_voter(folder.path(), listener, third, &[relay.address]).await;
    let status = status_where(&third, "three voters", |s| s.voters.len() == 3).await;
    assert!(status.voters.contains(&status.node));
}

#[ntex::test]
async fn one_host_bootstraps_the_site_if_all_configured_ones_are_relays() {
    let folder = tempfile::tempdir().unwrap();
    let bound = listeners(3).await;
    let named: Vec<SocketAddr> = bound.iter().map(|(_, address)| *address).collect();
    let mut relays = Vec::new();
    for (listener, own) in bound {
        relays.push(relay(listener, own, &named).await);
    }
    let starts = listeners(3).await.into_iter();
    let starts = starts.map(|(listener, own)| first_voter(folder.path(), listener, own, &named));
    let voters = futures::future::join_all(starts).await;
    for voter in &voters {
        status_where(voter, "three voters", |s| s.voters.len() == 3).await;
    }
}

#[ntex::test]
async fn a_relay_forwards_heartbeats_and_configurations_and_serves_no_stale_read() {
    let folder = tempfile::tempdir().unwrap();
    let bound = listeners(3).await;
    let named: Vec<SocketAddr> = bound.iter().map(|(_, address)| *address).collect();
    let starts = bound
        .into_iter()
        .map(|(listener, own)| first_voter(folder.path(), listener, own, &named));
    let voters = futures::future::join_all(starts).await;
    leader_of(&voters).await;
    let registry = relayed(&named);
    let source = b"as sent".to_vec();
    let taken = until("a quorum", async || {
        let sent = registry.configure(configuration(3), source.clone()).await;
        sent.ok()
    });
    taken.await;
    let held = registry.configuration().await.unwrap().unwrap();
    assert_eq!((held.version, &held.source[..]), (3, &source[..]));

    registry.heartbeat(replica("i-1")).await.unwrap();
    let mut foreign = replica("i-3");
    foreign.service = ServiceName::from("unheard");
    let refused = registry.heartbeat(foreign).await;
    let named = matches!(&refused, Err(RegistryError::UnknownService { service }) if service.as_str() == "unheard");
    assert!(named, "{refused:?}");
    registry.drain("i-1".into()).await.unwrap();
    for voter in voters {
        voter.stop().await;
    }
    // No voter is left to confirm the newest state.
    let read = registry.configuration().await;
    assert!(matches!(read, Err(RegistryError::NoQuorum)), "{read:?}");
    let heartbeat = registry.heartbeat(replica("i-2")).await;
    assert!(
        matches!(heartbeat, Err(RegistryError::NoQuorum)),
        "{heartbeat:?}"
    );
}

#[ntex::test]
async fn a_restarted_relay_finds_the_voters_through_another_relay() {
    let folder = tempfile::tempdir().unwrap();
    let (_voter, first) = only_voter(folder.path()).await;
    let [(listener, own), (other, second)] = two_listeners().await;
    let _relay = relay(listener, own, &[first]).await;
    // The restarted relay knows only another relay.
    let restarted = relay(other, second, &[own]).await;
    let link = restarted.link().clone();
    let registry = Registry::new(LogAccess::Remote, link, BTreeSet::new());
    let known = until("the voter to be found", async || {
        registry.configuration().await.ok()
    });
    assert_eq!(known.await, None);
}

#[ntex::test]
async fn relays_that_know_only_each_other_learn_of_voters_that_announce_themselves() {
    let folder = tempfile::tempdir().unwrap();
    let (_voter, first) = only_voter(folder.path()).await;
    let [(listener, own), (other, second)] = two_listeners().await;
    // Both relays have only relays as seeds, as if the seeds were changed and all hosts then lost
    // power.
    let one = relay(listener, own, &[own, second]).await;
    let _two = relay(other, second, &[own, second]).await;
    let registry = Registry::new(LogAccess::Remote, one.link().clone(), BTreeSet::new());
    let seeds = vec![own.to_string(), second.to_string()];
    let link = Arc::new(ControlLink::new(secret(), seeds));
    let host = HostName(first.to_string());
    tokio::spawn(shell::announce(host, link));
    let known = until("the voter to be known", async || {
        registry.configuration().await.ok()
    });
    assert_eq!(known.await, None);
}
