//! Bootstrap of a site: which hosts create its first log.
//!
//! Used where the settings of all hosts list the same few control hosts, and not all
//! of these have a disk.
//!
//! The configured hosts with a disk bootstrap the site together.
//! Whether a host has a disk never changes, so that all bootstrap hosts come to the same
//! set, in whatever order they start. Where none of the configured hosts has one, these
//! agree on a single bootstrap host among the hosts that request it, and the others join that
//! one: see [`crate::consensus::paxos`].

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use futures::future;
use sha2::{Digest, Sha256};

use crate::consensus::paxos::{PaxosReply, PaxosRequest};
use crate::consensus::raft::{DiskImage, DiskRecord};
use crate::consensus::replica::LogReplica;
use crate::control::journal::{DataFolder, DiskJournal, JournalError};
use crate::ids::{HostName, NodeId};
use crate::process::peers::{self, ControlLink};
use crate::process::settings::{ControlSettings, VoterSettings};
use crate::process::wire::{ControlRefusal, ControlStatus, ControlWireClient};

/// Timeout of one call to one host.
const QUERY_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a request to have the bootstrap host chosen. The callee makes three rounds of
/// calls at most: the two phases of the agreement, and a search for a site that exists already.
const APPOINT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause before the hosts that did not reply are queried again.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Rounds without all replies between two log lines.
const ROUNDS_PER_LOG_LINE: u32 = 25;

/// Returns the disk identity of a voter that takes part in the bootstrap.
pub fn voter_id(host: &HostName) -> NodeId {
    let digest = Sha256::digest(host.as_str().as_bytes());
    let mut word = [0; 8];
    word.copy_from_slice(&digest[..8]);
    NodeId(u64::from_le_bytes(word))
}

/// Bootstraps the voter of this host in an empty data folder, with all control hosts that the
/// settings name. To be done once, on each of them, and never again after a disk
/// was lost.
pub fn bootstrap(settings: &ControlSettings) -> Result<(), JournalError> {
    let configured = settings.common.control.iter();
    let folder = DataFolder::from(&settings.data_folder);
    init_voter(&folder, settings, configured.map(|voter| &voter.host))
}

/// Bootstraps the voter of this host in an empty data folder, as one of `founders`.
pub fn init_voter<'a>(
    folder: &DataFolder,
    settings: &ControlSettings,
    founders: impl Iterator<Item = &'a HostName>,
) -> Result<(), JournalError> {
    let own = voter_id(&settings.common.host);
    let (mut journal, image) = DiskJournal::open(folder, Some(own))?;
    if image != DiskImage::default() {
        return Ok(());
    }
    let voters = founders.map(voter_id).collect();
    let image = LogReplica::bootstrap_image(voters);
    journal.save(&[DiskRecord::Install(image.snapshot)])
}

/// Role of a host with a blank disk at the site's first start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InitialRole {
    /// Bootstraps the site together with these hosts, itself included.
    Founds(BTreeSet<HostName>),
    /// Enrols with the hosts that bootstrap the site.
    Joins,
}

/// Replies of the configured hosts so far: whether each keeps the log.
#[derive(Default)]
struct ConfiguredHosts {
    with_disk: BTreeSet<HostName>,
    without: BTreeSet<HostName>,
}

