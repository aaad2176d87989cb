//! The names of the headers that callers, replicas and this system share. They
//! belong to whoever deploys the system.

/// Names of headers, in the case they are sent in.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Identity of one attempt of a client; a replica's answer carries it back.
    pub request_id: &'static str,
    /// Milliseconds that the caller will wait.
    pub deadline_ms: &'static str,
    /// Signs a replica's own answers.
    pub stamp: &'static str,
    /// The replica's life that alone may run the request.
    pub expect_replica: &'static str,
    /// Says that a replica did not run the request.
    pub not_executed: &'static str,
    /// A replica's running and waiting requests, and its slots.
    pub load: &'static str,
    /// Says that a replica leaves; in all its answers from then on.
    pub leaving: &'static str,
    /// The requests a second that a replica takes from all entries together, in all its
    /// answers for as long as that holds.
    pub limit: &'static str,
    /// The model, and after a slash its adapter.
    pub model: &'static str,
    /// Tokens of the prompt, and the most that may be produced.
    pub tokens: &'static str,
    /// Parts of the prompt, as `ID:TOKENS` pairs.
    pub prefix: &'static str,
    /// Urgency for the engine, 0 first.
    pub priority: &'static str,
    /// Carries a caller's key, after the word `Bearer`.
    pub key: &'static str,
    /// The account that holds the caller's key, for replicas.
    pub account: &'static str,
    /// The last event that the caller has.
    pub last_event: &'static str,
    /// Headers that only this system may set: dropped from clients' requests.
    pub reserved: &'static [&'static str],
}
