//! Questions to one peer, which searches that run at once send together. Pure: the caller passes in
//! the time.

/// Interval at which questions are sent to one peer, in milliseconds. The first one after a pause is
/// sent at once.
pub const ASK_INTERVAL_MS: u64 = 10;

/// Questions that wait to be sent to one peer.
///
/// A reply serves only the questions that were taken before its call was sent: what the peer read
/// earlier may not hold any more for a search that began since.
#[derive(Debug)]
pub struct QuestionQueue<Q> {
    waiting: Vec<Q>,
    /// From when on questions may be sent.
    next_ms: u64,
    /// Whether a task will take what waits.
    is_scheduled: bool,
}

impl<Q> Default for QuestionQueue<Q> {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            next_ms: 0,
            is_scheduled: false,
        }
    }
}

impl<Q> QuestionQueue<Q> {
    /// Adds a question. Returns the delay in milliseconds after which the caller must have what waits
    /// taken; `None` if an earlier caller does so.
    pub fn push(&mut self, now_ms: u64, question: Q) -> Option<u64> {
        self.waiting.push(question);
        let is_scheduled = std::mem::replace(&mut self.is_scheduled, true);
        (!is_scheduled).then(|| self.next_ms.saturating_sub(now_ms))
    }

    /// Takes the next questions, at most `max` of those that `is_open` holds for. Also returns the
    /// delay in milliseconds after which the others are to be taken; `None` if there are none.
    pub fn take(
        &mut self,
        now_ms: u64,
        max: usize,
        is_open: impl Fn(&Q) -> bool,
    ) -> (Vec<Q>, Option<u64>) {
        self.waiting.retain(is_open);
        let count = self.waiting.len().min(max);
        let taken = self.waiting.drain(..count).collect();
        self.next_ms = now_ms + ASK_INTERVAL_MS;
        self.is_scheduled = !self.waiting.is_empty();
        (taken, self.is_scheduled.then_some(ASK_INTERVAL_MS))
    }
}
