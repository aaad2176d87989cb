//! Requests under which replicas end.
//!
//! What users saw: one request, sent again and again by its caller at any entry, ended the
//! replica that ran it each time. After the third end it was sent four times more, and eight
//! to twelve replicas ended in all, each with all that it ran.
//!
//! The order of events: a replica ends 0.1 to 0.7 s after it has begun the request; the caller
//! gets 502; some seconds later the replica is back, and the same path, caller and body come
//! under a new id at another entry, which sends them to a sound replica.
//!
//! The cause: the harm and what did it were never put together. An attempt is known by its id
//! alone, an end is noted of the replica alone, and by the entry alone that saw it.
//!
//! The evidence: broken-off attempts of one content at an even pace from all entries, with one
//! replica each and none sent again by the system.

use dunlinspring::consensus::crashes::ContentRecord;

use crate::support::mortal::{DEADLY, LASTING};
use crate::support::{Behaviour, ForwardSite, RouteShape, answered};

const STREAM: RouteShape = RouteShape::stream("/stream/", false);
const SAFE: RouteShape = RouteShape::plain("/plain/");
const ENTRIES: usize = 3;

async fn start() -> ForwardSite {
    let mut site = ForwardSite::start(&[STREAM, SAFE]).await;
    for _ in 1..ENTRIES {
        site.add_entry().await;
    }
    for name in ["r1", "r2", "r3", "r4"] {
        site.add_mortal(name).await;
    }
    site
}

#[ntex::test]
async fn what_has_ended_three_replicas_ends_no_more() {
    let site = start().await;
    for repeat in 0..12 {
        let id = format!("repeat-{repeat}");
        site.ask_at(repeat % ENTRIES, "/stream/x", &id, DEADLY)
            .await;
        site.all_back().await;
    }
    assert_eq!(site.ended(), 3);
    for entry in 0..ENTRIES {
        let id = format!("other-{entry}");
        let answer = site.ask_at(entry, "/stream/x", &id, "harmless").await;
        assert_eq!(answer.status, 200);
        let refused = site.ask_at(entry, "/stream/x", &id, DEADLY).await;
        assert_eq!(refused.status, 503);
        assert!(refused.header("retry-after").is_some());
    }
}

#[ntex::test]
async fn what_the_system_sends_again_ends_no_more_than_three() {
    let site = start().await;
    for repeat in 0..4 {
        let id = format!("repeat-{repeat}");
        site.ask_at(repeat % ENTRIES, "/plain/x", &id, DEADLY).await;
        site.all_back().await;
    }
    assert_eq!(site.ended(), 3);
}

#[ntex::test]
async fn who_ran_beside_it_is_served() {
    let mut site = ForwardSite::start(&[STREAM]).await;
    site.add_entry().await;
    let first = site.add_mortal("r1").await;
    let beside = site.ask_at(0, "/stream/x", "beside-1", LASTING);
    let deadly = async {
        answered("the lasting run", async || {
            (first.ran(LASTING) == 1).then_some(())
        })
        .await;
        site.ask_at(1, "/stream/x", "deadly-1", DEADLY).await
    };
    let (beside, deadly) = futures::join!(beside, deadly);
    assert_eq!((beside.status, deadly.status), (502, 502));
    assert_eq!(first.ended(), 1);
    // Where there is another replica, the two meet no more.
    let second = site.add_mortal("r2").await;
    site.all_back().await;
    let beside = site.ask_at(0, "/stream/x", "beside-2", LASTING);
    let deadly = async {
        let runs = || first.ran(LASTING) + second.ran(LASTING);
        answered("the lasting run", async || (runs() == 2).then_some(())).await;
        for repeat in 2..9 {
            site.ask_at(1, "/stream/x", &format!("deadly-{repeat}"), DEADLY)
                .await;
            if site.ended() < 3 {
                site.all_back().await;
            }
        }
        first.let_go();
        second.let_go();
    };
    let (beside, ()) = futures::join!(beside, deadly);
    assert_eq!((beside.status, beside.whole), (200, true));
    assert_eq!(site.ended(), 3);
}

#[ntex::test]
async fn a_connection_that_breaks_off_is_no_crash() {
    let mut site = ForwardSite::start(&[STREAM]).await;
    let mut script = vec![Behaviour::Close; 5];
    script.push(Behaviour::Events(1));
    site.add_replica("r1", script).await;
    for repeat in 0..5 {
        let id = format!("repeat-{repeat}");
        assert_eq!(site.ask_at(0, "/stream/x", &id, "same").await.status, 502);
    }
    assert_eq!(
        site.ask_at(0, "/stream/x", "last", "same").await.status,
        200
    );
}

