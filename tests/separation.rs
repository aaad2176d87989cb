//! Homes of a model that are reserved for its long responses.

use dunlinspring::forward::answer_separation::{AnswerStats, HomeRange};
use dunlinspring::forward::replica_table::Need;

fn need(prompt_tokens: u64, answer_tokens: u64) -> Need {
    Need {
        prompt_tokens,
        tokens: prompt_tokens + answer_tokens,
        ..Need::default()
    }
}

/// Returns statistics of requests with equal prompts, one of `every` with a long response.
fn mix(every: usize) -> AnswerStats {
    let mut mix = AnswerStats::default();
    for number in 0..400 {
        let answer_tokens = if number % every == 0 { 170 } else { 25 };
        mix.observe(&need(2_000, answer_tokens));
    }
    mix
}

#[test]
fn long_responses_get_homes_of_their_own_if_there_are_enough() {
    let mix = mix(8);
    let (long, short) = (need(2_000, 170), need(2_000, 25));
    assert_eq!(mix.homes_for(&long, 2), HomeRange::All);
    assert_eq!(mix.homes_for(&short, 2), HomeRange::All);
    // Long responses have an eighth of the prompt tokens and get about a quarter of the homes.
    assert_eq!(mix.homes_for(&long, 9), HomeRange::Before(2));
    assert_eq!(mix.homes_for(&short, 9), HomeRange::From(2));
}

#[test]
fn no_homes_are_reserved_if_long_responses_are_many_or_all_are_alike() {
    let long = need(2_000, 170);
    assert_eq!(mix(2).homes_for(&long, 12), HomeRange::All);
    let mut alike = AnswerStats::default();
    for _ in 0..400 {
        alike.observe(&long);
    }
    assert_eq!(alike.homes_for(&long, 12), HomeRange::All);
}

#[test]
fn an_entry_with_few_samples_reserves_no_homes() {
    let mut mix = AnswerStats::default();
    assert_eq!(mix.homes_for(&need(0, 0), 12), HomeRange::All);
    for _ in 0..10 {
        mix.observe(&need(2_000, 25));
    }
    assert_eq!(mix.homes_for(&need(2_000, 170), 12), HomeRange::All);
}

#[test]
fn requests_without_tokens_are_accepted() {
    let mut mix = AnswerStats::default();
    for _ in 0..100 {
        mix.observe(&need(0, 0));
    }
    assert_eq!(mix.homes_for(&need(0, u64::MAX), 12), HomeRange::All);
}
