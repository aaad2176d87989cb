//! What a request needs of a replica, and how replicas are weighed for it.

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize};

use crate::forward::locality::AllowedRegions;
use crate::ids::{ModelName, ServiceName};
use crate::table::configuration::SLACK_RANKS;

/// Degrees of urgency.
pub(super) const URGENCY_LEVELS: usize = 10;

/// What a request needs of a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// The service.
    pub service: Option<ServiceName>,
    /// The model.
    pub model: Option<ModelName>,
    /// An adapter of the model.
    pub adapter: Option<String>,
    /// Names the shared start of the prompt.
    pub prefix: Option<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt and the answer.
    pub tokens: u64,
    /// Urgency, 0 to 9; 0 goes first.
    pub urgency: usize,
    /// Time within which the answer should begin, in milliseconds.
    pub limit_ms: u64,
    /// Regions in which it may be served.
    pub regions: AllowedRegions,
    /// Drawn for the request: spreads requests of different entries evenly.
    pub id_hash: u64,
}

/// How replicas are weighed against each other. Costs are in requests that wait.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ChoicePolicy {
    /// Cost of a request that already runs on the replica.
    pub running_cost: f64,
    /// Cost of a replica in another hall.
    pub hall_cost: f64,
    /// Cost of a replica in another region.
    pub region_cost: f64,
    /// Gain where the replica has read the shared start of the prompt.
    pub prefix_gain: f64,
    /// Cost of a whole failure rate.
    pub failure_cost: f64,
    /// Time by which a report of others' load has faded, in milliseconds.
    pub fade_ms: u64,
    /// Cost of a replica on whose host work takes twice as long as usual.
    pub work_cost: f64,
    /// Time by which half of such a word has faded, in milliseconds: hosts that are shared
    /// with others change many times a second.
    pub work_fade_ms: u64,
    /// First pause of a replica that fails, in milliseconds; it doubles.
    pub eject_ms: u64,
    /// Longest such pause, in milliseconds.
    pub eject_max_ms: u64,
    /// Cost of a home that is for requests of the other kind, long answers or short ones:
    /// less than two requests that wait, so that it is used where the others are crowded.
    pub apart_cost: f64,
    /// At replicas, what can wait lets others go first, within the rank of its account.
    pub by_slack: bool,
    /// Part of the aim that a request waits for room, before it is refused; 0 to 10.
    #[serde(deserialize_with = "read_room_part")]
    pub room_part: f64,
}

impl Default for ChoicePolicy {
    fn default() -> Self {
        Self {
            running_cost: 0.1,
            hall_cost: 0.2,
            region_cost: 1.0,
            prefix_gain: 0.4,
            failure_cost: 8.0,
            fade_ms: 2_000,
            work_cost: 0.0,
            work_fade_ms: 200,
            eject_ms: 1_000,
            eject_max_ms: 8_000,
            apart_cost: 1.0,
            by_slack: false,
            room_part: 0.25,
        }
    }
}

/// The last of the ten places in the order at a replica.
const LAST_URGENCY: u32 = URGENCY_LEVELS as u32 - 1;

impl ChoicePolicy {
    /// A request's place in the order at a replica: by the rank of its account, or of its
    /// route where it has none, and by how well it can wait; see
    /// [`crate::table::configuration::slack_ranks`].
    pub fn urgency(&self, rank: Option<u32>, priority: u32, slack: u32) -> usize {
        let place = match rank {
            _ if !self.by_slack => rank.unwrap_or(priority),
            Some(rank) => rank.saturating_mul(SLACK_RANKS).saturating_add(slack),
            None => slack * SLACK_RANKS + priority.min(SLACK_RANKS - 1),
        };
        place.min(LAST_URGENCY) as usize
    }
}

fn read_room_part<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    let part = f64::deserialize(deserializer)?;
    match (0.0..=10.0).contains(&part) {
        true => Ok(part),
        false => Err(D::Error::custom("room_part: must be from 0 to 10")),
    }
}
