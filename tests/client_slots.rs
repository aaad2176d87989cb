//! Slots for client connections: which connection is closed for another one.

use std::rc::Rc;

use dunlinspring::forward::client_slots::{ClientSlot, ClientSlots, SlotState};

/// Returns a taken slot for each state.
fn take_all(slots: &Rc<ClientSlots>, states: &[SlotState]) -> Vec<ClientSlot> {
    let slot = |state: &SlotState| {
        let (slot, _, closes) = slots.take().unwrap();
        assert!(!closes);
        slot.set(*state);
        slot
    };
    states.iter().map(slot).collect()
}

#[test]
fn idle_connections_are_closed_first_and_served_ones_stay() {
    use SlotState::{Idle, Reading, Serving};
    let slots = Rc::new(ClientSlots::new(4));
    let taken = take_all(&slots, &[Serving, Reading, Idle, Idle]);
    let mut closed = Vec::new();
    for _ in 0..3 {
        let (newest, _, closes) = slots.take().unwrap();
        assert!(closes);
        newest.set(Serving);
        std::mem::forget(newest);
        let order = taken.iter().map(ClientSlot::is_closed);
        closed.push(order.collect::<Vec<_>>());
    }
    assert_eq!(closed[0], [false, false, true, false]);
    assert_eq!(closed[1], [false, false, true, true]);
    assert_eq!(closed[2], [false, true, true, true]);
    assert!(slots.take().is_none());
    assert_eq!(slots.taken(), 4);
}

#[test]
fn a_connection_that_ends_frees_its_slot() {
    let slots = Rc::new(ClientSlots::new(1));
    let taken = take_all(&slots, &[SlotState::Serving]);
    assert!(slots.take().is_none());
    drop(taken);
    assert_eq!(slots.taken(), 0);
    assert!(slots.take().is_some());
}
