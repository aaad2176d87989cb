//! Replicas that ask to be left alone for a time, and replicas that leave.
//!
//! What users saw: a replica turned an entry away and asked for 3 s without requests. In that
//! time the same entry sent it 3 to 5 requests more. Each was turned away; some callers were
//! refused for it, while other homes had room.
//!
//! The order of events: the replica answers 503 with `Retry-After`; 100 ms later the entry
//! takes it for one with room again, and as it has nothing running there, it is the cheapest;
//! the next request goes there, and is turned away; and so on until the replica recovers.
//!
//! The cause: nothing read what a refusal asks for. A refusal counted for a fixed time of the
//! entry's own.
//!
//! The evidence: of the refusals in the entries' lines, some name a time; requests go on to
//! reach those replicas all along it, at the pace of demand, first tries as well as repeats.

use std::time::Duration;

use crate::support::{Behaviour, ForwardSite, LEAVING, RouteShape, answered};

const SAFE: RouteShape = RouteShape::plain("/plain/");
const STREAM: RouteShape = RouteShape::stream("/stream/", true);
/// Ends long after any of these tests.
const LONG: &str = "Retry-After: 300\r\n";
/// Pause of a caller: the requests of a test are spread over some seconds.
const PACE: Duration = Duration::from_millis(50);
const REQUESTS: usize = 40;

/// Asks again and again, and returns how many were served.
async fn ask_on(site: &ForwardSite, path: &str) -> usize {
    let mut served = 0;
    for number in 0..REQUESTS {
        let answer = site
            .ask("GET", path, &format!("request-{number}"), "")
            .await;
        served += usize::from(answer.status == 200);
        tokio::time::sleep(PACE).await;
    }
    served
}

async fn site_of(replicas: &[(&str, Behaviour)]) -> ForwardSite {
    let mut site = ForwardSite::start(&[SAFE, STREAM]).await;
    for (name, behaviour) in replicas {
        site.add_replica(name, vec![*behaviour; 4 * REQUESTS]).await;
    }
    site
}

const WELL: Behaviour = Behaviour::Answer(200, "well");

#[ntex::test]
async fn a_replica_is_left_alone_for_as_long_as_it_asks() {
    let site = site_of(&[("r1", Behaviour::Refuse(LONG)), ("r2", WELL), ("r3", WELL)]).await;
    assert_eq!(ask_on(&site, "/plain/x").await, REQUESTS);
    assert_eq!(site.seen("r1").len(), 1);
}

#[ntex::test]
async fn where_all_ask_for_a_pause_callers_are_told_when_the_first_one_ends() {
    let longer = Behaviour::Refuse("Retry-After: 900\r\n");
    let site = site_of(&[("r1", Behaviour::Refuse(LONG)), ("r2", longer)]).await;
    assert_eq!(ask_on(&site, "/plain/x").await, 0);
    assert_eq!((site.seen("r1").len(), site.seen("r2").len()), (1, 1));
    let answer = site.ask("GET", "/plain/x", "last", "").await;
    assert_eq!(answer.status, 503);
    let retry: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    assert!((200.0..=300.1).contains(&retry), "{retry}");
}

#[ntex::test]
async fn a_failure_that_asks_for_a_pause_gets_it() {
    let site = site_of(&[("r1", Behaviour::Headed(503, LONG))]).await;
    assert_eq!(ask_on(&site, "/plain/x").await, 0);
    assert_eq!(site.seen("r1").len(), 1);
}

#[ntex::test]
async fn a_word_that_is_no_time_shuts_no_replica_out() {
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
    script.push(WELL);
    site.add_replica("r1", script).await;
    for number in 0..=words.len() {
        let mut answer = site.ask("GET", "/plain/x", &format!("{number}"), "").await;
        for repeat in 0..9 {
            if answer.status == 200 {
                break;
            }
            tokio::time::sleep(PACE).await;
            let id = format!("{number}-{repeat}");
            answer = site.ask("GET", "/plain/x", &id, "").await;
        }
    }
    assert!(site.seen("r1").len() > words.len());
}

