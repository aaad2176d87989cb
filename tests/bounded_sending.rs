//! Data that a connection has written and its peer has not acknowledged: the kernel's time limit for
//! it, and its end with an exchange that is given up.

use std::io::ErrorKind;
use std::time::{Duration, Instant};

use dunlinspring::forward::upstream::{
    Connection, Exchange, ExchangeError, OutgoingRequest, SendProgress,
};
use dunlinspring::placement::fleet::FleetPolicy;
use socket2::{SockFilter, SockRef};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time for which the kernel may keep trying to send.
const SEND_TIME_LIMIT: Duration = Duration::from_millis(300);
/// Longest wait for a condition; reaching it fails the test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// More bytes than the kernel buffers for a peer that does not read.
const LARGE_BYTES: usize = 32 << 20;

fn outgoing<'a>(bytes: &'a [u8], progress: &'a SendProgress) -> OutgoingRequest<'a> {
    OutgoingRequest {
        bytes,
        body: &[],
        method: "POST",
        identity: None,
        on_head: &|_| {},
        progress,
    }
}

/// A suspended process closes no connection: only its kernel can discard what it wrote. Here the
/// peer reads nothing, so its receive window is full.
#[ntex::test]
async fn the_kernel_gives_up_sending_at_the_time_limit() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap();
    let connection = Connection::open(peer, WAIT_TIMEOUT).await.unwrap();
    let (_unread, _) = listener.accept().await.unwrap();
    connection.limit_send_time(SEND_TIME_LIMIT).unwrap();
    let bytes = vec![b'a'; LARGE_BYTES];
    let progress = SendProgress::default();
    let outgoing = outgoing(&bytes, &progress);
    let sent = tokio::time::timeout(WAIT_TIMEOUT, Exchange::send(connection, &outgoing)).await;
    let error = sent.expect("the kernel gives up").err();
    assert!(
        matches!(&error, Some(ExchangeError::Broken { source, .. }) if source.kind() == ErrorKind::TimedOut),
        "{error:?}"
    );
}

/// Drops all packets that arrive at this end of the connection.
fn drop_incoming_packets(stream: &TcpStream) {
    // Accepts 0 bytes of each packet.
    let accept_none = SockFilter::new(6, 0, 0, 0);
    SockRef::from(stream).attach_filter(&[accept_none]).unwrap();
}

/// A suspended process resets no connection, and its kernel checks the time limit only when it
/// retransmits. The transit time that a new leader waits for its predecessor's last order covers
/// this: all packets are lost for that time, and nothing arrives once the link works again.
///
/// Without a limit the kernel retransmits for minutes, and the order arrives.
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
        let progress = SendProgress::default();
        let outgoing = outgoing(b"an order", &progress);
        let mut sending = std::pin::pin!(Exchange::send(connection, &outgoing));
        let deadline = time_limit + transit;
        let gave_up = tokio::time::timeout(deadline, &mut sending).await;
        assert!(
            gave_up.is_ok(),
            "still sending {deadline:?} after the write"
        );
        SockRef::from(&remote).detach_filter().unwrap();
        let received =
            tokio::time::timeout(Duration::from_secs(1), remote.read(&mut [0; 16])).await;
        let arrived_ms = started.elapsed().as_millis();
        assert!(
            !matches!(received, Ok(Ok(1..))),
            "limited to {limit_ms} ms, the order arrived {arrived_ms} ms after the write"
        );
    }
}

/// The kernel went on sending it after the close, and a silent replica got it when its link was back:
/// long after its deadline, and after the replica had said that it leaves.
#[ntex::test]
async fn a_request_that_was_given_up_does_not_arrive_later() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap();
    let connection = Connection::open(peer, WAIT_TIMEOUT).await.unwrap();
    let (mut remote, _) = listener.accept().await.unwrap();
    drop_incoming_packets(&remote);
    let progress = SendProgress::default();
    let outgoing = outgoing(b"a request", &progress);
    let sent = tokio::time::timeout(SEND_TIME_LIMIT, Exchange::send(connection, &outgoing));
    assert!(sent.await.is_err(), "a silent peer responded");
    SockRef::from(&remote).detach_filter().unwrap();
    let received = tokio::time::timeout(Duration::from_secs(2), remote.read(&mut [0; 16])).await;
    assert!(!matches!(received, Ok(Ok(1..))), "the request arrived");
}

/// Reads a request and responds.
async fn respond(remote: &mut TcpStream, response: &[u8]) {
    let read = remote.read(&mut [0; 16]).await.unwrap();
    assert!(read > 0, "no request arrived");
    remote.write_all(response).await.unwrap();
}

/// A reset could take the end of a response that the replica has not sent whole, or be counted as a
/// failure there.
#[ntex::test]
async fn a_connection_is_closed_without_a_reset_after_a_whole_response() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap();
    for response in [
        &b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"[..],
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
    ] {
        let connection = Connection::open(peer, WAIT_TIMEOUT).await.unwrap();
        let (mut remote, _) = listener.accept().await.unwrap();
        let progress = SendProgress::default();
        let outgoing = outgoing(b"a request", &progress);
        let send = Exchange::send(connection, &outgoing);
        let (sent, ()) = tokio::join!(send, respond(&mut remote, response));
        let (mut exchange, _) = sent.unwrap();
        while exchange.next().await.unwrap().is_some() {}
        drop(exchange.finish());
        assert_eq!(remote.read(&mut [0; 16]).await.unwrap(), 0);
    }
}
