//! Shared prompt parts: their header, their hashes, and the memory of prompts sent to a replica.

use dunlinspring::forward::prompt_parts::{self, MAX_PROMPT_PARTS, PromptMemory, PromptPart};
use proptest::prelude::*;

/// Prompts that a replica's memory holds.
const MAX_PROMPTS: u32 = 256;

fn parse(header: &str) -> Vec<PromptPart> {
    prompt_parts::parse("m", None, header)
}

fn ends(header: &str) -> Vec<u32> {
    let parts = parse(header);
    parts.iter().map(|part| part.end_tokens).collect()
}

fn chains(model: &str, adapter: Option<&str>, header: &str) -> Vec<u64> {
    let parts = prompt_parts::parse(model, adapter, header);
    parts.iter().map(|part| part.chain).collect()
}

/// The last part would count as shared, or the tokens would not add up to the end of a part.
#[test]
fn shared_parts_are_all_but_the_last() {
    assert_eq!(ends("a1:2520,b2:3780,c3:2890"), [2_520, 6_300]);
    assert_eq!(ends(" a1:2520 , b2:3780 , c3:2890 "), [2_520, 6_300]);
    assert_eq!(ends("a1:2520,c3:0"), [2_520]);
    assert!(ends("c3:2890").is_empty());
}

/// A prompt whose header cannot be read would be sent after parts that it does not have.
#[test]
fn a_malformed_header_has_no_shared_parts() {
    for header in [
        "",
        ",",
        "a1:5,",
        ",a1:5",
        "a1,b2:5",
        "a1:,b2:5",
        "a1:5:6,b2:5",
        "a1:+5,b2:5",
        "a1:-5,b2:5",
        "a1:5 ,x!:5",
        "g1:5,b2:5",
        ":5,b2:5",
        "a1:5,b2:x",
        "a1:4294967296,b2:5",
        "a1:4294967295,b2:1,c3:5",
    ] {
        assert!(ends(header).is_empty(), "{header:?}");
    }
}

/// A client could otherwise make the messages to agents and the memory of an entry as long as it
/// likes.
#[test]
fn further_parts_count_as_the_requests_own() {
    let many: Vec<String> = (0..40).map(|number| format!("{number:x}:10")).collect();
    let parts = parse(&many.join(","));
    assert_eq!(parts.len(), MAX_PROMPT_PARTS);
    assert_eq!(parts, parse(&many[..=MAX_PROMPT_PARTS].join(",")));
}

/// Cached tokens would count as reusable for another model or adapter, or after other parts.
#[test]
fn chains_are_equal_only_for_the_same_model_adapter_and_parts() {
    let headers = ["a:1,b:1,c:1", "b:1,a:1,c:1", "ab:1,b:1,c:1", "a:1,bc:1,d:1"];
    let homes = [
        ("m", None),
        ("m", Some("")),
        ("m", Some("x")),
        ("mx", None),
        ("mx", Some("y")),
        ("m", Some("xy")),
    ];
    let mut all = Vec::new();
    for (model, adapter) in homes {
        for header in headers {
            all.extend(chains(model, adapter, header));
        }
        // The second part alone is another one than after the first.
        all.extend(chains(model, adapter, "bc:1,d:1"));
        assert_eq!(
            chains(model, adapter, headers[0]),
            chains(model, adapter, "A:7,B:7,ff:9"),
            "tokens and the own part do not matter"
        );
    }
    // The first part of two of the four headers is the same.
    let expected = homes.len() * (headers.len() * 2 - 1 + 1);
    all.sort_unstable();
    all.dedup();
    assert_eq!(all.len(), expected);
}

/// Entries and agents of different builds would no longer agree on parts and on the order of
/// homes.
#[test]
fn chains_do_not_change_between_builds() {
    let parts = prompt_parts::parse("m", Some("x"), "a1:2520,b2:3780,c3:2890");
    let chains: Vec<u64> = parts.iter().map(|part| part.chain).collect();
    assert_eq!(chains, [0x3749_F1B5_859A_B6F6, 0xBA2C_BD11_BE8C_DDB7]);
}

fn prompt(first: u32, second: u32) -> Vec<PromptPart> {
    parse(&format!("{first:x}:10,{second:x}:20,0:5"))
}

/// Of two parts, the first may be cached alone; the second is of no use without the first.
#[test]
fn each_part_is_remembered_by_itself() {
    let mut memory = PromptMemory::default();
    memory.record(0, &prompt(1, 2));
    assert_eq!(memory.known_tokens(&prompt(1, 2), 0), 30);
    assert_eq!(memory.known_tokens(&prompt(1, 3), 0), 10);
    assert_eq!(memory.known_tokens(&prompt(4, 2), 0), 0);
    assert_eq!(memory.known_tokens(&[], 0), 0);
    assert!(memory.has_prompt(&prompt(1, 2)));
    // The fixed gain is for a prompt that was sent, not for a part of one.
    assert!(!memory.has_prompt(&parse("1:10,0:5")));
    assert!(!memory.has_prompt(&[]));
}

/// The memory would grow without bound, or drop a prompt that is still in use.
#[test]
fn the_least_recently_sent_prompt_is_dropped() {
    let mut memory = PromptMemory::default();
    for second in 0..MAX_PROMPTS {
        memory.record(0, &prompt(second % 2, second));
    }
    memory.record(0, &prompt(0, 0));
    assert!(memory.has_prompt(&prompt(1, 1)));
    memory.record(0, &prompt(9, 9));
    assert!(memory.has_prompt(&prompt(0, 0)));
    assert!(!memory.has_prompt(&prompt(1, 1)));
    // Other prompts have the first part of the dropped one.
    assert_eq!(memory.known_tokens(&prompt(1, 1), 0), 10);
    for second in 0..MAX_PROMPTS {
        memory.record(0, &prompt(7, 1_000 + second));
    }
    assert_eq!(memory.known_tokens(&prompt(1, 1), 0), 0);
    assert_eq!(memory.known_tokens(&prompt(0, 0), 0), 0);
    assert_eq!(memory.known_tokens(&prompt(7, 1_000), 0), 30);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    /// A header comes from outside: a panic would end the entry.
    #[test]
    fn any_header_is_accepted(header in "[0-9a-g:, +-]{0,60}|.{0,40}") {
        let parts = parse(&header);
        prop_assert!(parts.len() <= MAX_PROMPT_PARTS);
        prop_assert!(parts.windows(2).all(|pair| pair[0].end_tokens <= pair[1].end_tokens));
    }
}
