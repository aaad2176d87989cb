//! Slots for client connections, so that clients leave descriptors for replicas.
//!
//! Without a free slot, the connection that has been idle for longest is closed, or else the one
//! whose request has been arriving for longest. One whose request is being served stays.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use futures::future::{AbortHandle, AbortRegistration};

/// What a client connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SlotState {
    /// The next request.
    Idle,
    /// The rest of a request.
    Reading,
    /// The response.
    Serving,
}

#[derive(Debug)]
struct SlotHolder {
    state: Cell<SlotState>,
    /// Number of its last change of state.
    change: Cell<u64>,
    connection: AbortHandle,
}

/// All slots.
#[derive(Debug)]
pub struct ClientSlots {
    limit: usize,
    changes: Cell<u64>,
    open: RefCell<BTreeMap<u64, Rc<SlotHolder>>>,
}

impl ClientSlots {
    /// Returns this number of free slots.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            changes: Cell::new(0),
            open: RefCell::default(),
        }
    }

    /// Number of slots that are taken.
    pub fn taken(&self) -> usize {
        self.open.borrow().len()
    }

    /// Takes a slot for a new connection, and whether another connection is closed for it; `None` if
    /// all are being served.
    pub fn take(self: &Rc<Self>) -> Option<(ClientSlot, AbortRegistration, bool)> {
        let is_full = self.taken() >= self.limit;
        if is_full && !self.close_one() {
            return None;
        }
        let (connection, registration) = AbortHandle::new_pair();
        let number = self.next_change();
        let holder = Rc::new(SlotHolder {
            state: Cell::new(SlotState::Idle),
            change: Cell::new(number),
            connection,
        });
        self.open.borrow_mut().insert(number, holder.clone());
        let slots = self.clone();
        let slot = ClientSlot {
            slots,
            holder,
            number,
        };
        Some((slot, registration, is_full))
    }

    fn next_change(&self) -> u64 {
        self.changes.replace(self.changes.get() + 1)
    }

    fn close_one(&self) -> bool {
        let mut open = self.open.borrow_mut();
        let waiting = open
            .iter()
            .filter(|(_, holder)| holder.state.get() != SlotState::Serving);
        let first = waiting.min_by_key(|(_, holder)| (holder.state.get(), holder.change.get()));
        let Some(number) = first.map(|(number, _)| *number) else {
            return false;
        };
        if let Some(holder) = open.remove(&number) {
            holder.connection.abort();
        }
        true
    }
}

/// Slot of a connection; free once it is dropped.
#[derive(Debug)]
pub struct ClientSlot {
    slots: Rc<ClientSlots>,
    holder: Rc<SlotHolder>,
    number: u64,
}

impl ClientSlot {
    /// Records what the connection waits for now.
    pub fn set(&self, state: SlotState) {
        self.holder.state.set(state);
        self.holder.change.set(self.slots.next_change());
    }

    /// Whether the connection was closed for another one.
    pub fn is_closed(&self) -> bool {
        self.holder.connection.is_aborted()
    }
}

impl Drop for ClientSlot {
    fn drop(&mut self) {
        self.slots.open.borrow_mut().remove(&self.number);
    }
}
