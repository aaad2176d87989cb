//! Names of the HTTP headers shared by callers, replicas and this system, and how replicas report
//! their start time. They are set by the deployment.

/// Header names, in the case in which they are sent.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Id of one attempt of a client; the replica returns it in its response.
    pub request_id: &'static str,
    /// Time that the caller will wait, in milliseconds.
    pub deadline_ms: &'static str,
    /// Marks responses produced by the replica itself.
    pub stamp: &'static str,
    /// The replica instance that alone may run the request.
    pub expect_replica: &'static str,
    /// Marks a response to a request that the replica did not run.
    pub not_executed: &'static str,
    /// A replica's running and waiting requests, and its slots.
    pub load: &'static str,
    /// Announces that a replica is draining; in all its responses from then on.
    pub leaving: &'static str,
    /// Requests per second that a replica accepts from all entries together; in all its responses
    /// while the limit holds.
    pub limit: &'static str,
    /// The model, and after a slash its adapter.
    pub model: &'static str,
    /// Prompt tokens and the maximum number of output tokens.
    pub tokens: &'static str,
    /// Parts of the prompt, as `ID:TOKENS` pairs.
    pub prefix: &'static str,
    /// Urgency for the engine; 0 is the most urgent.
    pub priority: &'static str,
    /// The caller's key, after the word `Bearer`.
    pub key: &'static str,
    /// Reports to the replica which account holds the caller's key.
    pub account: &'static str,
    /// Id of the last event that the caller received.
    pub last_event: &'static str,
    /// Id of the client's attempt that brought the first event of the stream that it takes up.
    pub resumes: &'static str,
    /// How replicas report their start time; `None` if they don't.
    pub start_time: Option<StartTimeReport>,
    /// Headers that only this system may set; removed from clients' requests.
    pub reserved: &'static [&'static str],
}

/// How a replica reports the start time of its incarnation.
#[derive(Clone, Copy, Debug)]
pub struct StartTimeReport {
    /// Path of the report.
    pub path: &'static str,
    /// Reads the start time from the report, in milliseconds since the epoch.
    pub read: fn(&[u8]) -> Option<u64>,
}
