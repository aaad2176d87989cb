//! Who sends a request: the key that it shows, the account that holds it, and whether
//! the account may act now.
//!
//! A key is obeyed only while no newer configuration can have taken it away for longer
//! than the bound of the settings; see [`crate::routing::authority`].

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use crate::forward::daemon::{EntryCore, Routing};
use crate::forward::head::Header;
use crate::ids::{AccountName, RegionName};
use crate::table::accounts::{AccountSpec, KeyDigest, QuotaSpec};
use crate::table::configuration::RouteSpec;

/// What stands before a key, with one space.
const AUTH_SCHEME: &str = "Bearer ";
/// Longest key, in bytes: nobody digests more for a caller that is not known.
const MAX_KEY_BYTES: usize = 512;

/// Why a caller may not act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerRefusal {
    /// It shows no key, or one that no account holds.
    Key,
    /// Whether its key is still held is not known here.
    Stale,
}

impl CallerRefusal {
    /// The status that the caller gets.
    pub fn status(self) -> u16 {
        match self {
            Self::Key => 401,
            Self::Stale => 503,
        }
    }

    /// The reason that the caller is told.
    pub fn text(self) -> &'static str {
        match self {
            Self::Key => "no known key",
            Self::Stale => "the keys in force are not known",
        }
    }
}

/// A caller that was let in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerIdentity {
    /// The key by which it was let in.
    key: KeyDigest,
    /// The account that holds the key.
    pub account: AccountName,
    /// Its rank, in place of the route's.
    pub priority: Option<u32>,
    /// Its quota, if it has one.
    pub quota: Option<QuotaSpec>,
    /// Regions in which its requests may be served; empty for all.
    pub regions: BTreeSet<RegionName>,
}

impl CallerIdentity {
    fn new(key: KeyDigest, account: &AccountSpec) -> Self {
        Self {
            key,
            account: account.name.clone(),
            priority: account.priority,
            quota: account.quota,
            regions: account.regions.clone(),
        }
    }
}

/// The key that a request shows: one header, of the one scheme, with a key that is
/// neither empty nor overlong.
pub fn presented_key(headers: &[Header], name: &str) -> Option<KeyDigest> {
    let mut matching = headers
        .iter()
        .filter(|(other, _)| other.eq_ignore_ascii_case(name));
    let (Some((_, value)), None) = (matching.next(), matching.next()) else {
        return None;
    };
    let key = value.strip_prefix(AUTH_SCHEME)?;
    let valid =
        !key.is_empty() && key.len() <= MAX_KEY_BYTES && key.bytes().all(|b| b.is_ascii_graphic());
    valid.then(|| KeyDigest::of(key))
}

/// Lets a request in. None where nobody has to say who it is: there are no accounts, or
/// the route is public and no known key is shown.
pub async fn identify(
    core: &Rc<EntryCore>,
    routing: &Routing,
    route: &RouteSpec,
    headers: &[Header],
    max_wait: Duration,
) -> Result<Option<CallerIdentity>, CallerRefusal> {
    if routing.configuration.accounts.is_none() {
        return Ok(None);
    }
    let key = presented_key(headers, core.names.key);
    let known = key.and_then(|key| find_caller(routing, key));
    match (known, key) {
        (None, _) if route.public => Ok(None),
        (None, None) => Err(CallerRefusal::Key),
        // The key may be newer than what is known here.
        (None, Some(_)) if !core.await_authority(max_wait).await => Err(CallerRefusal::Stale),
        (None, Some(key)) => {
            core.catch_up();
            let newest = core.routing().ok_or(CallerRefusal::Stale)?;
            let caller = find_caller(&newest, key).ok_or(CallerRefusal::Key)?;
            Ok(Some(caller))
        }
        (Some(_), _) if !core.await_authority(max_wait).await => Err(CallerRefusal::Stale),
        (Some(caller), _) => Ok(Some(caller)),
    }
}

/// Whether a caller that was let in may still act, at the last moment before its request
/// leaves: it may have waited, or this process may have stood still.
pub fn recheck_caller(
    core: &EntryCore,
    caller: Option<&CallerIdentity>,
) -> Result<(), CallerRefusal> {
    match caller {
        None => Ok(()),
        Some(_) if !core.has_authority() => Err(CallerRefusal::Stale),
        Some(caller) => {
            let newest = core.routing().ok_or(CallerRefusal::Key)?;
            let holder = find_holder(&newest, &caller.key);
            match holder.is_some_and(|account| account.name == caller.account) {
                true => Ok(()),
                false => Err(CallerRefusal::Key),
            }
        }
    }
}

/// The caller that shows a key, by one configuration.
fn find_caller(routing: &Routing, key: KeyDigest) -> Option<CallerIdentity> {
    find_holder(routing, &key).map(|account| CallerIdentity::new(key, account))
}

/// Who holds a key by one configuration.
fn find_holder<'a>(routing: &'a Routing, key: &KeyDigest) -> Option<&'a AccountSpec> {
    let accounts = routing.configuration.accounts.as_ref()?;
    accounts.accounts.get(routing.keys.find(key)?)
}
