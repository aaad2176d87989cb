//! Suspension of the machine: the monotonic clock behind timers stops, while clients, replicas
//! and other hosts go on. Runs as its own process, as all clocks of the process jump.

#[path = "../forwarding/support/mod.rs"]
#[expect(dead_code, reason = "shared with the forwarding tests")]
mod support;

use std::cell::RefCell;
use std::time::Duration;

use dunlinspring::clock;
use support::{Behaviour, ForwardSite, RouteShape, TIMEOUT_MS, wait_for};
use tokio::sync::Mutex;

const PLAIN: RouteShape = RouteShape::plain("/plain/");
/// Length of the suspension.
const SUSPENDED: Duration = Duration::from_millis(6_000);

/// Clocks are shared by the process, so tests run one at a time.
static CLOCK_LOCK: Mutex<()> = Mutex::const_new(());

#[ntex::test]
async fn a_suspension_counts_against_the_deadline_of_a_request() {
    let _lock = CLOCK_LOCK.lock().await;
    let mut site = ForwardSite::start(&[PLAIN]).await;
    for name in ["r1", "r2"] {
        let script = vec![Behaviour::Slow(60_000, "too late")];
        site.add_replica(name, script).await;
    }
    let response = site.send("GET", "/plain/x", "a", "");
    let wakes = async {
        wait_for("the first attempt", async || {
            let seen = site.seen("r1").len() + site.seen("r2").len();
            (seen == 1).then_some(())
        })
        .await;
        clock::simulate_suspension(SUSPENDED);
    };
    let (answer, ()) = futures::join!(response, wakes);
    // No attempt gets a response: neither the first nor the one after the suspension.
    assert_eq!(answer.status, 502);
    let mut deadlines: Vec<u64> = ["r1", "r2"]
        .iter()
        .flat_map(|name| site.seen(name))
        .map(|seen| seen.header("deadline-ms").unwrap().parse().unwrap())
        .collect();
    deadlines.sort_unstable();
    assert_eq!(deadlines.len(), 2);
    let most = TIMEOUT_MS - SUSPENDED.as_millis() as u64;
    assert!(
        deadlines[0] <= most,
        "{deadlines:?}, at most {most} ms were left"
    );
}

#[ntex::test]
async fn a_request_whose_deadline_passed_in_a_suspension_gets_504() {
    let _lock = CLOCK_LOCK.lock().await;
    let mut site = ForwardSite::start(&[PLAIN]).await;
    site.add_replica("r1", vec![Behaviour::Slow(60_000, "too late"); 3])
        .await;
    let order = RefCell::new(Vec::new());
    let response = async {
        let answer = site.send("GET", "/plain/x", "a", "").await;
        order.borrow_mut().push("answer");
        answer
    };
    let wakes = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        clock::simulate_suspension(Duration::from_millis(TIMEOUT_MS));
        tokio::time::sleep(Duration::from_millis(3_000)).await;
        order.borrow_mut().push("later");
    };
    let (answer, ()) = futures::join!(response, wakes);
    assert_eq!(answer.status, 504);
    assert_eq!(order.into_inner(), ["answer", "later"]);
}

/// A backoff period runs on the replica's clock, so it goes on during a suspension and may end
/// in it.
#[ntex::test]
async fn a_backoff_period_ends_during_a_suspension() {
    let _lock = CLOCK_LOCK.lock().await;
    let mut site = ForwardSite::start(&[PLAIN]).await;
    let paused = Behaviour::Refuse("Retry-After: 300\r\n");
    site.add_replica("r1", vec![paused, Behaviour::Response(200, "well")])
        .await;
    assert_eq!(site.send("GET", "/plain/x", "a", "").await.status, 503);
    clock::simulate_suspension(Duration::from_secs(100));
    assert_eq!(site.send("GET", "/plain/x", "b", "").await.status, 503);
    assert_eq!(site.seen("r1").len(), 1);
    clock::simulate_suspension(Duration::from_secs(200));
    let answer = site.send("GET", "/plain/x", "c", "").await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "well"));
}
