//! Helpers that apply commands directly to a site's state.

use std::collections::BTreeMap;

use dunlinspring::consensus::state::{Command, SiteState, Stamped};
use dunlinspring::ids::{Position, ServiceName};
use dunlinspring::table::configuration::{Configuration, ConfigurationRecord, ServiceSpec};

/// Applies a command at the next position.
pub fn apply(state: &mut SiteState, at_ms: u64, command: Command) {
    let position = Position(state.position.0 + 1);
    state.apply(position, &Stamped { at_ms, command });
}

/// Returns a state whose configuration holds one service.
pub fn configured(service: &str, spec: ServiceSpec) -> SiteState {
    let configuration = Configuration {
        version: 1,
        services: BTreeMap::from([(ServiceName::from(service), spec)]),
        ..Configuration::default()
    };
    let record = ConfigurationRecord {
        configuration: configuration.into(),
        source: Default::default(),
    };
    let mut state = SiteState::default();
    apply(&mut state, 0, Command::Configure(Box::new(record)));
    state
}
