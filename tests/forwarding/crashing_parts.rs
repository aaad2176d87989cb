//! Parts of prompts that crash replicas, in requests of which no two are alike.

use dunlinspring::consensus::part_crashes::PartStanding;
use dunlinspring::routing::content::part_digest;

use crate::support::crashing::{CLOSING, CRASHING_PART, CUT_BY_CRASH, LONG_RUNNING};
use crate::support::{ForwardSite, RouteShape, wait_for};

const STREAM: RouteShape = RouteShape::stream("/stream/", false);
const SAFE: RouteShape = RouteShape::plain("/plain/");
const ENTRIES: usize = 3;
/// First part of all prompts, guilty or not.
const FIRST_PART: &str = "aa";

async fn start() -> ForwardSite {
    ForwardSite::start_crashing(&[STREAM], ENTRIES).await
}

#[ntex::test]
async fn requests_with_a_crashing_part_of_their_prompts_crash_few_replicas() {
    let site = start().await;
    for number in 0..12 {
        let parts = [FIRST_PART, CRASHING_PART];
        let id = format!("guilty-{number}");
        site.send_prompt(number % ENTRIES, "/stream/x", &id, &parts)
            .await;
        site.wait_for_restarts().await;
        let parts = [FIRST_PART, &format!("b{}", number % 3)];
        let id = format!("sound-{number}");
        let entry = (number + 1) % ENTRIES;
        let sound = site.send_prompt(entry, "/stream/x", &id, &parts).await;
        assert_eq!(sound.status, 200, "request {number}");
    }
    assert!(site.crash_count() <= 4, "{} crashed", site.crash_count());
    for entry in 0..ENTRIES {
        let parts = ["ee", CRASHING_PART];
        let id = format!("refused-{entry}");
        let refused = site.send_prompt(entry, "/stream/x", &id, &parts).await;
        assert_eq!(refused.status, 503);
        assert!(refused.header("retry-after").is_some());
    }
}

/// Sends requests with the crashing part until it is quarantined.
async fn quarantine(site: &ForwardSite) {
    let part = part_digest("plain", CRASHING_PART);
    for number in 0..5 {
        let id = format!("guilty-{number}");
        let parts = [&format!("a{number}"), CRASHING_PART];
        site.send_prompt(number % site.entries(), "/stream/x", &id, &parts)
            .await;
        site.wait_for_restarts().await;
        if site.parts().await.standing(&part) == PartStanding::Barred {
            return;
        }
    }
    panic!("not quarantined after {} crashes", site.crash_count());
}

#[ntex::test]
async fn an_entry_that_was_just_started_refuses_a_quarantined_part() {
    let mut site = start().await;
    quarantine(&site).await;
    let crashes = site.crash_count();
    let late = site.add_entry().await;
    let parts = ["ee", CRASHING_PART];
    let refused = site.send_prompt(late, "/stream/x", "late", &parts).await;
    assert_eq!((refused.status, site.crash_count()), (503, crashes));
    let parts = [FIRST_PART, "b0"];
    let sound = site.send_prompt(late, "/stream/x", "sound", &parts).await;
    assert_eq!(sound.status, 200);
}

#[ntex::test]
async fn a_lifted_part_runs_and_is_quarantined_after_one_more_crash() {
    let site = start().await;
    quarantine(&site).await;
    let crashes = site.crash_count();
    assert!(site.lift(part_digest("plain", CRASHING_PART)).await);
    let parts = ["ee", CRASHING_PART];
    wait_for("a run of the lifted part", async || {
        let answer = site.send_prompt(0, "/stream/x", "lifted", &parts).await;
        (answer.status == 502).then_some(())
    })
    .await;
    site.wait_for_restarts().await;
    wait_for("the quarantine", async || {
        let answer = site.send_prompt(1, "/stream/x", "again", &parts).await;
        (answer.status == 503).then_some(())
    })
    .await;
    assert_eq!(site.crash_count(), crashes + 1);
}

#[ntex::test]
async fn a_run_that_has_not_begun_is_withdrawn_when_its_part_is_quarantined() {
    let mut site = ForwardSite::start(&[STREAM]).await;
    let replica = site.add_crashing("r1").await;
    let response = site.send_prompt(0, "/stream/x", LONG_RUNNING, &[FIRST_PART, "bad0"]);
    let quarantines = async {
        wait_for("the run", async || {
            (replica.run_count(LONG_RUNNING) == 1).then_some(())
        })
        .await;
        for crash in 1..=3 {
            let part = part_digest("plain", "bad0");
            site.report_part_crash(part, crash).await;
        }
    };
    // Without the verdict the request would end with 504 at its deadline.
    let (response, ()) = futures::join!(response, quarantines);
    assert_eq!((response.status, replica.crash_count()), (502, 0));
}

#[ntex::test]
async fn a_response_that_ends_with_its_replica_is_not_passed_on_as_complete() {
    let mut site = ForwardSite::start(&[STREAM]).await;
    let replica = site.add_crashing("r1").await;
    let cut = site.send_at(0, "/stream/x", "cut", CUT_BY_CRASH).await;
    assert_eq!((cut.complete, replica.crash_count()), (false, 1));
    wait_for("the crash in the replicated log", async || {
        (site.contents().await.records().len() == 1).then_some(())
    })
    .await;
}

#[ntex::test]
async fn a_response_without_length_is_complete_while_its_replica_runs() {
    let mut site = ForwardSite::start(&[STREAM, SAFE]).await;
    site.add_crashing("r1").await;
    let stream = site.send_at(0, "/stream/x", "stream", CLOSING).await;
    assert_eq!((stream.status, stream.complete), (200, true));
    assert!(stream.body.ends_with("data: 2\n\n"), "{}", stream.body);
    let whole = site.send_at(0, "/plain/x", "whole", CLOSING).await;
    assert_eq!((whole.status, whole.complete), (200, true));
    assert!(whole.header("content-length").is_some());
    assert!(site.contents().await.records().is_empty());
}
