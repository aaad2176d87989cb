//! Reads last fields that were added to a type after values of it had been stored or sent.

use serde::{Deserialize, Deserializer};

/// Reads the last field of a value whose encoding may end before it.
pub fn read_or_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Ok(T::deserialize(deserializer).unwrap_or_default())
}
