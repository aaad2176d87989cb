//! Replicas that request a backoff period, and replicas that drain.
//!
//! The failure: a replica refused a request with `Retry-After: 3`. Within these 3 s the same
//! entry sent it 3 to 5 more requests. All were refused, and some clients with them, while
//! other homes had free capacity.
//!
//! The cause: the entry ignored `Retry-After` and avoided a replica for a fixed 100 ms after a
//! refusal. Then the replica, with nothing running, was the cheapest choice again, until it
//! recovered. In the logs this shows as first attempts and retries that reach a replica
//! within the backoff period that it requested.

use std::time::Duration;

use dunlinspring::forward::budget::ResendPolicy;

use crate::support::{Behaviour, DRAINING, ForwardSite, RouteShape, wait_for};

const SAFE: RouteShape = RouteShape::plain("/plain/");
const STREAM: RouteShape = RouteShape::stream("/stream/", true);
/// A backoff period longer than any of these tests.
const LONG: &str = "Retry-After: 300\r\n";
/// Time between two requests of a caller; spreads the requests of a test over seconds.
const INTERVAL: Duration = Duration::from_millis(50);
const REQUESTS: usize = 40;

/// Sends [`REQUESTS`] requests one after the other. Returns the number of 200 responses.
async fn send_repeatedly(site: &ForwardSite, path: &str) -> usize {
    let mut served = 0;
    for number in 0..REQUESTS {
        let answer = site
            .send("GET", path, &format!("request-{number}"), "")
            .await;
        served += usize::from(answer.status == 200);
        tokio::time::sleep(INTERVAL).await;
    }
    served
}

async fn site_with(replicas: &[(&str, Behaviour)]) -> ForwardSite {
    let mut site = ForwardSite::start(&[SAFE, STREAM]).await;
    for (name, behaviour) in replicas {
        site.add_replica(name, vec![*behaviour; 4 * REQUESTS]).await;
    }
    site
}

const OK: Behaviour = Behaviour::Response(200, "well");

#[ntex::test]
async fn a_replica_gets_no_requests_in_its_backoff_period() {
    let site = site_with(&[("r1", Behaviour::Refuse(LONG)), ("r2", OK), ("r3", OK)]).await;
    assert_eq!(send_repeatedly(&site, "/plain/x").await, REQUESTS);
    assert_eq!(site.seen("r1").len(), 1);
}

#[ntex::test]
async fn when_all_replicas_back_off_retry_after_names_the_first_end() {
    let longer = Behaviour::Refuse("Retry-After: 900\r\n");
    let site = site_with(&[("r1", Behaviour::Refuse(LONG)), ("r2", longer)]).await;
    assert_eq!(send_repeatedly(&site, "/plain/x").await, 0);
    assert_eq!((site.seen("r1").len(), site.seen("r2").len()), (1, 1));
    let answer = site.send("GET", "/plain/x", "last", "").await;
    assert_eq!(answer.status, 503);
    let retry: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    assert!((200.0..=300.1).contains(&retry), "{retry}");
}

#[ntex::test]
async fn retry_after_on_a_failure_is_obeyed() {
    let site = site_with(&[("r1", Behaviour::Headed(503, LONG))]).await;
    assert_eq!(send_repeatedly(&site, "/plain/x").await, 0);
    assert_eq!(site.seen("r1").len(), 1);
}

#[ntex::test]
async fn an_invalid_retry_after_excludes_no_replica() {
    let words = [
        "Retry-After: -300\r\n",
        "Retry-After: inf\r\n",
        "Retry-After: NaN\r\n",
        "Retry-After: Wed, 21 Oct 2099 07:28:00 GMT\r\n",
        "Retry-After:\r\n",
        "Retry-After: soon\r\n",
    ];
    let mut site = ForwardSite::start(&[SAFE]).await;
    let mut script: Vec<Behaviour> = words.iter().map(|line| Behaviour::Refuse(line)).collect();
    script.push(OK);
    site.add_replica("r1", script).await;
    for number in 0..=words.len() {
        let mut answer = site.send("GET", "/plain/x", &format!("{number}"), "").await;
        for repeat in 0..9 {
            if answer.status == 200 {
                break;
            }
            tokio::time::sleep(INTERVAL).await;
            let id = format!("{number}-{repeat}");
            answer = site.send("GET", "/plain/x", &id, "").await;
        }
    }
    assert!(site.seen("r1").len() > words.len());
}

#[ntex::test]
async fn the_longer_retry_after_counts_and_one_on_a_success_does_not() {
    let twice = Behaviour::Refuse("Retry-After: 0.01\r\nRetry-After: 300\r\n");
    let site = site_with(&[("r1", twice), ("r2", OK)]).await;
    assert_eq!(send_repeatedly(&site, "/plain/x").await, REQUESTS);
    assert_eq!(site.seen("r1").len(), 1);
    let mut site = ForwardSite::start(&[SAFE]).await;
    site.add_replica("r1", vec![Behaviour::Headed(200, LONG); REQUESTS])
        .await;
    assert_eq!(send_repeatedly(&site, "/plain/x").await, REQUESTS);
}

