//! Skew of the load generator's requests over entries.

use dunlinspring::cli::load::{EntryCrowd, LoadMix, LoadPhase};
use dunlinspring::process::settings::ValidatedSettings;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const ENTRIES: usize = 3;
const REQUESTS: usize = 30_000;

fn mix(crowds: &[(f64, Option<EntryCrowd>)]) -> LoadMix {
    let phase = |(from_s, crowd): &(f64, Option<EntryCrowd>)| LoadPhase {
        from_s: *from_s,
        factors: Default::default(),
        crowd: *crowd,
    };
    LoadMix {
        classes: Vec::new(),
        phases: crowds.iter().map(phase).collect(),
    }
}

/// Returns the fraction of requests that each entry gets at a second.
fn fractions(mix: &LoadMix, second: f64) -> [f64; ENTRIES] {
    let mut random = SmallRng::seed_from_u64(60);
    let mut counts = [0.0; ENTRIES];
    for _ in 0..REQUESTS {
        counts[mix.draw_entry(second, ENTRIES, &mut random)] += 1.0 / REQUESTS as f64;
    }
    counts
}

#[test]
fn a_crowd_moves_with_the_phases_and_ends() {
    let crowd = |entry| Some(EntryCrowd { entry, share: 0.7 });
    let mix = mix(&[(2.0, crowd(0)), (4.0, crowd(2)), (6.0, None)]);
    let expected = [
        (1.0, [1.0 / 3.0; 3]),
        (3.0, [0.8, 0.1, 0.1]),
        (5.0, [0.1, 0.1, 0.8]),
        (7.0, [1.0 / 3.0; 3]),
    ];
    for (second, expected) in expected {
        let drawn = fractions(&mix, second);
        let is_near = |(a, b): (&f64, f64)| (a - b).abs() < 0.02;
        assert!(
            drawn.iter().zip(expected).all(is_near),
            "{second}: {drawn:?}"
        );
    }
}

#[test]
fn a_share_beyond_all_requests_is_refused() {
    let text = r#"{"classes": [{"key": "k", "class": "c", "model": "m", "rate": 1, "tokens": 1,
        "patience_ms": 1}], "phases": [{"from_s": 0, "crowd": {"entry": 0, "share": 1.5}}]}"#;
    let mix: LoadMix = serde_json::from_str(text).unwrap();
    assert_eq!(mix.check().unwrap_err().0, "phases.crowd.share");
}
