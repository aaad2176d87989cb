//! Client accounts for tests.

use dunlinspring::ids::AccountName;
use dunlinspring::table::accounts::{AccountSpec, KeyDigest};

/// Returns an account of the most urgent rank, without a quota.
pub fn account(name: &str, keys: &[&str]) -> AccountSpec {
    AccountSpec {
        name: AccountName::from(name),
        keys: keys.iter().map(|key| KeyDigest::of(key)).collect(),
        priority: Some(0),
        quota: None,
        regions: Default::default(),
    }
}
