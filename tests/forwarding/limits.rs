//! Replicas that advertise a rate limit, in requests a second, for all entries together.

use std::time::{Duration, Instant};

use futures::future::join_all;

use crate::support::support_spans::most_within;
use crate::support::{Behaviour, ForwardSite, RouteShape};

const SAFE: RouteShape = RouteShape::plain("/plain/");
/// Window in which arrivals are counted, as required by the users who run the replicas.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after the first arrival in which arrivals are not counted, as entries learn the limit.
const SETTLING: Duration = Duration::from_secs(1);
const ENTRIES: usize = 5;
/// Time between two requests to one entry.
const INTERVAL: Duration = Duration::from_millis(50);

/// Returns the most requests that a replica may receive within [`WINDOW`] under a limit.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64()) as usize + 5
}

/// Returns the most arrivals at a replica within any window after [`SETTLING`].
fn max_in_window(site: &ForwardSite, replica: &str) -> usize {
    let arrivals: Vec<Instant> = site.seen(replica).iter().map(|seen| seen.at).collect();
    let from = arrivals.first().map(|first| *first + SETTLING);
    let counted = arrivals.iter().filter(|at| Some(**at) >= from);
    most_within(counted.copied(), WINDOW)
}

/// Sends requests to all entries for a time. Returns the number of 200 responses.
async fn send_load(site: &ForwardSite, name: &str, time: Duration) -> usize {
    let count = time.as_millis() / INTERVAL.as_millis();
    let callers =
        (0..ENTRIES).flat_map(|entry| (0..count as u32).map(move |number| (entry, number)));
    let calls = callers.map(|(entry, number)| async move {
        tokio::time::sleep(INTERVAL * number).await;
        let id = format!("{name}-{entry}-{number}");
        let answer = site.send_at(entry, "/plain/x", &id, "").await;
        usize::from(answer.status == 200)
    });
    join_all(calls).await.into_iter().sum()
}

async fn site_with(replicas: &[(&str, Behaviour)]) -> ForwardSite {
    let mut site = ForwardSite::start(&[SAFE]).await;
    for (name, behaviour) in replicas {
        site.add_replica(name, vec![*behaviour; 10_000]).await;
    }
    while site.entries() < ENTRIES {
        site.add_entry().await;
    }
    site
}

#[ntex::test]
async fn five_entries_together_stay_within_an_advertised_limit() {
    let limited = Behaviour::Headed(200, "Limit: 1\r\n");
    let site = site_with(&[("r1", limited), ("r2", limited)]).await;
    let served = send_load(&site, "crowd", Duration::from_secs(8)).await;
    assert!(served > 0);
    for replica in ["r1", "r2"] {
        let most = max_in_window(&site, replica);
        assert!(most <= allowed(1.0), "{replica} got {most}");
    }
}

#[ntex::test]
async fn requests_that_limits_delay_too_long_get_503_with_retry_after() {
    let limited = Behaviour::Headed(200, "Limit: 0\r\n");
    let site = site_with(&[("r1", limited)]).await;
    send_load(&site, "crowd", Duration::from_secs(2)).await;
    let answer = site.send("GET", "/plain/x", "late", "").await;
    assert_eq!(answer.status, 503);
    let retry: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    // A limit of 0 lets one request through every 10 s, longer than requests wait.
    assert!((0.8..=10.0).contains(&retry), "{retry}");
}

#[ntex::test]
async fn a_limit_on_a_refusal_holds_beside_its_backoff_period() {
    let refused = Behaviour::Refuse("Limit: 0.2\r\nRetry-After: 0.1\r\n");
    let mut site = ForwardSite::start(&[SAFE]).await;
    let mut script = vec![refused];
    script.extend(vec![Behaviour::Headed(200, "Limit: 0.2\r\n"); 1_000]);
    site.add_replica("r1", script).await;
    while site.entries() < ENTRIES {
        site.add_entry().await;
    }
    send_load(&site, "crowd", Duration::from_secs(5)).await;
    let most = max_in_window(&site, "r1");
    assert!(most <= allowed(0.2), "{most}");
}

#[ntex::test]
async fn a_replica_that_withdraws_its_limit_serves_all_entries_again() {
    let limited = Behaviour::Headed(200, "Limit: 4\r\n");
    let mut site = ForwardSite::start(&[SAFE]).await;
    site.add_replica("r1", vec![limited; 3]).await;
    while site.entries() < ENTRIES {
        site.add_entry().await;
    }
    // The fourth response advertises no limit; requests after it are not limited.
    send_load(&site, "before", Duration::from_secs(6)).await;
    let served = send_load(&site, "after", Duration::from_secs(1)).await;
    assert_eq!(served, ENTRIES * 20);
}

#[ntex::test]
async fn an_invalid_limit_excludes_no_replica() {
    let words = ["-3", "inf", "NaN", "soon", "", "1;2"];
    let lines = words.map(|word| format!("Limit: {word}\r\n"));
    for line in lines {
        let line: &'static str = line.leak();
        let mut site = ForwardSite::start(&[SAFE]).await;
        site.add_replica("r1", vec![Behaviour::Headed(200, line); 50])
            .await;
        for number in 0..20 {
            let answer = site
                .send("GET", "/plain/x", &format!("ask-{number}"), "")
                .await;
            assert_eq!(answer.status, 200, "{line}");
        }
    }
}

#[ntex::test]
async fn the_limit_header_is_not_forwarded_to_clients() {
    let site = site_with(&[("r1", Behaviour::Headed(200, "Limit: 3\r\n"))]).await;
    let answer = site.send("GET", "/plain/x", "one", "").await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("limit"), None);
}
