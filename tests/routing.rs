//! Targets of the further attempts of a request.

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

/// Returns the targets of the attempts of a request that all homes refuse.
fn attempts(homes: &[TargetName], loads: &LoadTracker, seed: u64) -> Vec<TargetName> {
    let hall = HallName("north".to_owned());
    let choices: Vec<HomeCandidate<'_>> = homes
        .iter()
        .map(|target| HomeCandidate {
            target,
            hall: &hall,
        })
        .collect();
    let request = RouteRequest {
        entry: 1,
        hall: &hall,
        prefix: "return 1",
    };
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut attempted: Vec<TargetName> = Vec::new();
    for _ in 0..ATTEMPTS {
        let choices = route::least_attempted(&choices, &attempted);
        let target = route::choose(&POLICY, &request, &choices, loads, 0, &mut rng);
        attempted.push(target.unwrap().clone());
    }
    attempted
}

#[test]
fn a_home_that_refuses_at_once_does_not_get_all_further_attempts() {
    let homes = ["refuses", "busy"].map(|name| TargetName(name.to_owned()));
    let mut loads = LoadTracker::default();
    loads.record_report(&homes[0], 0, 0);
    loads.record_report(&homes[1], BUSY, 0);
    for seed in 0..100 {
        let attempted = attempts(&homes, &loads, seed);
        let at_the_busy_one = attempted
            .iter()
            .filter(|target| **target == homes[1])
            .count();
        assert_eq!(at_the_busy_one, ATTEMPTS / 2, "seed {seed}: {attempted:?}");
    }
}
