//! Pure parts of client accounts: validation, key lookup, and the age of the proof that a
//! configuration version is the newest.

mod support_accounts;

use std::collections::BTreeMap;

use dunlinspring::forward::caller;
use dunlinspring::routing::freshness::{FreshnessProof, ProofCache};
use dunlinspring::table::accounts::{
    AccountError, AccountList, AccountSpec, KeyDigest, KeyIndex, QuotaSpec, QuotaUnit,
};
use proptest::prelude::*;
use support_accounts::account;

#[test]
fn invalid_accounts_are_rejected_with_field_and_index() {
    let check = |accounts: Vec<AccountSpec>| AccountList { accounts }.check();
    assert_eq!(
        check(vec![account("a", &["k1", "k1"]), account("b", &["k2"])]),
        Ok(())
    );
    let shared = check(vec![account("a", &["k1"]), account("b", &["k2", "k1"])]).unwrap_err();
    assert_eq!(
        shared,
        AccountError::DuplicateKey {
            index: 1,
            key: 1,
            earlier: 0
        }
    );
    assert_eq!(
        shared.to_string(),
        "field accounts[1].keys[1]: also a key of accounts[0]"
    );
    let twice = check(vec![account("a", &[]), account("a", &[])]).unwrap_err();
    assert!(
        twice.to_string().starts_with("field accounts[1].name: a"),
        "{twice}"
    );
    for name in ["", "a b", "a\r\nX: y", "ä"] {
        let checked = check(vec![account(name, &[])]);
        assert_eq!(checked, Err(AccountError::Name { index: 0 }), "{name}");
    }
    for (per_s, burst, field) in [
        (-1.0, 0.0, "per_s"),
        (1.0, -0.5, "burst"),
        (f64::INFINITY, 0.0, "per_s"),
        (1.0, f64::NAN, "burst"),
    ] {
        let mut limited = account("a", &[]);
        let unit = QuotaUnit::Requests;
        limited.quota = Some(QuotaSpec {
            unit,
            per_s,
            burst,
            plain_tokens: 1,
        });
        assert_eq!(
            check(vec![limited]),
            Err(AccountError::Limit { index: 0, field })
        );
    }
}

#[test]
fn a_key_is_found_by_its_digest_and_never_shown() {
    let accounts: Vec<AccountSpec> = (0..300)
        .map(|number| account(&format!("a{number}"), &[&format!("k{number}")]))
        .collect();
    let index = KeyIndex::new(&AccountList { accounts });
    assert_eq!(index.find(&KeyDigest::of("k17")), Some(17));
    assert_eq!(index.find(&KeyDigest::of("k300")), None);
    let shown = format!("{:?}", account("a", &["secret"]));
    assert!(
        !shown.contains("secret") && shown.contains("KeyDigest(..)"),
        "{shown}"
    );
    let header = |value: &str| vec![("authorization".to_owned(), value.to_owned())];
    let key = caller::presented_key(&header("Bearer k1"), "Authorization");
    assert_eq!(key, Some(KeyDigest::of("k1")));
    assert_eq!(
        caller::presented_key(&header("Bearer  k1"), "Authorization"),
        None
    );
}

proptest! {
    /// Compares `ProofCache` with a direct computation: the latest time that any proof for a
    /// version up to the held one attests.
    #[test]
    fn a_proof_counts_for_its_version_and_all_later_ones(
        observed in prop::collection::vec((0u64..6, 0u64..50, 50u64..100), 0..30),
        held in 0u64..7,
    ) {
        let mut proofs = ProofCache::default();
        let mut oracle: BTreeMap<u64, u64> = BTreeMap::new();
        for (version, age_ms, requested_ms) in observed {
            proofs.record(FreshnessProof { version, age_ms }, requested_ms);
            let newest = oracle.entry(version).or_default();
            *newest = (*newest).max(requested_ms - age_ms);
        }
        let expected = oracle.range(..=held).map(|(_, at_ms)| *at_ms).max();
        prop_assert_eq!(proofs.fresh_at_ms(held), expected);
    }
}
