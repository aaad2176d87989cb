//! Who founds a site whose hosts were told the same few control hosts, when not all
//! of these have a disk.
//!
//! Whether a host has a disk never changes, so that all founders come to the same
//! set, in whatever order they start. Where none of the named hosts has one, the
//! first of them names a single founder among the hosts that ask it, and the others
//! join that one.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::ids::HostName;
use crate::process::peers::{self, ControlLink};
use crate::process::settings::ControlSettings;
use crate::process::wire::{ControlRefusal, ControlWireClient};

/// Time for one question to one host.
const ASK_TIME: Duration = Duration::from_millis(300);
/// Pause before the hosts that did not answer are asked again.
const ASK_PAUSE: Duration = Duration::from_millis(40);
/// Rounds without all answers between two log lines.
const ROUNDS_A_LINE: u32 = 25;

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
pub async fn agree(link: &ControlLink, settings: &ControlSettings) -> FoundingPart {
    let own = &settings.common.host;
    let named = &settings.common.control;
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
            true if all => return ask_appointment(link, settings).await,
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

/// What a host without a disk knows of the founders, before it names one itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KnownFounders {
    /// None of the other named hosts has a disk.
    None,
    /// This one has: it founds the site, or has founded it.
    Host(String),
    /// One of them is silent: nobody may be named yet.
    Unclear,
}

/// Asks the other named hosts whether they keep the log.
pub async fn known_founders(link: &ControlLink) -> KnownFounders {
    let mut known = KnownFounders::None;
    for address in link.addresses() {
        match keeps_log(link, &address).await {
            Some(true) => return KnownFounders::Host(address),
            Some(false) => {}
            None => known = KnownFounders::Unclear,
        }
    }
    known
}

/// Has the first of the named hosts, none of which has a disk, name the founder.
async fn ask_appointment(link: &ControlLink, settings: &ControlSettings) -> FoundingPart {
    let own = &settings.common.host;
    let named = settings.common.control.iter();
    let Some(first) = named.map(|voter| voter.address).min() else {
        return FoundingPart::Joins;
    };
    loop {
        let host = own.clone();
        let context = peers::within(ASK_TIME);
        let call = |client: ControlWireClient| async move { client.appoint(context, host).await };
        match link.call_at(&first.to_string(), "appoint", call).await {
            Ok(Ok(founder)) if founder == *own => {
                return FoundingPart::Founds(BTreeSet::from([founder]));
            }
            Ok(Ok(founder)) => {
                tracing::info!(%founder, "another host founds the site");
                return FoundingPart::Joins;
            }
            Ok(Err(ControlRefusal::NotLeader(Some(founder)))) => {
                tracing::info!(%founder, "another host founds the site");
                return FoundingPart::Joins;
            }
            Ok(Err(refusal)) => tracing::info!(?refusal, peer = %first, "no founder is named yet"),
            Err(error) => tracing::warn!(%error, "no founder was named"),
        }
        tokio::time::sleep(ASK_PAUSE).await;
    }
}
