//! A bootstrapped site of three control hosts.

use std::net::SocketAddr;
use std::path::Path;

use dunlinspring::control::bootstrap;
use dunlinspring::control::shell::ControlDaemon;

use crate::support_control::{listeners, secret, settings};

/// Bootstraps and starts three control hosts on empty disks; returns them and their addresses.
pub async fn start_control_hosts(folder: &Path) -> (Vec<ControlDaemon>, Vec<SocketAddr>) {
    let bound = listeners(3).await;
    let addresses: Vec<SocketAddr> = bound.iter().map(|(_, address)| *address).collect();
    let mut daemons = Vec::new();
    for (listener, address) in bound {
        let settings = settings(folder, address, &addresses);
        bootstrap::bootstrap(&settings).unwrap();
        let daemon = ControlDaemon::start_on(listener, settings, secret()).await;
        daemons.push(daemon.unwrap());
    }
    (daemons, addresses)
}
