//! Requests that crash replicas (queries of death).
//!
//! The failure: a client repeated one request at any entry. Each run crashed its replica 0.1
//! to 0.7 s after the start and ended with 502. After the third crash it was still sent four
//! more times; eight to twelve replicas crashed, each with all its other runs.
//!
//! The cause: crashes were not linked to the content that caused them. Each repetition has the
//! same path, client and body but a new request id, and a crash was recorded only for the
//! replica, by the entry that saw it, so other entries sent the request to healthy replicas.
//! In the logs this shows as aborted attempts of one content from all entries at a steady
//! rate, one replica each and none retried by the system.

use dunlinspring::consensus::crashes::ContentRecord;

use crate::support::crashing::{CRASHING, LONG_RUNNING};
use crate::support::{Behaviour, ForwardSite, RouteShape, wait_for};

const STREAM: RouteShape = RouteShape::stream("/stream/", false);
const SAFE: RouteShape = RouteShape::plain("/plain/");
const ENTRIES: usize = 3;

async fn start() -> ForwardSite {
    ForwardSite::start_crashing(&[STREAM, SAFE], ENTRIES).await
}

#[ntex::test]
async fn a_content_crashes_at_most_three_replicas() {
    let site = start().await;
    for repeat in 0..12 {
        let id = format!("repeat-{repeat}");
        site.send_at(repeat % ENTRIES, "/stream/x", &id, CRASHING)
            .await;
        site.wait_for_restarts().await;
    }
    assert_eq!(site.crash_count(), 3);
    for entry in 0..ENTRIES {
        let id = format!("other-{entry}");
        let answer = site.send_at(entry, "/stream/x", &id, "harmless").await;
        assert_eq!(answer.status, 200);
        let refused = site.send_at(entry, "/stream/x", &id, CRASHING).await;
        assert_eq!(refused.status, 503);
        assert!(refused.header("retry-after").is_some());
    }
}

#[ntex::test]
async fn retries_of_a_content_crash_at_most_three_replicas() {
    let site = start().await;
    for repeat in 0..4 {
        let id = format!("repeat-{repeat}");
        site.send_at(repeat % ENTRIES, "/plain/x", &id, CRASHING)
            .await;
        site.wait_for_restarts().await;
    }
    assert_eq!(site.crash_count(), 3);
}

#[ntex::test]
async fn a_request_beside_a_crashing_one_is_served() {
    let mut site = ForwardSite::start(&[STREAM]).await;
    site.add_entry().await;
    let first = site.add_crashing("r1").await;
    let beside = site.send_at(0, "/stream/x", "beside-1", LONG_RUNNING);
    let deadly = async {
        wait_for("the long run", async || {
            (first.run_count(LONG_RUNNING) == 1).then_some(())
        })
        .await;
        site.send_at(1, "/stream/x", "deadly-1", CRASHING).await
    };
    let (beside, deadly) = futures::join!(beside, deadly);
    assert_eq!((beside.status, deadly.status), (502, 502));
    assert_eq!(first.crash_count(), 1);
    // With a second replica, the two requests no longer share a replica.
    let second = site.add_crashing("r2").await;
    site.wait_for_restarts().await;
    let beside = site.send_at(0, "/stream/x", "beside-2", LONG_RUNNING);
    let deadly = async {
        let runs = || first.run_count(LONG_RUNNING) + second.run_count(LONG_RUNNING);
        wait_for("the long run", async || (runs() == 2).then_some(())).await;
        for repeat in 2..9 {
            site.send_at(1, "/stream/x", &format!("deadly-{repeat}"), CRASHING)
                .await;
            if site.crash_count() < 3 {
                site.wait_for_restarts().await;
            }
        }
        first.release();
        second.release();
    };
    let (beside, ()) = futures::join!(beside, deadly);
    assert_eq!((beside.status, beside.complete), (200, true));
    assert_eq!(site.crash_count(), 3);
}

#[ntex::test]
async fn a_broken_connection_is_not_a_crash() {
    let mut site = ForwardSite::start(&[STREAM]).await;
    let mut script = vec![Behaviour::Close; 5];
    script.push(Behaviour::Events(1));
    site.add_replica("r1", script).await;
    for repeat in 0..5 {
        let id = format!("repeat-{repeat}");
        assert_eq!(site.send_at(0, "/stream/x", &id, "same").await.status, 502);
    }
    assert_eq!(
        site.send_at(0, "/stream/x", "last", "same").await.status,
        200
    );
}

