//! What a connection has written and its peer has not taken ends by itself.

use std::io::ErrorKind;
use std::time::{Duration, Instant};

use dunlinspring::forward::upstream::{Connection, Exchange, ExchangeError, OutgoingRequest};
use dunlinspring::placement::fleet::FleetPolicy;
use socket2::{SockFilter, SockRef};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

/// How long the kernel may go on.
const SEND_TIME_LIMIT: Duration = Duration::from_millis(300);
/// Longest wait for what must come; reaching it is a failure.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// More than the kernel takes in for a peer that does not read.
const LARGE_BYTES: usize = 32 << 20;

/// A process that stands still closes nothing: only its kernel can give up what it wrote.
/// Here the peer takes no more.
#[ntex::test]
async fn the_kernel_gives_up_sending_at_the_time_limit() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap();
    let connection = Connection::open(peer, WAIT_TIMEOUT).await.unwrap();
    let (_unread, _) = listener.accept().await.unwrap();
    connection.limit_send_time(SEND_TIME_LIMIT).unwrap();
    let bytes = vec![b'a'; LARGE_BYTES];
    let outgoing = OutgoingRequest {
        bytes: &bytes,
        method: "POST",
        identity: None,
        on_head: &|_| {},
    };
    let sent = tokio::time::timeout(WAIT_TIMEOUT, Exchange::send(connection, &outgoing)).await;
    let error = sent.expect("the kernel gives up").err();
    assert!(
        matches!(&error, Some(ExchangeError::Broken { source, .. }) if source.kind() == ErrorKind::TimedOut),
        "{error:?}"
    );
}

/// Has the link lose all that comes to this end.
fn drop_incoming_packets(stream: &TcpStream) {
    // Takes no byte of any packet.
    let accept_none = SockFilter::new(6, 0, 0, 0);
    SockRef::from(stream).attach_filter(&[accept_none]).unwrap();
}

/// A process that stands still resets nothing, and its kernel looks at the bound only when
/// it repeats. What a successor waits for the way of a last order covers that: the link here
/// loses all until then, and nothing arrives once it has healed.
///
/// Without a bound the kernel repeats for minutes, and the order arrives.
#[ntex::test]
async fn the_kernel_does_not_retransmit_an_order_after_its_transit_time() {
    let transit = Duration::from_millis(FleetPolicy::default().order_transit_ms);
    for limit_ms in [1, 50, 200, 425] {
        let time_limit = Duration::from_millis(limit_ms);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let peer = listener.local_addr().unwrap();
        let connection = Connection::open(peer, WAIT_TIMEOUT).await.unwrap();
        let (mut remote, _) = listener.accept().await.unwrap();
        drop_incoming_packets(&remote);
        connection.limit_send_time(time_limit).unwrap();
        let started = Instant::now();
        let outgoing = OutgoingRequest {
            bytes: b"an order",
            method: "POST",
            identity: None,
            on_head: &|_| {},
        };
        let mut sending = std::pin::pin!(Exchange::send(connection, &outgoing));
        let deadline = time_limit + transit;
        let gave_up = tokio::time::timeout(deadline, &mut sending).await;
        assert!(gave_up.is_ok(), "it goes on {deadline:?} after the write");
        SockRef::from(&remote).detach_filter().unwrap();
        let seen = tokio::time::timeout(Duration::from_secs(1), remote.read(&mut [0; 16])).await;
        let arrived_ms = started.elapsed().as_millis();
        assert!(
            !matches!(seen, Ok(Ok(1..))),
            "bounded by {limit_ms} ms, it arrived {arrived_ms} ms after it was written"
        );
    }
}