#[ntex::test]
async fn a_replica_that_is_killed_from_outside_condemns_nothing() {
    let mut site = ForwardSite::start(&[STREAM]).await;
    let replica = site.add_mortal("r1").await;
    for repeat in 1..=2 {
        let id = format!("repeat-{repeat}");
        let asked = site.ask_at(0, "/stream/x", &id, LASTING);
        let kills = async {
            answered("the run", async || {
                (replica.ran(LASTING) == repeat).then_some(())
            })
            .await;
            replica.kill();
        };
        let (answer, ()) = futures::join!(asked, kills);
        assert_eq!(answer.status, 502);
        site.all_back().await;
    }
    let asked = site.ask_at(0, "/stream/x", "last", LASTING);
    let lets_go = async {
        answered("the run", async || {
            (replica.ran(LASTING) == 3).then_some(())
        })
        .await;
        replica.let_go();
    };
    let (answer, ()) = futures::join!(asked, lets_go);
    assert_eq!(answer.status, 200);
}

#[ntex::test]
async fn of_many_copies_at_once_one_runs_at_a_time() {
    let site = start().await;
    site.ask_at(0, "/stream/x", "first", DEADLY).await;
    site.all_back().await;
    let copies = (0..9).map(|copy| {
        let site = &site;
        async move {
            let id = format!("copy-{copy}");
            site.ask_at(copy % ENTRIES, "/stream/x", &id, DEADLY).await
        }
    });
    let answers = futures::future::join_all(copies).await;
    // Some may have given up before the last that was let go had its turn.
    assert!(matches!(site.ended(), 2..=3), "{} ended", site.ended());
    let ran = answers.iter().filter(|answer| answer.status == 502);
    assert_eq!(ran.count() as u32 + 1, site.ended());
}

#[ntex::test]
async fn an_entry_that_saw_no_crash_refuses_as_the_others_do() {
    let mut site = start().await;
    for repeat in 0..3 {
        let id = format!("repeat-{repeat}");
        site.ask_at(0, "/stream/x", &id, DEADLY).await;
        site.all_back().await;
    }
    let late = site.add_entry().await;
    let answer = site.ask_at(late, "/stream/x", "late", DEADLY).await;
    assert_eq!((answer.status, site.ended()), (503, 3));
    let answer = site.ask_at(late, "/stream/x", "other", "harmless").await;
    assert_eq!(answer.status, 200);
}

#[ntex::test]
async fn what_an_operator_lifts_is_tried_and_barred_by_one_more_end() {
    let site = start().await;
    for repeat in 0..3 {
        let id = format!("repeat-{repeat}");
        site.ask_at(0, "/stream/x", &id, DEADLY).await;
        site.all_back().await;
    }
    let barred = site.contents().await;
    let (content, record) = barred.records().iter().next().expect("one content");
    assert_eq!((barred.records().len(), record.count()), (1, 3));
    assert!(site.lift(*content).await);
    answered("a try of what was lifted", async || {
        let answer = site.ask_at(1, "/stream/x", "lifted", DEADLY).await;
        (answer.status == 502).then_some(())
    })
    .await;
    assert_eq!(site.ended(), 4);
    for entry in 0..ENTRIES {
        let answer = site.ask_at(entry, "/stream/x", "again", DEADLY).await;
        assert_eq!(answer.status, 503);
    }
    assert_eq!(site.ended(), 4);
}

#[ntex::test]
async fn an_end_counts_though_the_caller_has_left() {
    let mut site = ForwardSite::start(&[STREAM]).await;
    let replica = site.add_mortal("r1").await;
    for repeat in 1..=3 {
        let text = format!(
            "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {repeat}\r\n\
             Content-Length: {}\r\n\r\n{DEADLY}",
            DEADLY.len()
        );
        let runs = async || (replica.ran(DEADLY) == repeat).then_some(());
        site.send_and_leave(&text, runs).await;
        answered("the end", async || {
            (replica.ended() as usize == repeat).then_some(())
        })
        .await;
        site.all_back().await;
        answered("the log to know", async || {
            let book = site.contents().await;
            let counts: Vec<u8> = book.records().values().map(ContentRecord::count).collect();
            (counts == [repeat as u8]).then_some(())
        })
        .await;
    }
    assert_eq!(
        site.ask_at(0, "/stream/x", "last", DEADLY).await.status,
        503
    );
    assert_eq!(replica.ended(), 3);
}