/// Queries the configured hosts until the role of this host is known. A host that is not among
/// them joins as soon as one of them has a disk. Otherwise the replies of all are awaited,
/// however long they take: a bootstrap host that is left out would be lost.
pub async fn determine_role(
    link: &ControlLink,
    own: &HostName,
    configured: &[VoterSettings],
) -> InitialRole {
    let is_configured = configured.iter().any(|voter| voter.host == *own);
    let mut hosts = ConfiguredHosts::default();
    if is_configured {
        hosts.with_disk.insert(own.clone());
    }
    for round in 1.. {
        for voter in configured {
            let known =
                hosts.with_disk.contains(&voter.host) || hosts.without.contains(&voter.host);
            if !known {
                match keeps_log(link, &voter.address.to_string()).await {
                    Some(true) => hosts.with_disk.insert(voter.host.clone()),
                    Some(false) => hosts.without.insert(voter.host.clone()),
                    None => continue,
                };
            }
        }
        let all = hosts.with_disk.len() + hosts.without.len() == configured.len();
        match hosts.with_disk.is_empty() {
            false if !is_configured => return InitialRole::Joins,
            false if all => return InitialRole::Founds(hosts.with_disk),
            true if all => return request_appointment(link, own, configured).await,
            _ => {}
        }
        if round % ROUNDS_PER_LOG_LINE == 0 {
            let (with_disk, without) = (hosts.with_disk.len(), hosts.without.len());
            tracing::warn!(
                with_disk,
                without,
                named = configured.len(),
                "bootstrap waits for configured hosts"
            );
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    unreachable!("the rounds end only with a role")
}

async fn keeps_log(link: &ControlLink, address: &str) -> Option<bool> {
    let context = peers::within(QUERY_TIMEOUT);
    let call = |client: ControlWireClient| async move { client.keeps_log(context).await };
    let reply = link.call_at(address, "keeps_log", call).await;
    reply
        .inspect_err(|error| tracing::debug!(%error, "no reply of a configured host"))
        .ok()
}

/// Returns a known control host that has a log with voters, which means that the site exists.
pub async fn find_bootstrapped_host(link: &ControlLink) -> Option<String> {
    let addresses = link.addresses();
    let requests = addresses.iter().map(|address| {
        let context = peers::within(QUERY_TIMEOUT);
        let call = move |client: ControlWireClient| async move { client.status(context).await };
        link.call_at(address, "status", call)
    });
    let replies = future::join_all(requests).await;
    let mut replies = addresses.iter().zip(replies);
    let bootstrapped = replies.find(|(_, reply)| reply.as_ref().is_ok_and(has_voters));
    bootstrapped.map(|(address, _)| address.clone())
}

fn has_voters(status: &ControlStatus) -> bool {
    !status.voters.is_empty()
}

/// Sends the same request to all other configured hosts. A host that does not reply counts as
/// abstaining.
pub async fn query_configured_hosts(
    link: &ControlLink,
    others: &[String],
    request: &PaxosRequest,
) -> Vec<PaxosReply> {
    let requests = others.iter().map(|address| {
        let (context, request) = (peers::within(QUERY_TIMEOUT), request.clone());
        let call =
            move |client: ControlWireClient| async move { client.naming(context, request).await };
        link.call_at(address, "naming", call)
    });
    let replies = future::join_all(requests).await.into_iter();
    replies
        .map(|reply| reply.unwrap_or(PaxosReply::Abstained))
        .collect()
}

/// Has the configured hosts, none of which has a disk, choose the bootstrap host. They are called
/// one after the other, always in the same order, so that their attempts seldom overlap.
async fn request_appointment(
    link: &ControlLink,
    own: &HostName,
    configured: &[VoterSettings],
) -> InitialRole {
    let mut relays: Vec<SocketAddr> = configured.iter().map(|voter| voter.address).collect();
    relays.sort_unstable();
    loop {
        for relay in &relays {
            if let Some(part) = request_appointment_from(link, own, &relay.to_string()).await {
                return part;
            }
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Returns the role of this host, if one configured host knows the bootstrap host or reaches
/// agreement on it.
async fn request_appointment_from(
    link: &ControlLink,
    own: &HostName,
    relay: &str,
) -> Option<InitialRole> {
    let (context, host) = (peers::within(APPOINT_TIMEOUT), own.clone());
    let call = |client: ControlWireClient| async move { client.appoint(context, host).await };
    match link.call_at(relay, "appoint", call).await {
        Ok(Ok(founder)) if founder == *own => Some(InitialRole::Founds(BTreeSet::from([founder]))),
        Ok(Ok(HostName(founder)) | Err(ControlRefusal::NotLeader(Some(founder)))) => {
            tracing::info!(founder, "another host bootstraps the site");
            Some(InitialRole::Joins)
        }
        Ok(Err(refusal)) => {
            tracing::info!(?refusal, relay, "no bootstrap host is chosen yet");
            None
        }
        Err(error) => {
            tracing::warn!(%error, "request for a bootstrap host failed");
            None
        }
    }
}
