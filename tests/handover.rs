//! A leader that is asked to stop hands over once nothing that it allowed is on its way.

mod support_control;
mod support_founders;

use dunlinspring::clock;
use dunlinspring::control::event::{ControlEvent, SendPermit};
use dunlinspring::control::shell::ControlDaemon;
use dunlinspring::process::wire::ControlStatus;
use tokio::sync::oneshot;

use support_control::{leader_of, status_where, until};
use support_founders::start_control_hosts;

/// The leader's leave to send an order.
async fn permit_of(daemons: &[ControlDaemon]) -> (ControlStatus, SendPermit) {
    until("leave to send an order", async || {
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

/// **What users saw:** two hosts ordered one target that does not check fences.
///
/// **Order of events:** a leader allowed an order, and was asked to stop while the order was
/// on its way. It gave up its lease at once and had another host elected, within
/// milliseconds. The order arrived later than its successor's election, so that less than a
/// lease lay between it and the successor's first order.
///
/// **Cause:** what was allowed under a lease outlived the lease: it was given up early, which
/// no look at the clock by the order could show.
///
/// **Evidence:** on the code before, a successor decides while the permit still lasts. All
/// hosts of this test run in one process and so share a clock.
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

/// From the moment it is asked to stop it allows no more orders, though it leads on until
/// the end of what it allowed: else it would never come to that end.
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
