//! The `accounts` command: limits of client accounts, and what is drawn of them.

use std::time::Duration;

use getopts::Options;

use crate::cli::commands;
use crate::process::peers::ControlLink;
use crate::process::settings;
use crate::process::wire::{AccountStatus, ControlWireClient};
use crate::table::accounts::QuotaUnit;

/// Time in which a leader must be found.
const PATIENCE: Duration = Duration::from_secs(5);

/// `accounts`: asks a control host for what the leader knows.
pub async fn accounts(args: &[String]) -> Result<i32, String> {
    let mut options = Options::new();
    options.reqopt("c", "control", "a control host", "IP:PORT");
    options.reqopt("s", "secret-file", "file with the site's secret", "FILE");
    options.optflag("j", "json", "as JSON");
    let matches = commands::parse(&options, args)?;
    if let Some(word) = matches.free.first() {
        return Err(format!("accounts: '{word}' is not an option"));
    }
    let file = matches.opt_str("secret-file").unwrap_or_default();
    let secret = settings::load_secret(file.as_ref()).map_err(|error| error.to_string())?;
    let control = matches.opt_str("control").unwrap_or_default();
    let link = ControlLink::new(secret, vec![control]);
    let call = |client: ControlWireClient, context| async move { client.accounts(context).await };
    let asked = link.decide("accounts", PATIENCE, call).await;
    let accounts = asked.map_err(|error| error.to_string())?;
    match matches.opt_present("json") {
        true => println!("{}", json(&accounts)?),
        false => print!("{}", table(&accounts)),
    }
    Ok(0)
}

fn json(accounts: &[AccountStatus]) -> Result<String, String> {
    serde_json::to_string_pretty(accounts).map_err(|error| error.to_string())
}

/// A line an account.
pub fn table(accounts: &[AccountStatus]) -> String {
    let mut text = format!(
        "{:<24} {:>4} {:>4} {:>10} {:>12} {:>12} {:>10} {:>10} {:>10} {:>7} {}\n",
        "account",
        "rank",
        "keys",
        "unit",
        "a second",
        "burst",
        "left",
        "drawn",
        "asked/s",
        "entries",
        "state"
    );
    for account in accounts {
        text.push_str(&line(account));
    }
    text
}

fn line(account: &AccountStatus) -> String {
    let rank = account.priority.map_or("-".to_owned(), |p| p.to_string());
    let name = account.name.as_str();
    let head = format!("{name:<24} {rank:>4} {:>4}", account.keys);
    let Some(limit) = &account.limit else {
        return format!("{head} {:>10}\n", "no limit");
    };
    let unit = match limit.quota.unit {
        QuotaUnit::Requests => "requests",
        QuotaUnit::Tokens => "tokens",
    };
    let state = match limit.usage.short {
        true => "short",
        false => "",
    };
    let text = format!(
        "{head} {unit:>10} {:>12.1} {:>12.1} {:>10} {:>10} {:>10} {:>7} {state}",
        limit.quota.per_s,
        limit.quota.burst,
        limit.usage.level,
        limit.usage.drawn,
        limit.usage.demand,
        limit.usage.entries,
    );
    format!("{}\n", text.trim_end())
}
