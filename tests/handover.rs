//! A leader that is asked to stop hands over once no order that it permitted is in transit.

mod support_control;
mod support_founders;

use dunlinspring::clock;
use dunlinspring::control::event::{ControlEvent, SendPermit};
use dunlinspring::control::shell::ControlDaemon;
use dunlinspring::process::wire::ControlStatus;
use tokio::sync::oneshot;

use support_control::{leader_of, status_where, until};
use support_founders::start_control_hosts;

/// Returns the leader's status and a permit of it to send an order.
async fn permit_of(daemons: &[ControlDaemon]) -> (ControlStatus, SendPermit) {
    until("a permit to send an order", async || {
        for daemon in daemons {
            let status = daemon.status().await?;
            let handle = daemon.handle();
            let reply = handle.request(|answer| ControlEvent::OrderPermit(status.term, answer));
            if let Ok(permit) = reply.await {
                return Some((status, permit));
            }
        }
        None
    })
    .await
}

/// Two hosts ordered one target that does not check fences. A leader permitted an order and was
/// asked to stop while the order was in transit. It gave up its lease at once and had another host
/// elected within milliseconds. The order arrived after that election, so that less than a lease
/// lay between it and the successor's first order.
///
/// The permit outlived the lease, which was given up early; a check of the clock before sending the
/// order cannot detect that. Without the fix, a successor decides while the permit is still valid.
/// All hosts of this test run in one process and so share a clock.
#[ntex::test]
async fn a_stopping_leader_keeps_its_lease_while_orders_may_be_in_transit() {
    let folder = tempfile::tempdir().unwrap();
    let (mut daemons, _) = start_control_hosts(folder.path()).await;
    leader_of(&daemons).await;
    let (leader, permit) = permit_of(&daemons).await;
    let at = async |host: &ControlDaemon| host.status().await.unwrap().node == leader.node;
    let mut index = 0;
    while !at(&daemons[index]).await {
        index += 1;
    }
    let stopping = daemons.remove(index);
    let stopped = ntex::rt::spawn(async move { stopping.stop().await });
    let first = status_where(&daemons[0], "a successor", |s| s.decides);
    let second = status_where(&daemons[1], "a successor", |s| s.decides);
    tokio::select! {
        _ = first => {}
        _ = second => {}
    }
    let decided_ms = clock::monotonic_ms();
    assert!(
        decided_ms >= permit.until_ms,
        "a successor decides {} ms before the permit's end",
        permit.until_ms - decided_ms
    );
    stopped.await.unwrap();
}

/// A leader that was asked to stop issues no more permits, although it keeps leading until the last
/// permit expires: otherwise new permits would postpone that end indefinitely.
#[ntex::test]
async fn a_stopping_leader_permits_no_more_orders() {
    let folder = tempfile::tempdir().unwrap();
    let (daemons, _) = start_control_hosts(folder.path()).await;
    leader_of(&daemons).await;
    let (leader, _) = permit_of(&daemons).await;
    for daemon in &daemons {
        if daemon.status().await.unwrap().node != leader.node {
            continue;
        }
        let handle = daemon.handle();
        let (answer, stopped) = oneshot::channel();
        handle.notify(ControlEvent::Stop(answer));
        let reply = handle.request(|answer| ControlEvent::OrderPermit(leader.term, answer));
        assert!(reply.await.is_err());
        stopped.await.unwrap();
    }
}
