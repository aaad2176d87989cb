//! Where a request's further attempts go.

use dunlinspring::ids::{HallName, TargetName};
use dunlinspring::routing::route::{self, HomeCandidate, LoadTracker, RoutePolicy, RouteRequest};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const POLICY: RoutePolicy = RoutePolicy {
    subset: 8,
    affinity_slack: 2,
    hall_slack: 1,
    by_load: true,
};
const ATTEMPTS: usize = 4;
const BUSY: u32 = 20;

/// Where the attempts of a request go that none of the homes takes.
fn attempts(homes: &[TargetName], loads: &LoadTracker, seed: u64) -> Vec<TargetName> {
    let hall = HallName("north".to_owned());
    let choices: Vec<HomeCandidate<'_>> = homes
        .iter()
        .map(|target| HomeCandidate {
            target,
            hall: &hall,
        })
        .collect();
    let ask = RouteRequest {
        entry: 1,
        hall: &hall,
        prefix: "return 1",
    };
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut tried: Vec<TargetName> = Vec::new();
    for _ in 0..ATTEMPTS {
        let choices = route::least_attempted(&choices, &tried);
        let target = route::choose(&POLICY, &ask, &choices, loads, 0, &mut rng);
        tried.push(target.unwrap().clone());
    }
    tried
}

#[test]
fn a_home_that_refuses_at_once_does_not_draw_all_further_attempts() {
    let homes = ["refuses", "busy"].map(|name| TargetName(name.to_owned()));
    let mut loads = LoadTracker::default();
    loads.record_report(&homes[0], 0, 0);
    loads.record_report(&homes[1], BUSY, 0);
    for seed in 0..100 {
        let tried = attempts(&homes, &loads, seed);
        let at_the_busy_one = tried.iter().filter(|target| **target == homes[1]).count();
        assert_eq!(at_the_busy_one, ATTEMPTS / 2, "seed {seed}: {tried:?}");
    }
}
