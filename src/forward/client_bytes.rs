//! Budget for the bytes of requests that this process holds, over all of its clients.
//!
//! A request takes its part as its bytes arrive and gives it back when it is dropped. If there is no
//! room, the request whose last part was taken longest ago gives way, unless it has arrived whole.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

/// Time without a further part after which a request that is being read may have to give way.
pub const STANDSTILL_TIME: Duration = Duration::from_secs(2);
/// Longest time in which a request is not read on for lack of room; then it is refused.
const MAX_ROOM_WAIT: Duration = Duration::from_secs(4);
/// Time between two looks for requests that stand still.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// There is no room for further bytes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

/// A request that holds bytes.
#[derive(Debug)]
struct ByteHolder {
    bytes: Cell<usize>,
    /// When it took its last part.
    since: Cell<Instant>,
    gave_way: Cell<bool>,
    /// Notified when it has to give way.
    yielded: Notify,
}

/// The budget.
#[derive(Debug)]
pub struct ClientBytes {
    limit: usize,
    held: Cell<usize>,
    next_turn: Cell<u64>,
    /// Requests that are being read, the longest without a further part first.
    reading: RefCell<BTreeMap<u64, Rc<ByteHolder>>>,
    /// Notified when bytes were given back.
    given_back: Notify,
}

impl ClientBytes {
    /// Returns a budget of this many bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            held: Cell::new(0),
            next_turn: Cell::new(0),
            reading: RefCell::default(),
            given_back: Notify::new(),
        }
    }

    /// Number of bytes that are held.
    pub fn held(&self) -> usize {
        self.held.get()
    }

    /// Returns the hold of a request that is being read, without a byte.
    pub fn begin(self: &Rc<Self>, now: Instant) -> ByteHold {
        let holder = Rc::new(ByteHolder {
            bytes: Cell::new(0),
            since: Cell::new(now),
            gave_way: Cell::new(false),
            yielded: Notify::new(),
        });
        let turn = self.enqueue(&holder);
        ByteHold {
            budget: self.clone(),
            holder,
            turn,
        }
    }

    fn enqueue(&self, holder: &Rc<ByteHolder>) -> u64 {
        let turn = self.next_turn.replace(self.next_turn.get() + 1);
        self.reading.borrow_mut().insert(turn, holder.clone());
        turn
    }

    fn give_back(&self, holder: &ByteHolder) {
        let bytes = holder.bytes.take();
        if bytes > 0 {
            self.held.set(self.held.get() - bytes);
            self.given_back.notify_waiters();
        }
    }

    /// Has the request give way that has stood still for longest, if any has for long enough.
    fn evict(&self, now: Instant, asking: u64) -> bool {
        let mut reading = self.reading.borrow_mut();
        let oldest = reading.iter().find(|(turn, _)| **turn != asking);
        let stalled = oldest.filter(|(_, holder)| {
            now.saturating_duration_since(holder.since.get()) >= STANDSTILL_TIME
        });
        let Some(turn) = stalled.map(|(turn, _)| *turn) else {
            return false;
        };
        if let Some(holder) = reading.remove(&turn) {
            drop(reading);
            holder.gave_way.set(true);
            holder.yielded.notify_one();
            self.give_back(&holder);
        }
        true
    }
}

/// Bytes held by one request; given back when it is dropped.
#[derive(Debug)]
pub struct ByteHold {
    budget: Rc<ClientBytes>,
    holder: Rc<ByteHolder>,
    turn: u64,
}

impl ByteHold {
    /// Takes further bytes if there is room, or if no other request holds any.
    pub fn try_grow(&mut self, now: Instant, bytes: usize) -> bool {
        let own = self.holder.bytes.get();
        let budget = &self.budget;
        while budget.held.get() + bytes > budget.limit && budget.held.get() > own {
            if !budget.evict(now, self.turn) {
                return false;
            }
        }
        self.holder.bytes.set(own + bytes);
        self.holder.since.set(now);
        budget.held.set(budget.held.get() + bytes);
        budget.reading.borrow_mut().remove(&self.turn);
        self.turn = budget.enqueue(&self.holder);
        true
    }

    /// Takes further bytes, and waits for room if there is none.
    pub async fn grow(&mut self, bytes: usize) -> Result<(), NoRoom> {
        let budget = self.budget.clone();
        let deadline = Instant::now() + MAX_ROOM_WAIT;
        loop {
            let given_back = budget.given_back.notified();
            let now = Instant::now();
            if self.has_given_way() {
                return Err(NoRoom);
            }
            if self.try_grow(now, bytes) {
                return Ok(());
            }
            if now >= deadline {
                return Err(NoRoom);
            }
            let _ = tokio::time::timeout(ROOM_POLL_INTERVAL, given_back).await;
        }
    }

    /// Whether its bytes were given back for another request.
    pub fn has_given_way(&self) -> bool {
        self.holder.gave_way.get()
    }

    /// Returns once it has to give way.
    pub async fn yielded(&self) {
        self.holder.yielded.notified().await;
    }

    /// The request has arrived whole: it keeps its bytes until it is answered.
    pub fn end_reading(&self) {
        self.budget.reading.borrow_mut().remove(&self.turn);
    }
}

impl Drop for ByteHold {
    fn drop(&mut self) {
        self.end_reading();
        self.budget.give_back(&self.holder);
    }
}
