//! Wait limits of requests at an entry before they are rejected.

use std::time::Duration;

use dunlinspring::forward::max_wait::{adapter_wait, capacity_wait, load_wait};

const LOAD: Duration = Duration::from_millis(8_600);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn a_request_whose_deadline_is_before_the_load_is_rejected_at_once() {
    assert_eq!(load_wait(LOAD, seconds(0), seconds(5)), seconds(0));
    assert_eq!(load_wait(LOAD, seconds(0), seconds(10)), seconds(0));
}

/// On a site with more models than fit at once, requests with a deadline of 15 s were rejected
/// after 6 s, 2 s before the load that they waited for was done.
#[test]
fn a_request_with_enough_time_waits_until_the_load_should_be_done() {
    for waited in [0, 4, 8, 10] {
        let left = seconds(15 - waited);
        let wait = load_wait(LOAD, seconds(waited), left);
        assert!(wait > seconds(waited), "rejected after {waited} s");
    }
    assert!(load_wait(LOAD, seconds(11), seconds(4)) < seconds(11));
}

#[test]
fn the_wait_for_capacity_leaves_time_for_another_entry() {
    assert_eq!(
        capacity_wait(Duration::from_millis(800), 0.25),
        Duration::from_millis(200)
    );
}

/// A request whose adapter the leader had refused at all homes waited a quarter of its latency
/// target, 150 ms of 600, and was refused before the leader could be asked again.
#[test]
fn a_request_waits_for_a_refused_adapter_until_its_latency_target() {
    let aim = Duration::from_millis(600);
    assert_eq!(adapter_wait(aim, seconds(5)), aim);
    assert_eq!(adapter_wait(aim, seconds(1)), Duration::from_millis(500));
}
