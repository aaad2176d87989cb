//! Client accounts of a whole configuration: who may call, by which keys, how urgently,
//! and how much.
//!
//! Of a key only its digest is kept. What a caller shows is digested at the border and
//! compared with these.

use std::collections::{BTreeSet, HashMap};
use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::Snafu;
use subtle::ConstantTimeEq;

use crate::ids::{AccountName, RegionName};

/// Longest name of an account, in bytes: it travels in a header.
const MAX_NAME: usize = 256;

/// The SHA-256 digest of a key. Its text is never shown.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Digests a key as a caller shows it.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// What a quota counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaUnit {
    /// Requests.
    #[default]
    Requests,
    /// Tokens of prompts, and the most that answers may have.
    Tokens,
}

/// How much an account may have run, over all entries together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaSpec {
    /// What is counted.
    pub unit: QuotaUnit,
    /// Units a second; above 0.
    pub per_s: f64,
    /// Units on top, at once.
    pub burst: f64,
    /// Tokens that a request without a count stands for.
    pub plain_tokens: u64,
}

/// Limits are finite: see [`AccountBook::check`].
impl Eq for QuotaSpec {}

impl QuotaSpec {
    /// What one request counts; `tokens` as it tells them.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens => tokens.unwrap_or(self.plain_tokens),
        }
    }
}

/// One client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountSpec {
    /// Its name, which replicas are told.
    pub name: AccountName,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Rank in place of the route's; 0 is the most urgent.
    pub priority: Option<u32>,
    /// None for no limit.
    pub quota: Option<QuotaSpec>,
    /// Regions in which its requests may be served; empty for all.
    pub regions: BTreeSet<RegionName>,
}

/// All client accounts of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountBook {
    /// In the order in which they were given.
    pub accounts: Vec<AccountSpec>,
}

/// Why accounts are not valid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum AccountError {
    /// A name is empty, too long or cannot stand in a header.
    #[snafu(display("field accounts[{at}].name: not a name of 1 to {MAX_NAME} printable bytes"))]
    Name {
        /// The account's number.
        at: usize,
    },
    /// A name stands twice.
    #[snafu(display("field accounts[{at}].name: {name} stands twice"))]
    SameName {
        /// The later account's number.
        at: usize,
        /// The name.
        name: AccountName,
    },
    /// A key stands twice.
    #[snafu(display("field accounts[{at}].keys[{key}]: also a key of accounts[{other}]"))]
    SameKey {
        /// The later account's number.
        at: usize,
        /// The key's number there.
        key: usize,
        /// The earlier account's number.
        other: usize,
    },
    /// A limit is negative or not finite.
    #[snafu(display("field accounts[{at}].quota.{field}: must be finite and 0 or more"))]
    Limit {
        /// The account's number.
        at: usize,
        /// Which limit.
        field: &'static str,
    },
}

impl AccountBook {
    /// Checks what the form alone does not ensure.
    pub fn check(&self) -> Result<(), AccountError> {
        let mut names = BTreeSet::new();
        let mut owners = HashMap::new();
        for (at, account) in self.accounts.iter().enumerate() {
            if !is_name(account.name.as_str()) {
                return Err(AccountError::Name { at });
            }
            if !names.insert(&account.name) {
                let name = account.name.clone();
                return Err(AccountError::SameName { at, name });
            }
            for (key, digest) in account.keys.iter().enumerate() {
                match owners.insert(digest, at) {
                    Some(other) if other != at => {
                        return Err(AccountError::SameKey { at, key, other });
                    }
                    _ => {}
                }
            }
            check_quota(at, account.quota.as_ref())?;
        }
        Ok(())
    }
}

fn is_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME && name.bytes().all(|byte| byte.is_ascii_graphic())
}

fn check_quota(at: usize, quota: Option<&QuotaSpec>) -> Result<(), AccountError> {
    let Some(quota) = quota else {
        return Ok(());
    };
    let sound = |value: f64| value.is_finite() && value >= 0.0;
    for (field, value) in [("per_s", quota.per_s), ("burst", quota.burst)] {
        if !sound(value) {
            return Err(AccountError::Limit { at, field });
        }
    }
    Ok(())
}

/// Bytes of a digest that choose the group in which it is looked up. Nobody can aim at
/// a group without having the key's digest, so that the time of a look-up tells nothing.
const GROUP_BYTES: usize = 4;

type KeyGroup = [u8; GROUP_BYTES];

/// Finds the account that holds a key, at a cost that does not grow with their number.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    groups: HashMap<KeyGroup, Vec<(KeyDigest, usize)>>,
}

impl KeyIndex {
    /// Indexes all keys.
    pub fn new(book: &AccountBook) -> Self {
        let mut groups: HashMap<KeyGroup, Vec<(KeyDigest, usize)>> = HashMap::new();
        for (number, account) in book.accounts.iter().enumerate() {
            for digest in &account.keys {
                let group = groups.entry(group_of(digest)).or_default();
                group.push((*digest, number));
            }
        }
        Self { groups }
    }

    /// The number of the account that holds the key; digests are compared in constant time.
    pub fn find(&self, key: &KeyDigest) -> Option<usize> {
        let mut found = None;
        for (known, number) in self.groups.get(&group_of(key))? {
            if bool::from(known.0.ct_eq(&key.0)) {
                found = Some(*number);
            }
        }
        found
    }
}

fn group_of(digest: &KeyDigest) -> KeyGroup {
    let mut group = KeyGroup::default();
    group.copy_from_slice(&digest.0[..GROUP_BYTES]);
    group
}
