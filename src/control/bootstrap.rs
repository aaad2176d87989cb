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
const ASK_TIME: Duration = Duration::from_millis(300);
/// Time for a named host to have a founder named: two questions to the others, and one
/// to whoever may have founded the site.
const APPOINT_TIME: Duration = Duration::from_millis(1_000);
/// Pause before the hosts that did not answer are asked again.
const ASK_PAUSE: Duration = Duration::from_millis(40);
/// Rounds without all answers between two log lines.
const ROUNDS_A_LINE: u32 = 25;

/// The identity of a founding voter's disk.
pub fn founder_id(host: &HostName) -> NodeId {
    let digest = Sha256::digest(host.as_str().as_bytes());
    let mut word = [0; 8];
    word.copy_from_slice(&digest[..8]);
    NodeId(u64::from_le_bytes(word))
}

/// Founds a site's voter in an empty data folder, by all control hosts that the
/// settings name. To be done once, on each of them, and never again after a disk
/// was lost.
pub fn found(settings: &ControlSettings) -> Result<(), JournalError> {
    let named = settings.common.control.iter();
    found_by(settings, named.map(|voter| &voter.host))
}

/// Founds a site's voter, as one of `founders`.
pub fn found_by<'a>(
    settings: &ControlSettings,
    founders: impl Iterator<Item = &'a HostName>,
) -> Result<(), JournalError> {
    let own = founder_id(&settings.common.host);
    let (mut journal, image) = DiskJournal::open(&settings.data_folder, Some(own))?;
    if image != DiskImage::default() {
        return Ok(());
    }
    let voters = founders.map(founder_id).collect();
    let image = LogReplica::founding_image(voters);
    journal.save(&[DiskRecord::Install(image.snapshot)])
}

/// The hosts that this one's founding was begun with, where its process ended before it
/// was founded or taken in. The disk has never voted then, under no identity.
pub fn unfinished_first_start(
    settings: &ControlSettings,
) -> Result<Option<Vec<VoterSettings>>, JournalError> {
    journal::unfinished_first_start(&settings.data_folder, founder_id(&settings.common.host))
}

/// What a host with a blank disk is at the site's first start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FoundingPart {
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
pub async fn agree(link: &ControlLink, own: &HostName, named: &[VoterSettings]) -> FoundingPart {
    let is_named = named.iter().any(|voter| voter.host == *own);
    let mut told = NamedHosts::default();
    if is_named {
        told.with_disk.insert(own.clone());
    }
    for round in 1.. {
        for voter in named {
            let known = told.with_disk.contains(&voter.host) || told.without.contains(&voter.host);
            if !known {
                match keeps_log(link, &voter.address.to_string()).await {
                    Some(true) => told.with_disk.insert(voter.host.clone()),
                    Some(false) => told.without.insert(voter.host.clone()),
                    None => continue,
                };
            }
        }
        let all = told.with_disk.len() + told.without.len() == named.len();
        match told.with_disk.is_empty() {
            false if !is_named => return FoundingPart::Joins,
            false if all => return FoundingPart::Founds(told.with_disk),
            true if all => return ask_appointment(link, own, named).await,
            _ => {}
        }
        if round % ROUNDS_A_LINE == 0 {
            let (with_disk, without) = (told.with_disk.len(), told.without.len());
            tracing::warn!(with_disk, without, named = named.len(), "founding waits");
        }
        tokio::time::sleep(ASK_PAUSE).await;
    }
    unreachable!("the rounds end only with an answer")
}

async fn keeps_log(link: &ControlLink, address: &str) -> Option<bool> {
    let context = peers::within(ASK_TIME);
    let call = |client: ControlWireClient| async move { client.keeps_log(context).await };
    let told = link.call_at(address, "keeps_log", call).await;
    told.inspect_err(|error| tracing::debug!(%error, "a named host is silent"))
        .ok()
}

/// One of the known control hosts that holds a log with voters: the site is founded.
pub async fn founded_host(link: &ControlLink) -> Option<String> {
    let addresses = link.addresses();
    let asked = addresses.iter().map(|address| {
        let context = peers::within(ASK_TIME);
        let call = move |client: ControlWireClient| async move { client.status(context).await };
        link.call_at(address, "status", call)
    });
    let told = future::join_all(asked).await;
    let mut told = addresses.iter().zip(told);
    let founded = told.find(|(_, told)| told.as_ref().is_ok_and(has_voters));
    founded.map(|(address, _)| address.clone())
}

fn has_voters(status: &ControlStatus) -> bool {
    !status.voters.is_empty()
}

/// Asks all other named hosts the same; one that says nothing abstains.
pub async fn ask_named(
    link: &ControlLink,
    others: &[String],
    ask: &NamingAsk,
) -> Vec<NamingAnswer> {
    let asked = others.iter().map(|address| {
        let (context, ask) = (peers::within(ASK_TIME), ask.clone());
        let call =
            move |client: ControlWireClient| async move { client.naming(context, ask).await };
        link.call_at(address, "naming", call)
    });
    let told = future::join_all(asked).await.into_iter();
    told.map(|told| told.unwrap_or(NamingAnswer::Abstains))
        .collect()
}

/// Has the named hosts, none of which has a disk, name the founder. One after the other
/// is asked, always in the same order, so that they seldom try at the same time.
async fn ask_appointment(
    link: &ControlLink,
    own: &HostName,
    named: &[VoterSettings],
) -> FoundingPart {
    let mut relays: Vec<SocketAddr> = named.iter().map(|voter| voter.address).collect();
    relays.sort_unstable();
    loop {
        for relay in &relays {
            if let Some(part) = ask_relay(link, own, &relay.to_string()).await {
                return part;
            }
        }
        tokio::time::sleep(ASK_PAUSE).await;
    }
}

/// This host's part, where one named host knows the founder or can have it agreed on.
async fn ask_relay(link: &ControlLink, own: &HostName, relay: &str) -> Option<FoundingPart> {
    let (context, host) = (peers::within(APPOINT_TIME), own.clone());
    let call = |client: ControlWireClient| async move { client.appoint(context, host).await };
    match link.call_at(relay, "appoint", call).await {
        Ok(Ok(founder)) if founder == *own => Some(FoundingPart::Founds(BTreeSet::from([founder]))),
        Ok(Ok(HostName(founder)) | Err(ControlRefusal::NotLeader(Some(founder)))) => {
            tracing::info!(founder, "another host founds the site");
            Some(FoundingPart::Joins)
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
