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
const MAX_NAME_BYTES: usize = 256;

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

/// Limits are finite: see [`AccountList::check`].
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
pub struct AccountList {
    /// In the order in which they were given.
    pub accounts: Vec<AccountSpec>,
}

/// Why accounts are not valid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum AccountError {
    /// A name is empty, too long or cannot stand in a header.
    #[snafu(display(
        "field accounts[{index}].name: not a name of 1 to {MAX_NAME_BYTES} printable bytes"
    ))]
    Name {
        /// The account's number.
        index: usize,
    },
    /// A name stands twice.
    #[snafu(display("field accounts[{index}].name: {name} stands twice"))]
    DuplicateName {
        /// The later account's number.
        index: usize,
        /// The name.
        name: AccountName,
    },
    /// A key stands twice.
    #[snafu(display("field accounts[{index}].keys[{key}]: also a key of accounts[{earlier}]"))]
    DuplicateKey {
        /// The later account's number.
        index: usize,
        /// The key's number there.
        key: usize,
        /// The earlier account's number.
        earlier: usize,
    },
    /// A limit is negative or not finite.
    #[snafu(display("field accounts[{index}].quota.{field}: must be finite and 0 or more"))]
    Limit {
        /// The account's number.
        index: usize,
        /// Which limit.
        field: &'static str,
    },
}

impl AccountList {
    /// Checks what the form alone does not ensure.
    pub fn check(&self) -> Result<(), AccountError> {
        let mut names = BTreeSet::new();
        let mut owners = HashMap::new();
        for (index, account) in self.accounts.iter().enumerate() {
            if !is_name(account.name.as_str()) {
                return Err(AccountError::Name { index });
            }
            if !names.insert(&account.name) {
                let name = account.name.clone();
                return Err(AccountError::DuplicateName { index, name });
            }
            for (key, digest) in account.keys.iter().enumerate() {
                match owners.insert(digest, index) {
                    Some(earlier) if earlier != index => {
                        return Err(AccountError::DuplicateKey {
                            index,
                            key,
                            earlier,
                        });
                    }
                    _ => {}
                }
            }
            check_quota(index, account.quota.as_ref())?;
        }
        Ok(())
    }
}

fn is_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= MAX_NAME_BYTES
        && name.bytes().all(|byte| byte.is_ascii_graphic())
}

fn check_quota(index: usize, quota: Option<&QuotaSpec>) -> Result<(), AccountError> {
    let Some(quota) = quota else {
        return Ok(());
    };
    let is_valid = |value: f64| value.is_finite() && value >= 0.0;
    for (field, value) in [("per_s", quota.per_s), ("burst", quota.burst)] {
        if !is_valid(value) {
            return Err(AccountError::Limit { index, field });
        }
    }
    Ok(())
}

/// Bytes of a digest that choose the group in which it is looked up. Nobody can aim at
/// a group without having the key's digest, so that the time of a look-up tells nothing.
const BUCKET_BYTES: usize = 4;

type KeyBucket = [u8; BUCKET_BYTES];

/// Finds the account that holds a key, at a cost that does not grow with their number.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    buckets: HashMap<KeyBucket, Vec<(KeyDigest, usize)>>,
}

impl KeyIndex {
    /// Indexes all keys.
    pub fn new(list: &AccountList) -> Self {
        let mut buckets: HashMap<KeyBucket, Vec<(KeyDigest, usize)>> = HashMap::new();
        for (number, account) in list.accounts.iter().enumerate() {
            for digest in &account.keys {
                let bucket = buckets.entry(bucket_of(digest)).or_default();
                bucket.push((*digest, number));
            }
        }
        Self { buckets }
    }

    /// The number of the account that holds the key; digests are compared in constant time.
    pub fn find(&self, key: &KeyDigest) -> Option<usize> {
        let mut found = None;
        for (known, number) in self.buckets.get(&bucket_of(key))? {
            if bool::from(known.0.ct_eq(&key.0)) {
                found = Some(*number);
            }
        }
        found
    }
}

fn bucket_of(digest: &KeyDigest) -> KeyBucket {
    let mut bucket = KeyBucket::default();
    bucket.copy_from_slice(&digest.0[..BUCKET_BYTES]);
    bucket
}
