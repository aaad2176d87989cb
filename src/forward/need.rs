//! What a request needs of a replica, and the weights used to choose one.

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize};

use crate::admission::quote::PromptPart;
use crate::consensus::software_versions::SoftwareVersion;
use crate::forward::locality::AllowedRegions;
use crate::ids::{ContentDigest, ModelName, ServiceName};
use crate::table::configuration::SLACK_RANKS;

/// Number of urgency levels.
pub(super) const URGENCY_LEVELS: usize = 10;

/// Greatest value of [`ChoicePolicy::ask_homes`]: further replicas cost datagrams and rarely win.
const MAX_ASK_HOMES: u32 = 16;

/// What a request needs of a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// The service.
    pub service: Option<ServiceName>,
    /// The software version that began the stream, if it is continued.
    pub version: Option<SoftwareVersion>,
    /// Whether the request begins a stream that may be continued later.
    pub begins_stream: bool,
    /// The model.
    pub model: Option<ModelName>,
    /// An adapter of the model.
    pub adapter: Option<String>,
    /// Parts at the start of the prompt that the request shares with others.
    pub parts: Vec<PromptPart>,
    /// Digests of these parts, each by itself.
    pub part_digests: Vec<ContentDigest>,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens and the maximum number of output tokens.
    pub tokens: u64,
    /// Urgency from 0 to 9; 0 is the most urgent.
    pub urgency: usize,
    /// Time within which the response should start, in milliseconds.
    pub limit_ms: u64,
    /// Longest allowed gap between two events of the stream, in milliseconds; 0 for no limit.
    pub max_gap_ms: u64,
    /// Regions in which the request may be served.
    pub regions: AllowedRegions,
    /// Hash of the request's id: breaks ties, so that requests of different entries spread evenly.
    pub id_hash: u64,
}

/// Weights for the choice of a replica. The unit of costs is one waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ChoicePolicy {
    /// Cost of a request that already runs on the replica.
    pub running_cost: f64,
    /// Cost of a replica in another hall of the region.
    pub hall_cost: f64,
    /// Cost of a replica in another region.
    pub region_cost: f64,
    /// Gain if the replica has processed the shared parts of the prompt. Requests that call for
    /// the reuse of cached parts weigh the cached tokens instead.
    pub prefix_gain: f64,
    /// Cost of a failure rate of 1.
    pub failure_cost: f64,
    /// Age at which a report of other entries' load has faded out, in milliseconds.
    pub fade_ms: u64,
    /// Cost of a replica on whose host work takes twice as long as usual.
    pub work_cost: f64,
    /// Half-life of the reported work duration, in milliseconds: the load of shared hosts changes
    /// many times a second.
    pub work_fade_ms: u64,
    /// Length of the first ejection of a failing replica, in milliseconds; it doubles with each
    /// further one.
    pub eject_ms: u64,
    /// Longest ejection, in milliseconds.
    pub eject_max_ms: u64,
    /// Cost of a replica that is reserved for requests of the other kind (long or short answers).
    /// Less than two waiting requests, so that the replica is used if the others are congested.
    pub apart_cost: f64,
    /// Whether requests of routes with more slack get a lower urgency at replicas, within the rank
    /// of their account.
    pub by_slack: bool,
    /// Fraction of the latency target that a request waits for free capacity before it is refused;
    /// 0 to 10.
    #[serde(deserialize_with = "read_room_part")]
    pub room_part: f64,
    /// Whether requests wait for capacity in order of rank, account share and time left: those of
    /// prefill-bound services, and of plain services whose replicas queue. If not set, only at
    /// entries that have a prefill-bound service.
    pub ordered_wait: Option<bool>,
    /// Whether requests are sent to a replica of a plain service with no free slot if it is
    /// predicted to serve them in time. If not set, only at entries that have a prefill-bound
    /// service.
    pub queue_room: Option<bool>,
    /// Number of replicas whose agents are asked at once for a request of a prefill-bound service;
    /// 0 to 16, 0 for none.
    #[serde(deserialize_with = "read_ask_homes")]
    pub ask_homes: u32,
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
            ordered_wait: None,
            queue_room: None,
            ask_homes: 4,
        }
    }
}

/// The lowest urgency level.
const LAST_URGENCY: u32 = URGENCY_LEVELS as u32 - 1;

impl ChoicePolicy {
    /// Computes a request's urgency level at a replica: from the rank of its account, or of its
    /// route if the account has none, and from its slack; see
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

fn read_ask_homes<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
    let homes = u32::deserialize(deserializer)?;
    match (0..=MAX_ASK_HOMES).contains(&homes) {
        true => Ok(homes),
        false => Err(D::Error::custom(format!(
            "ask_homes: must be from 0 to {MAX_ASK_HOMES}"
        ))),
    }
}
