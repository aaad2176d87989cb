//! A machine that is suspended: the steady clock behind timers stands still, and callers,
//! replicas and other hosts go on. A process of its own, as all clocks in it jump.

#[path = "../forwarding/support/mod.rs"]
#[expect(dead_code, reason = "made for the tests of forwarding")]
mod support;

use std::cell::RefCell;
use std::time::Duration;

use dunlinspring::clock;
use support::{Behaviour, ForwardSite, RouteShape, TIMEOUT_MS, answered};
use tokio::sync::Mutex;

const PLAIN: RouteShape = RouteShape::plain("/plain/");
/// How long the machine is suspended.
const SUSPENDED: Duration = Duration::from_millis(6_000);

/// The clocks are the process's: one test at a time.
static TURN: Mutex<()> = Mutex::const_new(());

#[ntex::test]
async fn a_request_that_waited_meanwhile_has_so_much_less_time() {
    let _turn = TURN.lock().await;
    let mut site = ForwardSite::start(&[PLAIN]).await;
    for name in ["r1", "r2"] {
        let script = vec![Behaviour::Slow(60_000, "too late")];
        site.add_replica(name, script).await;
    }
    let asked = site.ask("GET", "/plain/x", "a", "");
    let wakes = async {
        answered("the first try", async || {
            let seen = site.seen("r1").len() + site.seen("r2").len();
            (seen == 1).then_some(())
        })
        .await;
        clock::simulate_suspension(SUSPENDED);
    };
    let (answer, ()) = futures::join!(asked, wakes);
    // No replica answers in the time of a try: the first, and one after the suspension.
    assert_eq!(answer.status, 502);
    let mut told: Vec<u64> = ["r1", "r2"]
        .iter()
        .flat_map(|name| site.seen(name))
        .map(|seen| seen.header("deadline-ms").unwrap().parse().unwrap())
        .collect();
    told.sort_unstable();
    assert_eq!(told.len(), 2);
    let most = TIMEOUT_MS - SUSPENDED.as_millis() as u64;
    assert!(told[0] <= most, "{told:?}, {most} ms were left at most");
}

#[ntex::test]
async fn a_request_whose_time_went_by_meanwhile_is_answered() {
    let _turn = TURN.lock().await;
    let mut site = ForwardSite::start(&[PLAIN]).await;
    site.add_replica("r1", vec![Behaviour::Slow(60_000, "too late"); 3])
        .await;
    let order = RefCell::new(Vec::new());
    let asked = async {
        let answer = site.ask("GET", "/plain/x", "a", "").await;
        order.borrow_mut().push("answer");
        answer
    };
    let wakes = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        clock::simulate_suspension(Duration::from_millis(TIMEOUT_MS));
        tokio::time::sleep(Duration::from_millis(3_000)).await;
        order.borrow_mut().push("later");
    };
    let (answer, ()) = futures::join!(asked, wakes);
    assert_eq!(answer.status, 504);
    assert_eq!(order.into_inner(), ["answer", "later"]);
}

/// A replica's pause goes on while the machine is suspended, and ends with it: its time is
/// the replica's.
#[ntex::test]
async fn a_pause_that_was_asked_for_ends_meanwhile() {
    let _turn = TURN.lock().await;
    let mut site = ForwardSite::start(&[PLAIN]).await;
    let paused = Behaviour::Refuse("Retry-After: 300\r\n");
    site.add_replica("r1", vec![paused, Behaviour::Answer(200, "well")])
        .await;
    assert_eq!(site.ask("GET", "/plain/x", "a", "").await.status, 503);
    clock::simulate_suspension(Duration::from_secs(100));
    assert_eq!(site.ask("GET", "/plain/x", "b", "").await.status, 503);
    assert_eq!(site.seen("r1").len(), 1);
    clock::simulate_suspension(Duration::from_secs(200));
    let answer = site.ask("GET", "/plain/x", "c", "").await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "well"));
}
