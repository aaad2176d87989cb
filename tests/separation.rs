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

/// Returns statistics of briefs with long prompts beside streams with long answers, of which every
/// second request is one.
fn briefs_and_streams() -> (AnswerStats, Need, Need) {
    let (brief, stream) = (need(3_000, 200), need(650, 800));
    let mut mix = AnswerStats::default();
    for number in 0..400 {
        mix.observe(if number % 2 == 0 { &brief } else { &stream });
    }
    (mix, brief, stream)
}

/// Guards against streams that run where prompts are prefilled, and against homes for streams that
/// leave too few for the prompts.
#[test]
fn streams_get_homes_by_their_part_of_the_work() {
    let (mix, brief, stream) = briefs_and_streams();
    // 1,690 of 4,950 tokens of work: a third of the homes.
    assert_eq!(mix.homes_by_work(&stream, 13), HomeRange::Before(4));
    assert_eq!(mix.homes_by_work(&brief, 13), HomeRange::From(4));
    assert_eq!(mix.homes_by_work(&stream, 3), HomeRange::Before(1));
    assert_eq!(mix.homes_by_work(&stream, 2), HomeRange::All);
    assert_eq!(mix.homes_by_work(&brief, 1), HomeRange::All);
}

/// Guards against reservations that change while more streams than usual come: their part is
/// bounded by half of the homes.
#[test]
fn a_burst_of_streams_gets_at_most_half_of_the_homes() {
    let (mut mix, brief, stream) = briefs_and_streams();
    for _ in 0..300 {
        mix.observe(&stream);
    }
    assert_eq!(mix.homes_by_work(&stream, 12), HomeRange::Before(6));
    assert_eq!(mix.homes_by_work(&brief, 12), HomeRange::From(6));
}

/// Guards against homes that are reserved for a kind of request that does not exist.
#[test]
fn equal_requests_share_all_homes() {
    let mut alike = AnswerStats::default();
    for _ in 0..400 {
        alike.observe(&need(3_000, 200));
    }
    assert_eq!(alike.homes_by_work(&need(3_000, 200), 12), HomeRange::All);
}
