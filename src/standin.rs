//! Stand-ins for components of the platform: engines, plain services, the weight store and the
//! list of hosts. Used by the demo, the load tool and tests.

mod engine;
mod platform;
mod service;

pub use engine::{
    EngineRecord, EngineStandin, EngineTraits, RunRecord, default_version, piece_text,
};
pub use platform::{PlatformStandin, StoreStandin, StoreTraits};
pub use service::{ServiceRecord, ServiceStandin};
