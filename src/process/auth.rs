//! Keys of callers and operators: kept as digests, compared in constant time.

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::ids::PartnerName;
use crate::process::settings::{EntrySettings, PartnerSettings};

/// The partner whose caller key this is.
pub fn caller<'a>(settings: &'a EntrySettings, key: &str) -> Option<&'a PartnerName> {
    find(settings, key, |partner| &partner.caller_keys)
}

/// The partner whose operator key this is.
pub fn operator<'a>(settings: &'a EntrySettings, key: &str) -> Option<&'a PartnerName> {
    find(settings, key, |partner| &partner.operator_keys)
}

/// The digest of a key as settings hold it.
pub fn digest(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Looks at every key, so that the time taken tells nothing.
fn find<'a>(
    settings: &'a EntrySettings,
    key: &str,
    keys: impl Fn(&PartnerSettings) -> &Vec<String>,
) -> Option<&'a PartnerName> {
    let given = digest(key);
    let mut found = None;
    for (name, partner) in &settings.partners {
        for known in keys(partner) {
            let known = known.to_ascii_lowercase();
            if bool::from(known.as_bytes().ct_eq(given.as_bytes())) {
                found = Some(name);
            }
        }
    }
    found
}
