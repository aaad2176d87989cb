//! The budget for the bytes of clients: who gets room, who gives way, and what is given back.

use std::rc::Rc;
use std::time::Instant;

use dunlinspring::forward::client_bytes::{ByteHold, ClientBytes, STANDSTILL_TIME};

const LIMIT: usize = 1_000;

/// Returns requests that hold a quarter of the budget each.
fn full_budget(now: Instant) -> (Rc<ClientBytes>, Vec<ByteHold>) {
    let budget = Rc::new(ClientBytes::new(LIMIT));
    let holds = (0..4).map(|_| {
        let mut hold = budget.begin(now);
        assert!(hold.try_grow(now, LIMIT / 4));
        hold
    });
    let holds = holds.collect();
    (budget, holds)
}

#[test]
fn requests_that_make_progress_keep_their_room() {
    let now = Instant::now();
    let (budget, holds) = full_budget(now);
    let mut late = budget.begin(now);
    assert!(!late.try_grow(now + STANDSTILL_TIME / 2, 1));
    assert!(holds.iter().all(|hold| !hold.has_given_way()));
    assert_eq!(budget.held(), LIMIT);
}

#[test]
fn the_request_that_stands_still_for_longest_gives_way_first() {
    let now = Instant::now();
    let (budget, mut holds) = full_budget(now);
    drop(holds.remove(3));
    assert!(holds[0].try_grow(now + STANDSTILL_TIME / 2, 250));
    let mut late = budget.begin(now + STANDSTILL_TIME);
    assert!(late.try_grow(now + STANDSTILL_TIME, 250));
    let given_way: Vec<bool> = holds.iter().map(ByteHold::has_given_way).collect();
    assert_eq!(given_way, [false, true, false]);
    assert_eq!(budget.held(), LIMIT);
}

#[test]
fn a_request_that_has_arrived_whole_keeps_its_room() {
    let now = Instant::now();
    let (budget, holds) = full_budget(now);
    holds.iter().for_each(ByteHold::end_reading);
    let mut late = budget.begin(now);
    assert!(!late.try_grow(now + STANDSTILL_TIME * 2, 1));
    drop(holds);
    assert_eq!(budget.held(), 0);
    assert!(late.try_grow(now + STANDSTILL_TIME * 2, 1));
}

#[test]
fn a_request_alone_gets_room_beyond_the_budget() {
    let now = Instant::now();
    let budget = Rc::new(ClientBytes::new(LIMIT));
    let mut hold = budget.begin(now);
    assert!(hold.try_grow(now, LIMIT));
    assert!(hold.try_grow(now, LIMIT));
    let mut late = budget.begin(now);
    assert!(!late.try_grow(now, 1));
    drop(hold);
    assert!(late.try_grow(now, 1));
    drop(late);
    assert_eq!(budget.held(), 0);
}

#[test]
fn a_request_that_gave_way_gives_its_bytes_back_once() {
    let now = Instant::now();
    let (budget, holds) = full_budget(now);
    let mut late = budget.begin(now);
    assert!(late.try_grow(now + STANDSTILL_TIME, LIMIT));
    assert!(holds.iter().all(ByteHold::has_given_way));
    drop(holds);
    assert_eq!(budget.held(), LIMIT);
    drop(late);
    assert_eq!(budget.held(), 0);
}
