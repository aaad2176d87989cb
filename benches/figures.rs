//! Measurements of real daemons on this machine, as CSV rows on standard output.
//!
//! `cargo bench --bench figures -- NAME`, with NAME one of `latency`, `cost`,
//! `failover`, `commits`, `sync`; without NAME, all of them.

#[path = "../tests/support/mod.rs"]
mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use dunlinspring::consensus::state::Command;
use dunlinspring::ids::*;
use dunlinspring::process::member::{self, SiteFollower};
use dunlinspring::process::peers::{self, ControlLink, SiteSecret};
use dunlinspring::table::rows::{RowChange, RowEdit, RowFields, Urgency};
use futures::future::join_all;
use ntex::client::Client;
use serde_json::json;
use support::{CompletionRequest, TestSite, engine_traits, row};

fn quantile(times: &mut [f64], part: f64) -> f64 {
    times.sort_by(f64::total_cmp);
    times[((times.len() - 1) as f64 * part) as usize]
}

fn print(name: &str, times: &mut [f64]) {
    let (p50, p99) = (quantile(times, 0.5), quantile(times, 0.99));
    println!("{name},n={},p50_ms={p50:.3},p99_ms={p99:.3}", times.len());
}

fn completion<'a>(prompt: &'a str, tokens: u32) -> CompletionRequest<'a> {
    CompletionRequest {
        model: "review",
        class: "filing-review",
        prompt,
        tokens,
        stream: true,
        key: None,
    }
}

async fn review_site(piece_us: u64) -> TestSite {
    let mut traits = engine_traits();
    traits["piece_us"] = json!(piece_us);
    traits["batch_us"] = json!(0);
    let site = TestSite::start_with(&traits).await;
    let mut fields = row("review", "filing-review");
    fields["max_running"] = json!(4000);
    site.add_row("review", &fields).await;
    site.settled("review", 2).await;
    site
}

/// Measures the latency through entry and agent, and of direct calls to the same engine.
async fn latency() {
    let site = review_site(500).await;
    let (mut direct, mut through) = (Vec::new(), Vec::new());
    let table = site.table("e1").await.unwrap();
    let home = table["rows"][0]["homes"][0].as_str().unwrap().to_owned();
    let engine = site.address(&format!("{home}-engine"), "listen");
    let report: serde_json::Value = {
        let url = format!("http://{engine}/control/report");
        dunlinspring::process::daemon::get_json(&url).await.unwrap()
    };
    for number in 0..600u64 {
        let prompt = format!("measure {number}");
        let started = Instant::now();
        let result = site.complete("e1", &completion(&prompt, 4)).await;
        let elapsed = started.elapsed().as_secs_f64() * 1e3;
        assert_eq!(result.outcome, "done");
        let body = json!({
            "request_id": { "entry": 999_999, "number": number }, "model": "review",
            "prompt": prompt, "max_tokens": 4, "given": 0, "kv_mib": 0, "priority": 0,
            "fence": report["run_fence"], "boot": report["boot"],
        });
        let client = Client::new().await;
        let started = Instant::now();
        let call = client.post(format!("http://{engine}/v1/completions"));
        let response = call.send_json(&body).await.unwrap();
        assert!(response.status().is_success());
        response.body().await.unwrap();
        if number >= 100 {
            through.push(elapsed);
            direct.push(started.elapsed().as_secs_f64() * 1e3);
        }
    }
    let ratio = quantile(&mut through, 0.5) / quantile(&mut direct, 0.5);
    print("latency_direct", &mut direct);
    print("latency_through_entry_and_agent", &mut through);
    println!("latency_ratio_p50,{ratio:.3}");
}

/// Returns the processor time of a process in seconds, and its resident memory in KiB.
fn usage(pid: u32) -> (f64, u64) {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap()
        .split_whitespace()
        .collect();
    let ticks: f64 = fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap();
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS"))
        .unwrap();
    let kib = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    (ticks / 100.0, kib)
}