/// A connection opens slowly, as the replica's listener is full, and meanwhile the replica
/// requests a backoff period. The request chose the replica before that, and must not be sent.
#[ntex::test]
async fn a_request_with_a_slow_connection_is_not_sent_in_a_backoff_period() {
    let mut site = ForwardSite::start(&[SAFE]).await;
    site.add_replica("r1", vec![OK, Behaviour::RefuseLater(500, LONG), OK])
        .await;
    // Keeps a connection to the replica open.
    assert_eq!(site.send("GET", "/plain/x", "first", "").await.status, 200);
    let waiting = site.shut("r1").await;
    let refused = async {
        let refused = site.send("GET", "/plain/x", "refused", "").await;
        drop(waiting);
        site.open("r1");
        refused
    };
    let late = async {
        wait_for("the refused request to arrive", async || {
            (site.seen("r1").len() == 2).then_some(())
        })
        .await;
        site.send("GET", "/plain/x", "late", "").await
    };
    let (refused, late) = futures::join!(refused, late);
    assert_eq!((refused.status, late.status), (503, 503));
    assert_eq!(site.seen("r1").len(), 2);
}

/// Checks that a replica that announces draining in one response gets no more requests, though
/// its heartbeats still report it ready.
async fn gets_nothing_after(path: &str, last: Behaviour, good: Behaviour) {
    let mut site = ForwardSite::start(&[SAFE, STREAM]).await;
    let mut script = vec![last];
    script.extend(vec![good; 4 * REQUESTS]);
    site.add_replica("r1", script).await;
    // The only home, so this request goes to it.
    site.send("GET", path, "first", "").await;
    site.add_replica("r2", vec![good; 4 * REQUESTS]).await;
    let before = site.seen("r1").len();
    assert_eq!(send_repeatedly(&site, path).await, REQUESTS);
    assert_eq!(site.seen("r1").len(), before);
}

#[ntex::test]
async fn draining_announced_in_a_response_is_obeyed() {
    gets_nothing_after("/plain/x", Behaviour::Headed(200, DRAINING), OK).await;
}

#[ntex::test]
async fn draining_announced_in_a_failure_is_obeyed() {
    // The only home: with another one, the failure alone would divert the requests.
    let site = site_with(&[("r1", Behaviour::Headed(500, DRAINING))]).await;
    for number in 0..3 {
        let answer = site.send("GET", "/plain/x", &format!("{number}"), "").await;
        assert_ne!(answer.status, 200);
    }
    assert_eq!(site.seen("r1").len(), 1);
}

#[ntex::test]
async fn draining_announced_in_a_refusal_is_obeyed() {
    gets_nothing_after("/plain/x", Behaviour::Refuse(DRAINING), OK).await;
}

#[ntex::test]
async fn draining_announced_in_a_surplus_response_is_obeyed() {
    gets_nothing_after("/plain/x", Behaviour::DrainingSurplus, OK).await;
}

#[ntex::test]
async fn draining_announced_in_the_head_of_a_stream_is_obeyed() {
    let good = Behaviour::Events(3);
    gets_nothing_after("/stream/x", Behaviour::DrainingStream(3), good).await;
}

#[ntex::test]
async fn the_leaving_header_is_not_forwarded_to_clients() {
    let site = site_with(&[("r1", Behaviour::Headed(200, DRAINING))]).await;
    let answer = site.send("GET", "/plain/x", "one", "").await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("leaving"), None);
}

/// A refused request that found all other homes in a backoff period had spent a resend, so a later
/// one that another home could have taken was refused.
#[ntex::test]
async fn a_request_that_no_home_can_take_spends_no_resend() {
    let policy = ResendPolicy {
        earned: 0.0,
        slack: 1.0,
    };
    let mut site = ForwardSite::start_with_resends(&[SAFE], policy).await;
    for (name, id) in [("r1", "first"), ("r2", "second")] {
        site.add_replica(name, vec![Behaviour::Refuse(LONG)]).await;
        assert_eq!(site.send("GET", "/plain/x", id, "").await.status, 503);
        assert_eq!(site.seen(name).len(), 1);
    }
    let mut refusing = vec![Behaviour::Refuse(LONG)];
    refusing.extend(vec![OK; REQUESTS]);
    site.add_replica("r3", refusing).await;
    site.add_replica("r4", vec![OK; 2 * REQUESTS]).await;
    assert_eq!(send_repeatedly(&site, "/plain/x").await, REQUESTS);
    assert_eq!(site.seen("r3").len(), 1);
}
