//! Replicas that name how many requests a second they take from all entries together.

use std::time::{Duration, Instant};

use futures::future::join_all;

use crate::support::support_spans::most_within;
use crate::support::{Behaviour, ForwardSite, RouteShape};

const SAFE: RouteShape = RouteShape::plain("/plain/");
/// The span in which arrivals are counted, as the replicas' users state it.
const SPAN: Duration = Duration::from_secs(4);
/// From the first word of a limit on.
const HEARD: Duration = Duration::from_secs(1);
const ENTRIES: usize = 5;
/// Pause between two callers of one entry.
const PACE: Duration = Duration::from_millis(50);

/// What a replica that names a limit a second may get within [`SPAN`].
fn allowed(limit: f64) -> usize {
    (1.5 * limit * SPAN.as_secs_f64()) as usize + 5
}

/// Most arrivals of a replica within any span that begins after it was heard.
fn most_in_a_span(site: &ForwardSite, replica: &str) -> usize {
    let arrivals: Vec<Instant> = site.seen(replica).iter().map(|seen| seen.at).collect();
    let from = arrivals.first().map(|first| *first + HEARD);
    let counted = arrivals.iter().filter(|at| Some(**at) >= from);
    most_within(counted.copied(), SPAN)
}

/// Callers at all entries for so long. Returns how many were served.
async fn crowd(site: &ForwardSite, name: &str, time: Duration) -> usize {
    let count = time.as_millis() / PACE.as_millis();
    let callers =
        (0..ENTRIES).flat_map(|entry| (0..count as u32).map(move |number| (entry, number)));
    let calls = callers.map(|(entry, number)| async move {
        tokio::time::sleep(PACE * number).await;
        let id = format!("{name}-{entry}-{number}");
        let answer = site.ask_at(entry, "/plain/x", &id, "").await;
        usize::from(answer.status == 200)
    });
    join_all(calls).await.into_iter().sum()
}

async fn site_of(replicas: &[(&str, Behaviour)]) -> ForwardSite {
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
async fn five_entries_together_send_no_more_than_the_limit_that_a_replica_names() {
    let limited = Behaviour::Headed(200, "Limit: 1\r\n");
    let site = site_of(&[("r1", limited), ("r2", limited)]).await;
    let served = crowd(&site, "crowd", Duration::from_secs(8)).await;
    assert!(served > 0);
    for replica in ["r1", "r2"] {
        let most = most_in_a_span(&site, replica);
        assert!(most <= allowed(1.0), "{replica} got {most}");
    }
}

#[ntex::test]
async fn where_all_homes_name_limits_who_cannot_be_served_in_time_is_told_when_to_return() {
    let limited = Behaviour::Headed(200, "Limit: 0\r\n");
    let site = site_of(&[("r1", limited)]).await;
    crowd(&site, "crowd", Duration::from_secs(2)).await;
    let answer = site.ask("GET", "/plain/x", "late", "").await;
    assert_eq!(answer.status, 503);
    let retry: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    // Later than anyone waits for room, as one request in ten seconds goes there.
    assert!((0.8..=10.0).contains(&retry), "{retry}");
}

#[ntex::test]
async fn a_limit_on_a_refusal_holds_beside_the_pause_that_it_asks_for() {
    let refused = Behaviour::Refuse("Limit: 0.2\r\nRetry-After: 0.1\r\n");
    let mut site = ForwardSite::start(&[SAFE]).await;
    let mut script = vec![refused];
    script.extend(vec![Behaviour::Headed(200, "Limit: 0.2\r\n"); 1_000]);
    site.add_replica("r1", script).await;
    while site.entries() < ENTRIES {
        site.add_entry().await;
    }
    crowd(&site, "crowd", Duration::from_secs(5)).await;
    let most = most_in_a_span(&site, "r1");
    assert!(most <= allowed(0.2), "{most}");
}

#[ntex::test]
async fn a_replica_that_names_no_limit_any_more_serves_all_entries_again() {
    let limited = Behaviour::Headed(200, "Limit: 4\r\n");
    let mut site = ForwardSite::start(&[SAFE]).await;
    site.add_replica("r1", vec![limited; 3]).await;
    while site.entries() < ENTRIES {
        site.add_entry().await;
    }
    // The fourth answer names none; what comes after it is served as it comes.
    crowd(&site, "before", Duration::from_secs(6)).await;
    let served = crowd(&site, "after", Duration::from_secs(1)).await;
    assert_eq!(served, ENTRIES * 20);
}

#[ntex::test]
async fn a_limit_that_is_no_number_shuts_no_replica_out() {
    let words = ["-3", "inf", "NaN", "soon", "", "1;2"];
    let lines = words.map(|word| format!("Limit: {word}\r\n"));
    for line in lines {
        let line: &'static str = line.leak();
        let mut site = ForwardSite::start(&[SAFE]).await;
        site.add_replica("r1", vec![Behaviour::Headed(200, line); 50])
            .await;
        for number in 0..20 {
            let answer = site
                .ask("GET", "/plain/x", &format!("ask-{number}"), "")
                .await;
            assert_eq!(answer.status, 200, "{line}");
        }
    }
}

#[ntex::test]
async fn that_a_replica_names_a_limit_is_no_word_for_callers() {
    let site = site_of(&[("r1", Behaviour::Headed(200, "Limit: 3\r\n"))]).await;
    let answer = site.ask("GET", "/plain/x", "one", "").await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("limit"), None);
}
