//! Encoding of datagrams between processes of a site: a version, a message, and an authentication
//! code under the site's secret.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::process::peers::SiteSecret;

/// Version of the messages. Incremented with each change of a type that is sent in a datagram;
/// datagrams of another version are dropped.
pub const DATAGRAM_VERSION: u16 = 1;
/// Maximum length of a datagram, in bytes: fits into one packet on any usual link.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Length of the truncated authentication code, in bytes.
const TAG_BYTES: usize = 8;

/// Why a received datagram was dropped, or a message cannot be sent.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum DatagramError {
    /// The authentication code does not match: another secret, or not a datagram of this system.
    #[snafu(display("datagram: its authentication code does not match"))]
    Forged,
    /// Another version.
    #[snafu(display("datagram: version {theirs}, this process has {DATAGRAM_VERSION}"))]
    Version {
        /// Version of the sender.
        theirs: u16,
    },
    /// The message cannot be decoded.
    #[snafu(display("datagram: its message cannot be decoded"))]
    Malformed,
    /// The message is too long to be sent.
    #[snafu(display("datagram: {length} bytes, at most {MAX_DATAGRAM_BYTES} are allowed"))]
    TooLong {
        /// Its length in bytes.
        length: usize,
    },
}

#[derive(Serialize, Deserialize)]
struct Envelope<T> {
    version: u16,
    message: T,
}

/// Encodes a message into a datagram.
pub fn encode<T: Serialize>(secret: &SiteSecret, message: &T) -> Result<Vec<u8>, DatagramError> {
    encode_as(secret, DATAGRAM_VERSION, message)
}

/// Encodes a message into a datagram of the given version.
pub fn encode_as<T: Serialize>(
    secret: &SiteSecret,
    version: u16,
    message: &T,
) -> Result<Vec<u8>, DatagramError> {
    let envelope = Envelope { version, message };
    let mut bytes = bincode::serialize(&envelope).map_err(|_| DatagramError::Malformed)?;
    let tag = secret.tag(&bytes);
    bytes.extend_from_slice(&tag[..TAG_BYTES]);
    match bytes.len() {
        length if length > MAX_DATAGRAM_BYTES => Err(DatagramError::TooLong { length }),
        _ => Ok(bytes),
    }
}

/// Checks and decodes a received datagram.
pub fn decode<T: DeserializeOwned>(secret: &SiteSecret, bytes: &[u8]) -> Result<T, DatagramError> {
    let split = bytes.len().checked_sub(TAG_BYTES);
    let (body, tag) = bytes.split_at(split.ok_or(DatagramError::Malformed)?);
    if !secret.matches_tag(body, tag) {
        return Err(DatagramError::Forged);
    }
    // The version comes first, and is checked before a message that may have changed is decoded.
    let theirs = bincode::deserialize::<u16>(body).map_err(|_| DatagramError::Malformed)?;
    if theirs != DATAGRAM_VERSION {
        return Err(DatagramError::Version { theirs });
    }
    let envelope: Envelope<T> = bincode::deserialize(body).map_err(|_| DatagramError::Malformed)?;
    Ok(envelope.message)
}
