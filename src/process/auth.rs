//! Keys of callers and operators, stored as digests and compared in constant time.

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::ids::PartnerName;
use crate::process::settings::{EntrySettings, PartnerSettings};

/// Returns the partner with this caller key.
pub fn caller<'a>(settings: &'a EntrySettings, key: &str) -> Option<&'a PartnerName> {
    find(settings, key, |partner| &partner.caller_keys)
}

/// Returns the partner with this operator key.
pub fn operator<'a>(settings: &'a EntrySettings, key: &str) -> Option<&'a PartnerName> {
    find(settings, key, |partner| &partner.operator_keys)
}

/// Returns the digest of a key in the form that settings hold.
pub fn digest(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Compares the key with every known key, so that the time taken reveals nothing.
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
