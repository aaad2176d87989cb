//! The `accounts` command: limits and usage of client accounts.

use crate::cli::{commands, control};
use crate::process::wire::{AccountStatus, ControlWireClient};
use crate::table::accounts::QuotaUnit;

/// `accounts`: prints the accounts as the leader knows them.
pub async fn accounts(args: &[String]) -> Result<i32, String> {
    let matches = commands::parse(&control::options(), args)?;
    if let Some(word) = matches.free.first() {
        return Err(format!("accounts: unexpected argument '{word}'"));
    }
    let link = control::link(&matches)?;
    let call = |client: ControlWireClient, context| async move { client.accounts(context).await };
    let reply = link
        .call_leader("accounts", control::LEADER_TIMEOUT, call)
        .await;
    let accounts = reply.map_err(|error| error.to_string())?;
    match matches.opt_present("json") {
        true => println!("{}", control::json(&accounts)?),
        false => print!("{}", table(&accounts)),
    }
    Ok(0)
}

/// Formats one line per account.
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
