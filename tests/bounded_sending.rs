//! What a connection has written and its peer has not taken ends by itself.

use std::io::ErrorKind;
use std::time::Duration;

use dunlinspring::forward::upstream::{Connection, Exchange, ExchangeError, Outgoing};
use tokio::net::TcpListener;

/// How long the kernel may go on.
const BOUND: Duration = Duration::from_millis(300);
/// Longest wait for what must come; reaching it is a failure.
const PATIENCE: Duration = Duration::from_secs(60);
/// More than the kernel takes in for a peer that does not read.
const LARGE: usize = 32 << 20;

/// A process that stands still closes nothing: only its kernel can give up what it wrote. A
/// peer that does not read stands for a link that takes no more.
#[ntex::test]
async fn the_kernel_gives_up_what_was_written_at_its_bound() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap();
    let connection = Connection::open(peer, PATIENCE).await.unwrap();
    let (_unread, _) = listener.accept().await.unwrap();
    connection.bound_sending(BOUND).unwrap();
    let bytes = vec![b'a'; LARGE];
    let outgoing = Outgoing {
        bytes: &bytes,
        method: "POST",
        identity: None,
    };
    let sent = tokio::time::timeout(PATIENCE, Exchange::send(connection, &outgoing)).await;
    let error = sent.expect("the kernel gives up").err();
    assert!(
        matches!(&error, Some(ExchangeError::Broken { source, .. }) if source.kind() == ErrorKind::TimedOut),
        "{error:?}"
    );
}
