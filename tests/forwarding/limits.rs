//! Replicas that name how many requests a second they take from all entries together.

use std::time::{Duration, Instant};

use futures::future::join_all;

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
    let counted: Vec<Instant> = counted.copied().collect();
    let within = |begin: Instant| {
        let span = begin..begin + SPAN;
        counted.iter().filter(|at| span.contains(*at)).count()
    };
    let spans = counted.iter().map(|begin| within(*begin));
    spans.max().unwrap_or(0)
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