#[ntex::test]
async fn an_external_kill_quarantines_no_content() {
    let mut site = ForwardSite::start(&[STREAM]).await;
    let replica = site.add_crashing("r1").await;
    for repeat in 1..=2 {
        let id = format!("repeat-{repeat}");
        let response = site.send_at(0, "/stream/x", &id, LONG_RUNNING);
        let kills = async {
            wait_for("the run", async || {
                (replica.run_count(LONG_RUNNING) == repeat).then_some(())
            })
            .await;
            replica.kill();
        };
        let (answer, ()) = futures::join!(response, kills);
        assert_eq!(answer.status, 502);
        site.wait_for_restarts().await;
    }
    let response = site.send_at(0, "/stream/x", "last", LONG_RUNNING);
    let releases = async {
        wait_for("the run", async || {
            (replica.run_count(LONG_RUNNING) == 3).then_some(())
        })
        .await;
        replica.release();
    };
    let (answer, ()) = futures::join!(response, releases);
    assert_eq!(answer.status, 200);
}

#[ntex::test]
async fn concurrent_copies_of_a_suspect_content_run_one_at_a_time() {
    let site = start().await;
    site.send_at(0, "/stream/x", "first", CRASHING).await;
    site.wait_for_restarts().await;
    let copies = (0..9).map(|copy| {
        let site = &site;
        async move {
            let id = format!("copy-{copy}");
            site.send_at(copy % ENTRIES, "/stream/x", &id, CRASHING)
                .await
        }
    });
    let answers = futures::future::join_all(copies).await;
    // Some copies may have timed out before they got the suspect lease.
    assert!(
        matches!(site.crash_count(), 2..=3),
        "{} crashed",
        site.crash_count()
    );
    let broken_off = answers.iter().filter(|answer| answer.status == 502);
    assert_eq!(broken_off.count() as u32 + 1, site.crash_count());
}

#[ntex::test]
async fn an_entry_that_saw_no_crash_also_refuses_a_quarantined_content() {
    let mut site = start().await;
    for repeat in 0..3 {
        let id = format!("repeat-{repeat}");
        site.send_at(0, "/stream/x", &id, CRASHING).await;
        site.wait_for_restarts().await;
    }
    let late = site.add_entry().await;
    let answer = site.send_at(late, "/stream/x", "late", CRASHING).await;
    assert_eq!((answer.status, site.crash_count()), (503, 3));
    let answer = site.send_at(late, "/stream/x", "other", "harmless").await;
    assert_eq!(answer.status, 200);
}

#[ntex::test]
async fn a_lifted_content_runs_and_is_quarantined_after_one_more_crash() {
    let site = start().await;
    for repeat in 0..3 {
        let id = format!("repeat-{repeat}");
        site.send_at(0, "/stream/x", &id, CRASHING).await;
        site.wait_for_restarts().await;
    }
    let barred = site.contents().await;
    let (content, record) = barred.records().iter().next().expect("one content");
    assert_eq!((barred.records().len(), record.count()), (1, 3));
    assert!(site.lift(*content).await);
    wait_for("an attempt of the lifted content", async || {
        let answer = site.send_at(1, "/stream/x", "lifted", CRASHING).await;
        (answer.status == 502).then_some(())
    })
    .await;
    assert_eq!(site.crash_count(), 4);
    for entry in 0..ENTRIES {
        let answer = site.send_at(entry, "/stream/x", "again", CRASHING).await;
        assert_eq!(answer.status, 503);
    }
    assert_eq!(site.crash_count(), 4);
}

#[ntex::test]
async fn a_crash_counts_after_the_client_disconnected() {
    let mut site = ForwardSite::start(&[STREAM]).await;
    let replica = site.add_crashing("r1").await;
    for repeat in 1..=3 {
        let text = format!(
            "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {repeat}\r\n\
             Content-Length: {}\r\n\r\n{CRASHING}",
            CRASHING.len()
        );
        let runs = async || (replica.run_count(CRASHING) == repeat).then_some(());
        site.send_and_disconnect(&text, runs).await;
        wait_for("the crash", async || {
            (replica.crash_count() as usize == repeat).then_some(())
        })
        .await;
        site.wait_for_restarts().await;
        wait_for("the crash in the replicated log", async || {
            let store = site.contents().await;
            let counts: Vec<u8> = store.records().values().map(ContentRecord::count).collect();
            (counts == [repeat as u8]).then_some(())
        })
        .await;
    }
    assert_eq!(
        site.send_at(0, "/stream/x", "last", CRASHING).await.status,
        503
    );
    assert_eq!(replica.crash_count(), 3);
}
