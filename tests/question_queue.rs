//! Questions of searches that run at once: which calls they go out with.

use dunlinspring::routing::question_queue::{ASK_INTERVAL_MS, QuestionQueue};

fn take(queue: &mut QuestionQueue<u32>, now_ms: u64, max: usize) -> (Vec<u32>, Option<u64>) {
    queue.take(now_ms, max, |_| true)
}

#[test]
fn a_single_question_is_sent_at_once() {
    let mut queue = QuestionQueue::default();
    assert_eq!(queue.push(1_000, 1), Some(0));
    assert_eq!(take(&mut queue, 1_000, 9), (vec![1], None));
    let later_ms = 1_000 + ASK_INTERVAL_MS;
    assert_eq!(queue.push(later_ms, 2), Some(0));
}

#[test]
fn a_question_is_not_served_by_a_call_that_was_sent_before_it() {
    let mut queue = QuestionQueue::default();
    assert_eq!(queue.push(0, 1), Some(0));
    assert_eq!(queue.push(0, 2), None);
    assert_eq!(take(&mut queue, 0, 9), (vec![1, 2], None));
    // The call is under way.
    assert_eq!(queue.push(3, 3), Some(ASK_INTERVAL_MS - 3));
    assert_eq!(queue.push(4, 4), None);
    assert_eq!(take(&mut queue, ASK_INTERVAL_MS, 9), (vec![3, 4], None));
}

#[test]
fn a_call_has_a_bounded_number_of_questions() {
    let mut queue = QuestionQueue::default();
    for number in 0..5 {
        queue.push(0, number);
    }
    let rest = Some(ASK_INTERVAL_MS);
    assert_eq!(take(&mut queue, 0, 2), (vec![0, 1], rest));
    // The rest is scheduled already.
    assert_eq!(queue.push(1, 5), None);
    assert_eq!(take(&mut queue, 10, 2), (vec![2, 3], rest));
    assert_eq!(take(&mut queue, 20, 2), (vec![4, 5], None));
}

#[test]
fn questions_that_nobody_waits_for_are_not_sent() {
    let mut queue = QuestionQueue::default();
    for number in 0..5 {
        queue.push(0, number);
    }
    let taken = queue.take(0, 1, |number| number % 2 == 1);
    assert_eq!(taken, (vec![1], Some(ASK_INTERVAL_MS)));
    let closed = queue.take(10, 1, |_| false);
    assert_eq!(closed, (vec![], None));
}
