//! Client accounts through an entry: which keys are obeyed and for how long, what replicas
//! are told, and limits.

#[path = "../support_accounts/mod.rs"]
mod support_accounts;

use std::time::Duration;

use dunlinspring::table::accounts::{AccountList, AccountSpec, QuotaSpec, QuotaUnit};

use crate::support::{Answer, Behaviour, ForwardSite, RouteShape, answered};
use support_accounts::account;

const PLAIN: RouteShape = RouteShape::plain("/plain/");
const OPEN: RouteShape = RouteShape::open("/open/");

fn book(accounts: Vec<AccountSpec>) -> Option<AccountList> {
    Some(AccountList { accounts })
}

/// A site with two accounts, and a replica that answers all.
async fn start(accounts: Option<AccountList>) -> ForwardSite {
    let mut site = ForwardSite::start_bare().await;
    let configured = async || {
        let taken = site.configure_accounts(1, &[PLAIN, OPEN], accounts.clone());
        taken.await.ok()
    };
    answered("a leader", configured).await;
    site.add_replica("r1", vec![Behaviour::Answer(200, "done"); 50])
        .await;
    answered("the configuration", async || {
        let answer = site.ask("GET", "/none/", "probe", "").await;
        (answer.status == 404).then_some(())
    })
    .await;
    site
}

async fn ask_until(site: &ForwardSite, key: &str, status: u16) -> Answer {
    answered("the answer", async || {
        let answer = site.ask_as("/plain/x", "until", key, "").await;
        (answer.status == status).then_some(answer)
    })
    .await
}

#[ntex::test]
async fn a_key_stays_here_and_its_account_goes_on() {
    let site = start(book(vec![
        account("acme", &["k1", "k2"]),
        account("other", &["k3"]),
    ]))
    .await;
    let answer = site
        .ask_as("/plain/x", "id-1", "k2", "account: forged\r\n")
        .await;
    assert_eq!(answer.status, 200);
    let seen = site.seen("r1").pop().unwrap();
    assert_eq!(seen.header("account"), Some("acme"));
    assert_eq!(seen.header("authorization"), None);
    let named = seen
        .headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("account"));
    assert_eq!(named.count(), 1);
}

#[ntex::test]
async fn without_a_known_key_nothing_runs_but_on_public_routes() {
    let site = start(book(vec![account("acme", &["k1"])])).await;
    let long = "k".repeat(10_000);
    let shown = [
        String::new(),
        "Authorization: Bearer k2\r\n".to_owned(),
        "Authorization: bearer k1\r\n".to_owned(),
        "Authorization: Basic k1\r\n".to_owned(),
        "Authorization: Bearer k1\r\nAuthorization: Bearer k1\r\n".to_owned(),
        "Authorization: Bearer K1\r\n".to_owned(),
        "Authorization: Bearer \r\n".to_owned(),
        format!("Authorization: Bearer {long}\r\n"),
    ];
    for (number, line) in shown.iter().enumerate() {
        for (target, status) in [("/plain/x", 401), ("/open/x", 200)] {
            let text = format!(
                "GET {target} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id-{number}\r\n\
                 Connection: close\r\n{line}Account: acme\r\n\r\n"
            );
            let answer = site.send_raw(&text).await;
            assert_eq!(answer.status, status, "{target} {line:.40}");
            assert_eq!(answer.header("www-authenticate").is_some(), status == 401);
        }
    }
    let seen = site.seen("r1");
    assert_eq!(seen.len(), shown.len());
    for request in seen {
        assert_eq!(request.header("account"), None);
        assert_eq!(request.header("authorization"), None);
    }
}

#[ntex::test]
async fn a_key_that_was_taken_away_is_refused_and_a_new_one_is_taken() {
    let site = start(book(vec![account("acme", &["k1", "k2"])])).await;
    assert_eq!(site.ask_as("/plain/x", "a", "k1", "").await.status, 200);
    let next = book(vec![account("acme", &["k2", "k3"])]);
    site.configure_accounts(2, &[PLAIN, OPEN], next)
        .await
        .unwrap();
    ask_until(&site, "k3", 200).await;
    ask_until(&site, "k1", 401).await;
    assert_eq!(site.ask_as("/plain/x", "b", "k2", "").await.status, 200);
}

