//! Maximum number of arrivals within a time window.

use std::collections::VecDeque;
use std::ops::Add;

/// Returns the maximum number of the ascending `times` that lie within any window of this length.
pub fn most_within<T, D>(times: impl IntoIterator<Item = T>, window: D) -> usize
where
    T: Copy + PartialOrd + Add<D, Output = T>,
    D: Copy,
{
    let mut within = VecDeque::new();
    let mut most = 0;
    for time in times {
        within.push_back(time);
        while within.front().is_some_and(|first| *first + window <= time) {
            within.pop_front();
        }
        most = most.max(within.len());
    }
    most
}
