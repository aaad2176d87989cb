//! The operators' command line, including the demo and the load generator.

use dunlinspring::cli::{accounts, commands, contents, halls, versions};
use dunlinspring::process::arguments;

#[ntex::main]
async fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let command = args.first().map(String::as_str);
    let rest = args.get(1..).unwrap_or_default();
    let asks_help = |arg: &String| matches!(arg.as_str(), "-h" | "--help");
    if rest.iter().any(asks_help) {
        println!("{}", commands::USAGE);
        return;
    }
    let ended = match command {
        Some("table") => commands::table(rest).await,
        Some("status") => commands::status(rest).await,
        Some("accounts") => accounts::accounts(rest).await,
        Some("contents") => contents::contents(rest).await,
        Some("halls") => halls::halls(rest).await,
        Some("versions") => versions::versions(rest).await,
        Some("check") => commands::check(rest),
        Some("demo") => commands::demo(rest).await,
        Some("load") => commands::load(rest).await,
        Some("explain") => commands::explain(rest),
        Some("help" | "-h" | "--help") => {
            println!("{}", commands::USAGE);
            Ok(0)
        }
        Some(other) => Err(format!("unknown command '{other}'\n{}", commands::USAGE)),
        None => Err(commands::USAGE.to_owned()),
    };
    match ended {
        Ok(status) => std::process::exit(status),
        Err(reason) => arguments::fail("dunlinspring", reason),
    }
}
