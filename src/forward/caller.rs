//! Authentication of callers: the key in a request, the account that holds it, and whether the
//! account is authorized now.
//!
//! A key is accepted only if this entry has a proof, not older than the limit in the settings, that
//! its configuration is the newest; see [`crate::routing::freshness`].

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use crate::forward::daemon::{EntryCore, Routing};
use crate::forward::head::Header;
use crate::ids::{AccountName, RegionName};
use crate::table::accounts::{AccountSpec, KeyDigest, QuotaSpec};
use crate::table::configuration::RouteSpec;

/// Prefix of a key in the header.
const AUTH_SCHEME: &str = "Bearer ";
/// Longest key, in bytes: bounds the hashing done for unknown callers.
const MAX_KEY_BYTES: usize = 512;

/// Why a caller is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerRefusal {
    /// The request has no key, or one that no account holds.
    Key,
    /// This entry does not know whether the key is still valid.
    Stale,
}

impl CallerRefusal {
    /// Status of the response.
    pub fn status(self) -> u16 {
        match self {
            Self::Key => 401,
            Self::Stale => 503,
        }
    }

    /// Reason in the response.
    pub fn text(self) -> &'static str {
        match self {
            Self::Key => "no known key",
            Self::Stale => "the keys in force are not known",
        }
    }
}

/// An authenticated caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerIdentity {
    /// The key that was presented.
    key: KeyDigest,
    /// The account that holds the key.
    pub account: AccountName,
    /// Rank of the account; replaces the route's.
    pub priority: Option<u32>,
    /// Quota of the account, if it has one.
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

/// Returns the digest of the key in a request: exactly one header with the expected scheme, and a
/// non-empty key of at most [`MAX_KEY_BYTES`] bytes.
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

/// Authenticates a request. Returns `None` if no key is needed: there are no accounts, or the route
/// is public and no known key is presented.
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
        // The key may be newer than the configuration known here.
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

/// Whether an authenticated caller is still authorized, checked right before its request is sent:
/// the request may have waited, or this process may have been suspended.
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

/// Returns the caller that holds a key, by the given configuration.
fn find_caller(routing: &Routing, key: KeyDigest) -> Option<CallerIdentity> {
    find_holder(routing, &key).map(|account| CallerIdentity::new(key, account))
}

/// Returns the account that holds a key, by the given configuration.
fn find_holder<'a>(routing: &'a Routing, key: &KeyDigest) -> Option<&'a AccountSpec> {
    let accounts = routing.configuration.accounts.as_ref()?;
    accounts.accounts.get(routing.keys.find(key)?)
}