#[ntex::test]
async fn of_two_times_the_longer_one_counts_and_one_on_a_success_does_not() {
    let twice = Behaviour::Refuse("Retry-After: 0.01\r\nRetry-After: 300\r\n");
    let site = site_of(&[("r1", twice), ("r2", WELL)]).await;
    assert_eq!(ask_on(&site, "/plain/x").await, REQUESTS);
    assert_eq!(site.seen("r1").len(), 1);
    let mut site = ForwardSite::start(&[SAFE]).await;
    site.add_replica("r1", vec![Behaviour::Headed(200, LONG); REQUESTS])
        .await;
    assert_eq!(ask_on(&site, "/plain/x").await, REQUESTS);
}

/// A connection takes long to open, as the replica's listener is full; meanwhile the replica
/// asks for a pause. What was to leave on that connection was chosen before.
#[ntex::test]
async fn a_request_whose_connection_was_slow_to_open_does_not_leave_in_a_pause() {
    let mut site = ForwardSite::start(&[SAFE]).await;
    site.add_replica("r1", vec![WELL, Behaviour::RefuseLater(500, LONG), WELL])
        .await;
    // Its connection is kept.
    assert_eq!(site.ask("GET", "/plain/x", "first", "").await.status, 200);
    let waiting = site.shut("r1").await;
    let refused = async {
        let refused = site.ask("GET", "/plain/x", "refused", "").await;
        drop(waiting);
        site.open("r1");
        refused
    };
    let late = async {
        answered("the refused one to arrive", async || {
            (site.seen("r1").len() == 2).then_some(())
        })
        .await;
        site.ask("GET", "/plain/x", "late", "").await
    };
    let (refused, late) = futures::join!(refused, late);
    assert_eq!((refused.status, late.status), (503, 503));
    assert_eq!(site.seen("r1").len(), 2);
}

/// A replica that says in one answer that it leaves, while its heartbeats say that it is
/// ready, gets nothing after it.
async fn is_left(path: &str, last: Behaviour, good: Behaviour) {
    let mut site = ForwardSite::start(&[SAFE, STREAM]).await;
    let mut script = vec![last];
    script.extend(vec![good; 4 * REQUESTS]);
    site.add_replica("r1", script).await;
    // The only home there is: it is the one that is asked.
    site.ask("GET", path, "first", "").await;
    site.add_replica("r2", vec![good; 4 * REQUESTS]).await;
    let before = site.seen("r1").len();
    assert_eq!(ask_on(&site, path).await, REQUESTS);
    assert_eq!(site.seen("r1").len(), before);
}

#[ntex::test]
async fn a_replica_that_says_in_an_answer_that_it_leaves_gets_no_more() {
    is_left("/plain/x", Behaviour::Headed(200, LEAVING), WELL).await;
}

#[ntex::test]
async fn the_same_in_a_failure() {
    // The only home: beside another one, its failure alone would have it passed over.
    let site = site_of(&[("r1", Behaviour::Headed(500, LEAVING))]).await;
    for number in 0..3 {
        let answer = site.ask("GET", "/plain/x", &format!("{number}"), "").await;
        assert_ne!(answer.status, 200);
    }
    assert_eq!(site.seen("r1").len(), 1);
}

#[ntex::test]
async fn the_same_in_a_refusal() {
    is_left("/plain/x", Behaviour::Refuse(LEAVING), WELL).await;
}

#[ntex::test]
async fn the_same_in_a_surplus_answer() {
    is_left("/plain/x", Behaviour::LeavingSurplus, WELL).await;
}

#[ntex::test]
async fn the_same_in_the_head_of_a_stream() {
    let good = Behaviour::Events(3);
    is_left("/stream/x", Behaviour::LeavingStream(3), good).await;
}

#[ntex::test]
async fn that_a_replica_leaves_is_no_word_for_callers() {
    let site = site_of(&[("r1", Behaviour::Headed(200, LEAVING))]).await;
    let answer = site.ask("GET", "/plain/x", "one", "").await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("leaving"), None);
}
