//! Responses which promise that a request did not run.

use crate::support::{Behaviour, ForwardSite};
use crate::{PLAIN, UNSAFE};

/// Guards against a promise for a request that ran: the copy of its first refusal was believed.
#[ntex::test]
async fn a_copy_of_a_refusal_is_not_taken_for_that_of_the_next_arrival() {
    let mut site = ForwardSite::start(&[UNSAFE]).await;
    let mut script = vec![Behaviour::NotExecuted, Behaviour::RunAfterCopy("done")];
    script.extend([Behaviour::NotExecuted; 8]);
    site.add_replica("r1", script).await;
    let answer = site.send("POST", "/once/x", "a", "").await;
    assert_eq!(site.copied_runs("r1"), 1);
    assert_eq!((answer.status, answer.body.as_str()), (200, "done"));
}

#[ntex::test]
async fn a_refusal_of_a_request_without_its_whole_body_names_it() {
    let mut site = ForwardSite::start(&[PLAIN]).await;
    site.add_replica("r1", vec![Behaviour::Response(200, "x")])
        .await;
    let broken = "POST /plain/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: torn\r\n\
                  Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nzz\r\n";
    let answer = site.send_raw(broken).await;
    assert_eq!(answer.status, 400);
    assert_eq!(answer.header("request-id"), Some("torn"));
    assert!(site.seen("r1").is_empty());
}