/// Measures processor time and memory of each process when idle, and per request under load. The
/// response lengths of 1, 20 and 100 tokens give the cost per token.
async fn cost() {
    let site = review_site(1000).await;
    let names = ["e1", "t1", "t2", "t3", "c1", "c2", "c3", "s1"];
    let before: Vec<(f64, u64)> = names.iter().map(|name| usage(site.pid(name))).collect();
    tokio::time::sleep(Duration::from_secs(5)).await;
    for (name, before) in names.iter().zip(&before) {
        let (elapsed, kib) = usage(site.pid(name));
        let core = (elapsed - before.0) / 5.0 * 100.0;
        println!("idle,{name},core_percent={core:.2},rss_kib={kib}");
    }
    for tokens in [1u32, 20, 100] {
        let before: Vec<(f64, u64)> = names.iter().map(|name| usage(site.pid(name))).collect();
        let started = Instant::now();
        let total = 4000;
        let workers = (0..100).map(|worker| {
            let site = &site;
            async move {
                for number in 0..total / 100 {
                    let prompt = format!("cost {tokens} {worker} {number}");
                    let result = site.complete("e1", &completion(&prompt, tokens)).await;
                    assert_eq!(result.outcome, "done", "{result:?}");
                }
            }
        });
        join_all(workers).await;
        let rate = f64::from(total) / started.elapsed().as_secs_f64();
        for (name, before) in names.iter().zip(&before) {
            let (elapsed, kib) = usage(site.pid(name));
            let micros = (elapsed - before.0) * 1e6 / f64::from(total);
            println!(
                "load,{name},tokens={tokens},rate={rate:.0},us_a_request={micros:.1},rss_kib={kib}"
            );
        }
    }
}

/// Measures the time from the loss of the leader to the next accepted edit.
async fn failover() {
    let mut site = TestSite::start().await;
    let mut times = Vec::new();
    for round in 0..12 {
        site.add_row(
            &format!("before-{round}"),
            &row("review", &format!("b{round}")),
        )
        .await;
        let mut leader = None;
        while leader.is_none() {
            for name in ["c1", "c2", "c3"] {
                if site.metrics(name).await.contains("dunlinspring_leads 1") {
                    leader = Some(name);
                }
            }
        }
        site.kill(leader.unwrap());
        let started = Instant::now();
        site.add_row(
            &format!("after-{round}"),
            &row("review", &format!("a{round}")),
        )
        .await;
        times.push(started.elapsed().as_secs_f64() * 1e3);
        site.restart(leader.unwrap()).await;
        tokio::time::sleep(Duration::from_millis(1500)).await;
    }
    print("leader_lost_to_next_edit", &mut times);
}

fn link(site: &TestSite) -> Arc<ControlLink> {
    let secret = SiteSecret::new("a-secret-of-the-test-site");
    Arc::new(ControlLink::new(secret, site.control_addresses()))
}

fn edit(number: usize, expected: Position) -> Command {
    Command::Edit(RowEdit {
        id: EditId(format!("bench-{number}")),
        partner: PartnerName::from("fiji"),
        row: RowId(format!("bench-{}", number % 50)),
        expected,
        change: RowChange::Put(RowFields {
            model: ModelName::from("review"),
            class: format!("bench-{}", number % 50),
            urgency: Urgency::Standard,
            weight: 1 + (number % 900) as u32,
            max_running: 10,
            patience_ms: 1000,
            at_most_once: false,
            whole: false,
        }),
    })
}

/// Measures edits and claims per second, each synced to disk on a quorum.
async fn commits() {
    let site = TestSite::start().await;
    let link = link(&site);
    for clients in [1usize, 8, 64] {
        for kind in ["edit", "claim"] {
            let started = Instant::now();
            let each = 2000 / clients.max(8);
            let work = (0..clients).map(|client| {
                let link = link.clone();
                async move {
                    for number in 0..each {
                        let number = client * 10_000 + number;
                        let command = match kind {
                            "edit" => edit(number, Position(0)),
                            _ => Command::Settle(
                                dunlinspring::consensus::claims::ClaimKey {
                                    partner: PartnerName::from("fiji"),
                                    key: CallKey(number.to_string()),
                                },
                                AttemptId {
                                    entry: Incarnation(1),
                                    number: 1,
                                },
                                dunlinspring::consensus::claims::Settlement::Unknown,
                            ),
                        };
                        let time = Duration::from_secs(5);
                        member::propose(&link, "bench", time, command)
                            .await
                            .unwrap();
                    }
                }
            });
            join_all(work).await;
            let rate = (clients * each) as f64 / started.elapsed().as_secs_f64();
            println!("commits,{kind},clients={clients},per_second={rate:.0}");
        }
    }
}

