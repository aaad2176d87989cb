//! How long a request waits at the entry before it is rejected.

use std::time::Duration;

use dunlinspring::forward::max_wait::{capacity_wait, load_wait};

const LOAD: Duration = Duration::from_millis(8_600);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn a_request_whose_time_ends_before_the_load_is_rejected_at_once() {
    assert_eq!(load_wait(LOAD, seconds(0), seconds(5)), seconds(0));
    assert_eq!(load_wait(LOAD, seconds(0), seconds(10)), seconds(0));
}

/// Found on a site with more models than places: requests with 15 seconds were given up
/// after six, two seconds before the load they waited for was over.
#[test]
fn a_request_with_time_enough_waits_until_the_load_should_be_over() {
    for waited in [0, 4, 8, 10] {
        let left = seconds(15 - waited);
        let wait = load_wait(LOAD, seconds(waited), left);
        assert!(wait > seconds(waited), "given up after {waited} s");
    }
    assert!(load_wait(LOAD, seconds(11), seconds(4)) < seconds(11));
}

#[test]
fn room_is_waited_for_while_another_entry_could_still_be_in_time() {
    assert_eq!(
        capacity_wait(Duration::from_millis(800), 0.25),
        Duration::from_millis(200)
    );
}
