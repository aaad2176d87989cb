//! Requests that wait at an entry for capacity.

use std::time::Duration;

use dunlinspring::forward::need::ChoicePolicy;
use futures::future::join;

use crate::support::{Behaviour, ForwardSite, RouteShape, wait_for};

const URGENT: RouteShape = RouteShape::plain("/urgent/").ranked(0);
const BATCH: RouteShape = RouteShape::plain("/batch/").ranked(2);
/// A load that stays above the slots until its report has faded out.
const BUSY: Behaviour = Behaviour::Headed(200, "Load: 1000000,1000000,8\r\n");
const OK: Behaviour = Behaviour::Response(200, "well");

/// Returns the value of a metric with these labels.
fn metric(page: &str, name: &str, labels: &[&str]) -> Option<f64> {
    let mut lines = page.lines();
    let line = lines
        .find(|line| line.starts_with(name) && labels.iter().all(|label| line.contains(label)));
    line?.rsplit_once(' ')?.1.parse().ok()
}

/// Guards against refused requests that are logged as if they had not waited: the time was recorded
/// only if a replica was found.
#[ntex::test]
async fn the_wait_of_a_refused_request_is_recorded() {
    let mut site = ForwardSite::start(&[BATCH]).await;
    site.add_replica("r1", vec![BUSY]).await;
    assert_eq!(site.send("GET", "/batch/x", "first", "").await.status, 200);
    let refused = site.send("GET", "/batch/x", "second", "").await;
    assert_eq!(refused.status, 503);
    let page = site.metrics().await;
    let labels = [
        "service=\"plain\"",
        "outcome=\"refused\"",
        "quantile=\"0.5\"",
    ];
    let waited_s = metric(&page, "dunlinspring_waited_seconds{", &labels).unwrap();
    // A quarter of the route's latency target, less the error of the histogram.
    assert!(waited_s > 0.19, "{waited_s}\n{page}");
}

/// Guards against waiting requests that race for capacity: the urgent one arrives last and has to
/// be sent first.
#[ntex::test]
async fn the_most_urgent_waiting_request_is_sent_first() {
    let choice = ChoicePolicy {
        ordered_wait: Some(true),
        room_part: 10.0,
        ..ChoicePolicy::default()
    };
    let mut site = ForwardSite::start_with(&[URGENT, BATCH], choice).await;
    site.add_replica("r1", vec![BUSY, OK, OK, OK]).await;
    assert_eq!(site.send("GET", "/batch/x", "busy", "").await.status, 200);
    let batch = site.send("GET", "/batch/x", "batch", "");
    let urgent = async {
        wait_for("the request of rank 2 to wait", async || {
            (site.waiting() == 1).then_some(())
        })
        .await;
        site.send("GET", "/urgent/x", "urgent", "").await
    };
    let (batch, urgent) = join(batch, urgent).await;
    assert_eq!((batch.status, urgent.status), (200, 200));
    let sent: Vec<String> = site
        .seen("r1")
        .iter()
        .map(|seen| seen.target.clone())
        .collect();
    assert_eq!(sent, ["/batch/x", "/urgent/x", "/batch/x"]);
}

/// Guards against a waiting request that its client abandons but that keeps its place in the line
/// and blocks all others.
#[ntex::test]
async fn an_abandoned_request_leaves_the_line() {
    let choice = ChoicePolicy {
        ordered_wait: Some(true),
        room_part: 10.0,
        ..ChoicePolicy::default()
    };
    let mut site = ForwardSite::start_with(&[URGENT, BATCH], choice).await;
    site.add_replica("r1", vec![BUSY, OK, OK]).await;
    assert_eq!(site.send("GET", "/batch/x", "busy", "").await.status, 200);
    let waits = async || (site.waiting() == 1).then_some(());
    site.send_without_reading("/urgent/x", waits).await;
    let batch = site.send("GET", "/batch/x", "batch", "").await;
    assert_eq!(batch.status, 200);
    assert_eq!((site.waiting(), site.seen("r1").len()), (0, 2));
}

/// Guards against an effect on services whose replicas do not queue: their requests wait in no
/// order, as before.
#[ntex::test]
async fn requests_of_a_service_without_queues_wait_in_no_line() {
    let busy = Behaviour::Headed(200, "Load: 1000000,0,8\r\n");
    let mut site = ForwardSite::start(&[BATCH]).await;
    site.add_replica("r1", vec![busy]).await;
    assert_eq!(site.send("GET", "/batch/x", "first", "").await.status, 200);
    let mut request = std::pin::pin!(site.send("GET", "/batch/x", "second", ""));
    let refused = loop {
        let look_again = Duration::from_millis(5);
        if let Ok(refused) = tokio::time::timeout(look_again, request.as_mut()).await {
            break refused;
        }
        assert_eq!(site.waiting(), 0);
    };
    assert_eq!(refused.status, 503);
}
