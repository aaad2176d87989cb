//! The `contents` command: lists contents whose requests were running when replicas crashed, and
//! lifts the quarantine of a content.

use crate::cli::{commands, control};
use crate::consensus::crashes::{ContentRecord, ContentStanding, CrashStore};
use crate::consensus::state::{Command, Reply};
use crate::ids::{ContentDigest, ReplicaIncarnation};
use crate::process::peers::ControlLink;
use crate::process::wire::ControlWireClient;

/// `contents` and `contents lift DIGEST`: reads or changes the crash records of the log.
pub async fn contents(args: &[String]) -> Result<i32, String> {
    let matches = commands::parse(&control::options(), args)?;
    let link = control::link(&matches)?;
    match matches.free.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        [] => list(&link, matches.opt_present("json")).await,
        ["lift", digest] => lift(&link, digest).await,
        _ => Err("contents takes no argument, or lift DIGEST".to_owned()),
    }
}

async fn list(link: &ControlLink, as_json: bool) -> Result<i32, String> {
    let call = |client: ControlWireClient, context| async move { client.contents(context).await };
    let reply = link
        .call_leader("contents", control::LEADER_TIMEOUT, call)
        .await;
    let store = reply.map_err(|error| error.to_string())?;
    match as_json {
        true => println!("{}", control::json(&rows(&store))?),
        false => print!("{}", table(&store)),
    }
    Ok(0)
}

async fn lift(link: &ControlLink, text: &str) -> Result<i32, String> {
    let digest = ContentDigest::parse(text);
    let digest = digest.ok_or_else(|| format!("lift: '{text}' is not 32 hexadecimal digits"))?;
    let call = |client: ControlWireClient, context| async move {
        let command = Command::ContentLifted(digest);
        client.propose(context, command).await
    };
    let reply = link
        .call_leader("lift", control::LEADER_TIMEOUT, call)
        .await;
    match reply.map_err(|error| error.to_string())? {
        (_, Reply::Lifted(true)) => {
            println!("{digest} may be sent again; one more crash bars it");
            Ok(0)
        }
        _ => Err(format!("lift: {digest} is not barred")),
    }
}

/// Row of the `contents` table.
#[derive(serde::Serialize)]
struct ContentRow {
    content: String,
    state: &'static str,
    crashes: Vec<String>,
    last_ms: u64,
}

impl ContentRow {
    fn new(content: &ContentDigest, record: &ContentRecord) -> Self {
        Self {
            content: content.to_string(),
            state: match ContentStanding::of(record.count()) {
                ContentStanding::Barred => "barred",
                _ => "suspect",
            },
            crashes: record
                .crashes
                .iter()
                .map(ReplicaIncarnation::to_string)
                .collect(),
            last_ms: record.last_ms,
        }
    }
}

/// Returns the contents, those with the most crashes first.
fn rows(store: &CrashStore) -> Vec<ContentRow> {
    let records = store.records().iter();
    let mut rows: Vec<ContentRow> = records
        .map(|(id, record)| ContentRow::new(id, record))
        .collect();
    rows.sort_by_key(|row| (std::cmp::Reverse(row.crashes.len()), row.last_ms));
    rows
}

/// Formats one line per content.
pub fn table(store: &CrashStore) -> String {
    let mut text = format!(
        "{:<32} {:<8} {:>14} replicas that crashed while running it\n",
        "content", "state", "last, ms"
    );
    for row in rows(store) {
        let incarnations = row.crashes.join(" ");
        let (content, state, last_ms) = (&row.content, row.state, row.last_ms);
        text.push_str(&format!(
            "{content:<32} {state:<8} {last_ms:>14} {incarnations}\n"
        ));
    }
    text
}
