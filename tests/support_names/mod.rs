//! Header names of the deployment that the tests simulate.

use dunlinspring::forward::dialect::{HeaderNames, StartTimeReport};

/// Header names in the letter case that the tests use.
pub const NAMES: HeaderNames = HeaderNames {
    request_id: "Request-Id",
    deadline_ms: "Deadline-Ms",
    stamp: "Stamp",
    expect_replica: "Expect-Replica",
    not_executed: "Not-Executed",
    load: "Load",
    leaving: "Leaving",
    limit: "Limit",
    model: "Model",
    tokens: "Tokens",
    prefix: "Prefix",
    priority: "Priority",
    key: "Authorization",
    account: "Account",
    last_event: "Last-Event",
    resumes: "Resumes",
    start_time: Some(StartTimeReport {
        path: "/self",
        read: read_start_time,
    }),
    reserved: &[],
};

/// Reads the start time of a replica from its report of itself: the number alone.
fn read_start_time(body: &[u8]) -> Option<u64> {
    std::str::from_utf8(body).ok()?.parse().ok()
}