#[ntex::test]
async fn where_nothing_newer_can_be_heard_no_key_is_obeyed_for_long() {
    let mut site = ForwardSite::start_bounded(1_500).await;
    let accounts = book(vec![account("acme", &["k1"])]);
    let configured = async || {
        let taken = site.configure_accounts(1, &[PLAIN, OPEN], accounts.clone());
        taken.await.ok()
    };
    answered("a leader", configured).await;
    site.add_replica("r1", vec![Behaviour::Answer(200, "done"); 500])
        .await;
    ask_until(&site, "k1", 200).await;
    site.stop_control().await;
    let refused = ask_until(&site, "k1", 503).await;
    assert!(refused.header("retry-after").is_some());
    let ran = site.seen("r1").len();
    tokio::time::sleep(Duration::from_millis(100)).await;
    // Neither a known key nor an unknown one is judged; a public route stays open.
    for (key, id) in [("k1", "a"), ("k9", "b")] {
        assert_eq!(site.ask_as("/plain/x", id, key, "").await.status, 503);
    }
    assert_eq!(site.ask("GET", "/open/x", "c", "").await.status, 200);
    assert_eq!(site.seen("r1").len(), ran + 1);
}

#[ntex::test]
async fn an_account_at_its_limit_is_told_when_to_come_back() {
    let mut limited = account("acme", &["k1"]);
    limited.quota = Some(QuotaSpec {
        unit: QuotaUnit::Tokens,
        per_s: 0.001,
        burst: 1_000.0,
        plain_tokens: 100,
    });
    let site = start(book(vec![limited, account("free", &["k2"])])).await;
    // No leader has given anything before: the whole burst is there, ten requests.
    let mut statuses = Vec::new();
    for number in 0..30 {
        let id = format!("id-{number}");
        // Where the leader's answer came too late, what is left is not known: asked again.
        let answer = answered("what is left", async || {
            let answer = site.ask_as("/plain/x", &id, "k1", "").await;
            (answer.status != 503).then_some(answer)
        })
        .await;
        if answer.status == 429 {
            let after: f64 = answer.header("retry-after").unwrap().parse().unwrap();
            assert!(after > 0.0);
        }
        statuses.push(answer.status);
    }
    assert_eq!(statuses[0], 200);
    assert_eq!(statuses[29], 429);
    assert!(statuses.iter().all(|status| matches!(status, 200 | 429)));
    let ran = site.seen("r1").len();
    assert_eq!(ran, 10);
    assert_eq!(site.ask_as("/plain/x", "other", "k2", "").await.status, 200);
    let [acme, free] = &site.account_statuses().await[..] else {
        panic!("two accounts");
    };
    let usage = acme.limit.unwrap().usage;
    assert_eq!((acme.name.as_str(), acme.keys), ("acme", 1));
    assert_eq!((usage.level, usage.short), (0, true));
    assert_eq!((free.name.as_str(), free.limit), ("free", None));
}

#[ntex::test]
async fn the_rank_of_an_account_goes_before_that_of_the_route() {
    let routes = [RouteShape::model("/model/")];
    let mut second = account("second", &["k2"]);
    second.priority = Some(2);
    let accounts = book(vec![account("first", &["k1"]), second]);
    let mut site = ForwardSite::start_bare().await;
    let configured = async || {
        let taken = site.configure_accounts(1, &routes, accounts.clone());
        taken.await.ok()
    };
    answered("a leader", configured).await;
    site.add_model_replica("r1", "m").await;
    for (key, place) in [("k1", "0"), ("k2", "2")] {
        let answer = site.ask_as("/model/x", key, key, "Model: m\r\n").await;
        assert_eq!(answer.status, 200);
        let seen = site.seen("r1").pop().unwrap();
        assert_eq!(seen.header("priority"), Some(place), "{key}");
    }
}
