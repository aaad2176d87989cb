//! Client accounts of a configuration: their keys, priorities, quotas and regions.
//!
//! Only digests of keys are kept. A key that a caller presents is digested on receipt and
//! compared with these.

use std::collections::{BTreeSet, HashMap};
use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::Snafu;
use subtle::ConstantTimeEq;

use crate::ids::{AccountName, RegionName};

/// Maximum length of an account name, in bytes: the name is sent in a header.
const MAX_NAME_BYTES: usize = 256;

/// SHA-256 digest of a key. Never shown in debug output.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key as presented by a caller.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Unit that a quota counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaUnit {
    /// Requests.
    #[default]
    Requests,
    /// Prompt tokens plus the maximum number of response tokens.
    Tokens,
}

/// Rate limit of an account, over all entries together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaSpec {
    /// Unit that is counted.
    pub unit: QuotaUnit,
    /// Rate in units per second; above 0, as a configured rate of 0 means no limit.
    pub per_s: f64,
    /// Burst: units that may be used at once.
    pub burst: f64,
    /// Tokens charged for a request that does not state a token count.
    pub plain_tokens: u64,
}

/// Limits are finite, as ensured by [`AccountList::check`], so equality is total.
impl Eq for QuotaSpec {}

impl QuotaSpec {
    /// Returns the cost of a request in units; `tokens` is the count stated by the request.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens => tokens.unwrap_or(self.plain_tokens),
        }
    }
}

/// Settings of one client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountSpec {
    /// Account name, which replicas receive.
    pub name: AccountName,
    /// Digests of the account's keys.
    pub keys: Vec<KeyDigest>,
    /// Priority that overrides the route's; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Quota; `None` for no limit.
    pub quota: Option<QuotaSpec>,
    /// Regions in which the account's requests may be served; empty for all.
    pub regions: BTreeSet<RegionName>,
}

/// All client accounts of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountList {
    /// Accounts in the order of the configuration.
    pub accounts: Vec<AccountSpec>,
}

/// Reason why the accounts are invalid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum AccountError {
    /// A name is empty, too long or not allowed in a header.
    #[snafu(display(
        "field accounts[{index}].name: not a name of 1 to {MAX_NAME_BYTES} printable bytes"
    ))]
    Name {
        /// Index of the account.
        index: usize,
    },
    /// Two accounts have the same name.
    #[snafu(display("field accounts[{index}].name: {name} stands twice"))]
    DuplicateName {
        /// Index of the later account.
        index: usize,
        /// Duplicate name.
        name: AccountName,
    },
    /// Two accounts have the same key.
    #[snafu(display("field accounts[{index}].keys[{key}]: also a key of accounts[{earlier}]"))]
    DuplicateKey {
        /// Index of the later account.
        index: usize,
        /// Index of the key within that account.
        key: usize,
        /// Index of the earlier account.
        earlier: usize,
    },
    /// A limit is negative or not finite.
    #[snafu(display("field accounts[{index}].quota.{field}: must be finite and 0 or more"))]
    Limit {
        /// Index of the account.
        index: usize,
        /// Name of the limit.
        field: &'static str,
    },
}

impl AccountList {
    /// Checks constraints that the types do not express.
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

/// Number of digest bytes that select the bucket of a look-up. Only the holder of a key knows
/// its digest and thus the bucket, so the time of a look-up leaks nothing.
const BUCKET_BYTES: usize = 4;

type KeyBucket = [u8; BUCKET_BYTES];

/// Index from key to account. The cost of a look-up does not grow with the number of accounts.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    buckets: HashMap<KeyBucket, Vec<(KeyDigest, usize)>>,
}

impl KeyIndex {
    /// Builds the index of all keys.
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

    /// Returns the index of the account that holds the key. Digests are compared in constant
    /// time.
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
