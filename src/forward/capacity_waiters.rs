//! The requests of an entry that wait for capacity in order, and how they are woken.
//!
//! The order is that of [`WaitingLines`]. When capacity may have become free, only the first
//! request of each line is woken; when it leaves the line, the next one is.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::clock;
use crate::forward::waiting_line::{LineKey, WaitTicket, WaitingLines, WaitingRequest};

/// All waiting requests of an entry.
#[derive(Debug, Default)]
pub struct CapacityWaiters {
    lines: RefCell<WaitingLines>,
    /// Wakes the holder of each ticket.
    wakers: RefCell<BTreeMap<u64, Rc<Notify>>>,
}

impl CapacityWaiters {
    /// Whether requests wait in this line.
    pub fn is_waited_for(&self, line: &LineKey) -> bool {
        self.lines.borrow().is_waited_for(line)
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.lines.borrow().len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.lines.borrow().is_empty()
    }

    /// Adds a request to a line until the returned place is dropped.
    pub fn join(&self, line: LineKey, request: WaitingRequest) -> LinePlace<'_> {
        let now_ms = clock::monotonic_ms();
        let ticket = self.lines.borrow_mut().join(now_ms, line.clone(), request);
        let woken = Rc::new(Notify::new());
        let mut wakers = self.wakers.borrow_mut();
        wakers.insert(ticket.number(), woken.clone());
        LinePlace {
            waiters: self,
            line,
            ticket,
            woken,
        }
    }

    /// Wakes the first request of each line: capacity may have become free.
    pub fn capacity_changed(&self) {
        let mut lines = self.lines.borrow_mut();
        if !lines.is_empty() {
            lines.start_round();
            for first in lines.all_first(clock::monotonic_ms()) {
                self.wake(first);
            }
        }
    }

    /// Records the end of the wait of a request, also of one that did not have to wait, and the
    /// work that it takes if it was served.
    pub fn record_end(&self, line: &LineKey, request: &WaitingRequest, work: Option<f64>) {
        let now_ms = clock::monotonic_ms();
        let mut lines = self.lines.borrow_mut();
        lines.record_outcome(now_ms, &line.service, request, work.is_some());
        if let Some(work) = work {
            lines.record_work(now_ms, &line.service, &request.account, work);
        }
    }

    /// Forgets accounts that are idle.
    pub fn prune(&self) {
        self.lines.borrow_mut().prune(clock::monotonic_ms());
    }

    fn wake(&self, number: u64) {
        if let Some(woken) = self.wakers.borrow().get(&number) {
            woken.notify_one();
        }
    }

    fn wake_first(&self, line: &LineKey) {
        let first = self.lines.borrow().first(clock::monotonic_ms(), line);
        if let Some(first) = first {
            self.wake(first);
        }
    }
}

/// Place of a request in a line. Dropping it leaves the line and wakes the next request.
#[derive(Debug)]
pub struct LinePlace<'a> {
    waiters: &'a CapacityWaiters,
    line: LineKey,
    ticket: WaitTicket,
    woken: Rc<Notify>,
}

impl LinePlace<'_> {
    /// Whether the request may take capacity.
    pub fn is_first(&self) -> bool {
        let lines = self.waiters.lines.borrow();
        lines.is_first(clock::monotonic_ms(), &self.ticket)
    }

    /// Lets the next request try: this one found no capacity, for a reason of its own.
    pub fn pass_over(&self) {
        self.waiters.lines.borrow_mut().pass_over(&self.ticket);
        self.waiters.wake_first(&self.line);
    }

    /// Waits until the request is woken, or for the longest time given.
    pub async fn wait(&self, longest: Duration) {
        let woken = tokio::time::timeout(longest, self.woken.notified()).await;
        if woken.is_err() {
            // Capacity may also become free without an event, as reports of load fade.
            self.waiters.lines.borrow_mut().reopen(&self.ticket);
        }
    }
}

impl Drop for LinePlace<'_> {
    fn drop(&mut self) {
        self.waiters.lines.borrow_mut().leave(&self.ticket);
        let mut wakers = self.waiters.wakers.borrow_mut();
        wakers.remove(&self.ticket.number());
        drop(wakers);
        self.waiters.wake_first(&self.line);
    }
}
