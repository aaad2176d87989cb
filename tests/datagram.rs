//! Datagrams between processes of a site.

use dunlinspring::process::datagram::{self, DATAGRAM_VERSION, DatagramError, MAX_DATAGRAM_BYTES};
use dunlinspring::process::peers::SiteSecret;

fn secret() -> SiteSecret {
    SiteSecret::new("secret of the site")
}

/// Guards against a receiver that accepts what another site, or nobody, has sent.
#[test]
fn datagrams_of_another_secret_or_with_changed_bytes_are_refused() {
    let bytes = datagram::encode(&secret(), &("message", 7_u32)).unwrap();
    let other = SiteSecret::new("secret of another site");
    let read = datagram::decode::<(String, u32)>(&other, &bytes);
    assert_eq!(read, Err(DatagramError::Forged));
    for at in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[at] ^= 1;
        let read = datagram::decode::<(String, u32)>(&secret(), &changed);
        assert_eq!(read, Err(DatagramError::Forged), "byte {at} changed");
    }
    for length in 0..bytes.len() {
        assert!(datagram::decode::<(String, u32)>(&secret(), &bytes[..length]).is_err());
    }
}

/// Guards against a changed message type that is read as the one before the change.
#[test]
fn datagrams_of_another_version_are_refused() {
    // An envelope begins with its version.
    let theirs = DATAGRAM_VERSION + 1;
    let bytes = datagram::encode_as(&secret(), theirs, &7_u32).unwrap();
    let read = datagram::decode::<u32>(&secret(), &bytes);
    assert_eq!(read, Err(DatagramError::Version { theirs }));
}

/// Guards against datagrams that links split or drop.
#[test]
fn messages_that_do_not_fit_are_not_encoded() {
    let long = vec![0_u8; MAX_DATAGRAM_BYTES];
    let encoded = datagram::encode(&secret(), &long);
    assert!(matches!(encoded, Err(DatagramError::TooLong { .. })));
}

/// Guards against messages that change on the way.
#[test]
fn a_message_is_read_as_it_was_sent() {
    let message = ("text".to_owned(), Some(3_u32), vec![1_u64, 2]);
    let bytes = datagram::encode(&secret(), &message).unwrap();
    assert_eq!(datagram::decode(&secret(), &bytes), Ok(message));
}