/// Measures the time from the acceptance of an edit until it is in force on all members, for three
/// methods of distribution.
async fn sync() {
    let site = TestSite::start().await;
    let first = link(&site);
    for number in 0..50 {
        let time = Duration::from_secs(5);
        member::propose(&first, "bench", time, edit(number, Position(0)))
            .await
            .unwrap();
    }
    for members in [10usize, 100, 500] {
        for method in ["notice_and_pull", "poll_1s", "whole_table"] {
            let followers: Vec<Arc<SiteFollower>> = (0..members)
                .map(|_| Arc::new(SiteFollower::new(link(&site))))
                .collect();
            join_all(followers.iter().map(|follower| async {
                follower.start().await.unwrap();
            }))
            .await;
            let tasks: Vec<_> = followers
                .iter()
                .enumerate()
                .map(|(number, follower)| {
                    let (follower, link) = (follower.clone(), link(&site));
                    tokio::spawn(async move {
                        match method {
                            "notice_and_pull" => follower.run(number, |_| {}).await,
                            method => follow_by_polling(&follower, &link, number, method).await,
                        }
                    })
                })
                .collect();
            tokio::time::sleep(Duration::from_secs(1)).await;
            let mut times = Vec::new();
            for number in 0..20 {
                let row = RowId(format!("bench-{number}"));
                let expected = followers[0].view().rows[&row].version;
                let id = members * 1000 + method.len() * 100 + number + 50_000;
                let mut command = edit(id, expected);
                if let Command::Edit(edit) = &mut command {
                    edit.row = row.clone();
                    if let RowChange::Put(fields) = &mut edit.change {
                        fields.class = row.0.clone();
                    }
                }
                let time = Duration::from_secs(5);
                member::propose(&first, "bench", time, command)
                    .await
                    .unwrap();
                let started = Instant::now();
                for follower in &followers {
                    while follower.view().rows[&row].version == expected {
                        tokio::time::sleep(Duration::from_millis(1)).await;
                    }
                }
                times.push(started.elapsed().as_secs_f64() * 1e3);
            }
            tasks.iter().for_each(|task| task.abort());
            let bytes = page_bytes(&first, method).await;
            print(
                &format!("in_force,{method},members={members},bytes_an_edit={bytes}"),
                &mut times,
            );
        }
    }
}

async fn follow_by_polling(
    follower: &SiteFollower,
    link: &ControlLink,
    number: usize,
    method: &str,
) {
    loop {
        let (cursor, wait) = match method {
            "poll_1s" => (follower.position(), 0),
            _ => (follower.position(), 1000),
        };
        let page = link.call_any(number, "sync", |client| async move {
            let context = peers::within(Duration::from_secs(3));
            client.sync(context, cursor, wait, false).await
        });
        let mut page = page.await;
        let changed = matches!(&page, Ok(Ok(reply)) if reply.page.to > cursor);
        if method == "whole_table" && changed {
            page = link
                .call_any(number, "sync", |client| async move {
                    let context = peers::within(Duration::from_secs(3));
                    client.sync(context, Position(0), 0, false).await
                })
                .await;
        }
        if let Ok(Ok(reply)) = page {
            follower.view().follow(&reply.page);
        }
        if method == "poll_1s" {
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    }
}

/// Returns the bytes that a member receives for one edit.
async fn page_bytes(link: &ControlLink, method: &str) -> usize {
    let snapshot = link
        .call_leader(
            "sync",
            Duration::from_secs(5),
            |client, context| async move { client.sync(context, Position(0), 0, true).await },
        )
        .await
        .unwrap();
    match method {
        "whole_table" => bincode::serialize(&snapshot).unwrap().len(),
        _ => {
            let rows = snapshot.page.changes.iter();
            let row = rows.filter(|change| {
                matches!(
                    change,
                    dunlinspring::consensus::state::Change::Row(_, Some(_))
                )
            });
            row.map(|change| bincode::serialize(change).unwrap().len())
                .max()
                .unwrap_or(0)
                + 24
        }
    }
}

#[ntex::main]
async fn main() {
    let names: Vec<String> = std::env::args()
        .skip(1)
        .filter(|arg| arg != "--bench")
        .collect();
    let wanted = |name: &str| names.is_empty() || names.iter().any(|arg| arg == name);
    if wanted("latency") {
        latency().await;
    }
    if wanted("cost") {
        cost().await;
    }
    if wanted("failover") {
        failover().await;
    }
    if wanted("commits") {
        commits().await;
    }
    if wanted("sync") {
        sync().await;
    }
}
