//! The agent daemon: keeps one target.

use dunlinspring::agentd::AgentDaemon;
use dunlinspring::settings::AgentSettings;
use dunlinspring::{cli, daemon};

const PROGRAM: &str = "dunlinspring-agent";

#[ntex::main]
async fn main() {
    let start = cli::start::<AgentSettings>(PROGRAM, |settings| &settings.common);
    let agent = match AgentDaemon::start(start.settings, start.secret).await {
        Ok(agent) => agent,
        Err(error) => cli::fail(PROGRAM, error),
    };
    let addresses = [("listen", agent.address), ("watch", agent.watch)];
    daemon::announce(start.announce.as_deref(), &addresses);
    daemon::stop_signal().await;
    agent.stop().await;
    daemon::end_logs();
}
