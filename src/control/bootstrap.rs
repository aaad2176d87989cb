//! How a site is founded, and by whom.
//!
//! Who founds a site whose hosts were told the same few control hosts, when not all
//! of these have a disk.
//!
//! Whether a host has a disk never changes, so that all founders come to the same
//! set, in whatever order they start. Where none of the named hosts has one, these
//! agree on a single founder among the hosts that ask them, and the others join that
//! one: see [`crate::consensus::naming`].

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use futures::future;
use sha2::{Digest, Sha256};

use crate::consensus::naming::{NamingAnswer, NamingAsk};
use crate::consensus::raft::{DiskImage, DiskRecord};
use crate::consensus::replica::LogReplica;
use crate::control::journal::{self, DiskJournal, JournalError};
use crate::ids::{HostName, NodeId};
use crate::process::peers::{self, ControlLink};
use crate::process::settings::{ControlSettings, VoterSettings};
use crate::process::wire::{ControlRefusal, ControlStatus, ControlWireClient};

/// Time for one question to one host.
const QUERY_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for a named host to have a founder named: two questions to the others, and one
/// to whoever may have founded the site.
const APPOINT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause before the hosts that did not answer are asked again.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Rounds without all answers between two log lines.
const ROUNDS_PER_LOG_LINE: u32 = 25;

/// The identity of a founding voter's disk.
pub fn voter_id(host: &HostName) -> NodeId {
    let digest = Sha256::digest(host.as_str().as_bytes());
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&digest[..8]);
    NodeId(u64::from_le_bytes(prefix))
}

/// Founds a site's voter in an empty data folder, by all control hosts that the
/// settings name. To be done once, on each of them, and never again after a disk
/// was lost.
pub fn bootstrap(settings: &ControlSettings) -> Result<(), JournalError> {
    let named = settings.common.control.iter();
    init_voter(settings, named.map(|voter| &voter.host))
}

/// Founds a site's voter, as one of `founders`.
pub fn init_voter<'a>(
    settings: &ControlSettings,
    founders: impl Iterator<Item = &'a HostName>,
) -> Result<(), JournalError> {
    let own = voter_id(&settings.common.host);
    let (mut journal, image) = DiskJournal::open(&settings.data_folder, Some(own))?;
    if image != DiskImage::default() {
        return Ok(());
    }
    let voters = founders.map(voter_id).collect();
    let image = LogReplica::founding_image(voters);
    journal.save(&[DiskRecord::Install(image.snapshot)])
}

/// The hosts that this one's founding was begun with, where its process ended before it
/// was founded or taken in. The disk has never voted then, under no identity.
pub fn unfinished_first_start(
    settings: &ControlSettings,
) -> Result<Option<Vec<VoterSettings>>, JournalError> {
    journal::unfinished_first_start(&settings.data_folder, voter_id(&settings.common.host))
}

/// What a host with a blank disk is at the site's first start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InitialRole {
    /// It founds the site together with these hosts, itself among them.
    Founds(BTreeSet<HostName>),
    /// Others found it: it enrols with them.
    Joins,
}

/// What the named hosts answered so far: whether each keeps the log.
#[derive(Default)]
struct NamedHosts {
    with_disk: BTreeSet<HostName>,
    without: BTreeSet<HostName>,
}

/// Asks the named hosts until this host's part is known. It waits for as long as
/// one whose answer counts is silent: a founder that is left out would be lost.
pub async fn determine_role(
    link: &ControlLink,
    own: &HostName,
    named: &[VoterSettings],
) -> InitialRole {
    let is_named = named.iter().any(|voter| voter.host == *own);
    let mut answers = NamedHosts::default();
    if is_named {
        answers.with_disk.insert(own.clone());
    }
    for round in 1.. {
        for voter in named {
            let known =
                answers.with_disk.contains(&voter.host) || answers.without.contains(&voter.host);
            if !known {
                match keeps_log(link, &voter.address.to_string()).await {
                    Some(true) => answers.with_disk.insert(voter.host.clone()),
                    Some(false) => answers.without.insert(voter.host.clone()),
                    None => continue,
                };
            }
        }
        let all = answers.with_disk.len() + answers.without.len() == named.len();
        match answers.with_disk.is_empty() {
            false if !is_named => return InitialRole::Joins,
            false if all => return InitialRole::Founds(answers.with_disk),
            true if all => return request_appointment(link, own, named).await,
            _ => {}
        }
        if round % ROUNDS_PER_LOG_LINE == 0 {
            let (with_disk, without) = (answers.with_disk.len(), answers.without.len());
            tracing::warn!(with_disk, without, named = named.len(), "founding waits");
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    unreachable!("the rounds end only with an answer")
}

async fn keeps_log(link: &ControlLink, address: &str) -> Option<bool> {
    let context = peers::within(QUERY_TIMEOUT);
    let call = |client: ControlWireClient| async move { client.keeps_log(context).await };
    let answers = link.call_at(address, "keeps_log", call).await;
    answers
        .inspect_err(|error| tracing::debug!(%error, "a named host is silent"))
        .ok()
}

/// One of the known control hosts that holds a log with voters: the site is founded.
pub async fn find_bootstrapped_host(link: &ControlLink) -> Option<String> {
    let addresses = link.addresses();
    let queries = addresses.iter().map(|address| {
        let context = peers::within(QUERY_TIMEOUT);
        let call = move |client: ControlWireClient| async move { client.status(context).await };
        link.call_at(address, "status", call)
    });
    let answers = future::join_all(queries).await;
    let mut answers = addresses.iter().zip(answers);
    let founded = answers.find(|(_, answers)| answers.as_ref().is_ok_and(has_voters));
    founded.map(|(address, _)| address.clone())
}

fn has_voters(status: &ControlStatus) -> bool {
    !status.voters.is_empty()
}

/// Asks all other named hosts the same; one that says nothing abstains.
pub async fn query_named_hosts(
    link: &ControlLink,
    others: &[String],
    request: &NamingAsk,
) -> Vec<NamingAnswer> {
    let queries = others.iter().map(|address| {
        let (context, request) = (peers::within(QUERY_TIMEOUT), request.clone());
        let call =
            move |client: ControlWireClient| async move { client.naming(context, request).await };
        link.call_at(address, "naming", call)
    });
    let answers = future::join_all(queries).await.into_iter();
    answers
        .map(|answers| answers.unwrap_or(NamingAnswer::Abstains))
        .collect()
}

/// Has the named hosts, none of which has a disk, name the founder. One after the other
/// is asked, always in the same order, so that they seldom try at the same time.
async fn request_appointment(
    link: &ControlLink,
    own: &HostName,
    named: &[VoterSettings],
) -> InitialRole {
    let mut relays: Vec<SocketAddr> = named.iter().map(|voter| voter.address).collect();
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

/// This host's part, where one named host knows the founder or can have it agreed on.
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
            tracing::info!(founder, "another host founds the site");
            Some(InitialRole::Joins)
        }
        Ok(Err(refusal)) => {
            tracing::info!(?refusal, relay, "no founder is named yet");
            None
        }
        Err(error) => {
            tracing::warn!(%error, "no founder was named");
            None
        }
    }
}
