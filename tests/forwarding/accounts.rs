//! Client accounts at an entry: which API keys are accepted and for how long, which headers
//! replicas receive, and quotas.

#[path = "../support_accounts/mod.rs"]
mod support_accounts;

use std::time::Duration;

use dunlinspring::table::accounts::{AccountList, AccountSpec, QuotaSpec, QuotaUnit};

use crate::support::{Behaviour, ForwardSite, Response, RouteShape, wait_for};
use support_accounts::account;

const PLAIN: RouteShape = RouteShape::plain("/plain/");
const OPEN: RouteShape = RouteShape::open("/open/");

fn account_list(accounts: Vec<AccountSpec>) -> Option<AccountList> {
    Some(AccountList { accounts })
}

/// Starts a site with client accounts and a replica that responds to all requests.
async fn start(accounts: Option<AccountList>) -> ForwardSite {
    let mut site = ForwardSite::start_bare().await;
    let configured = async || {
        let taken = site.configure_accounts(1, &[PLAIN, OPEN], accounts.clone());
        taken.await.ok()
    };
    wait_for("a leader", configured).await;
    site.add_replica("r1", vec![Behaviour::Response(200, "done"); 50])
        .await;
    wait_for("the configuration", async || {
        let answer = site.send("GET", "/none/", "probe", "").await;
        (answer.status == 404).then_some(())
    })
    .await;
    site
}

async fn send_until(site: &ForwardSite, key: &str, status: u16) -> Response {
    wait_for("the status", async || {
        let answer = site.send_as("/plain/x", "until", key, "").await;
        (answer.status == status).then_some(answer)
    })
    .await
}

#[ntex::test]
async fn an_api_key_is_not_forwarded_but_its_account_is() {
    let site = start(account_list(vec![
        account("acme", &["k1", "k2"]),
        account("other", &["k3"]),
    ]))
    .await;
    let answer = site
        .send_as("/plain/x", "id-1", "k2", "account: forged\r\n")
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
async fn only_public_routes_run_without_a_known_key() {
    let site = start(account_list(vec![account("acme", &["k1"])])).await;
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
async fn a_revoked_key_is_refused_and_a_new_key_is_accepted() {
    let site = start(account_list(vec![account("acme", &["k1", "k2"])])).await;
    assert_eq!(site.send_as("/plain/x", "a", "k1", "").await.status, 200);
    let next = account_list(vec![account("acme", &["k2", "k3"])]);
    site.configure_accounts(2, &[PLAIN, OPEN], next)
        .await
        .unwrap();
    send_until(&site, "k3", 200).await;
    send_until(&site, "k1", 401).await;
    assert_eq!(site.send_as("/plain/x", "b", "k2", "").await.status, 200);
}

#[ntex::test]
async fn no_key_is_accepted_for_long_without_newer_state() {
    let mut site = ForwardSite::start_bounded(1_500).await;
    let accounts = account_list(vec![account("acme", &["k1"])]);
    let configured = async || {
        let taken = site.configure_accounts(1, &[PLAIN, OPEN], accounts.clone());
        taken.await.ok()
    };
    wait_for("a leader", configured).await;
    site.add_replica("r1", vec![Behaviour::Response(200, "done"); 500])
        .await;
    send_until(&site, "k1", 200).await;
    site.stop_control().await;
    let refused = send_until(&site, "k1", 503).await;
    assert!(refused.header("retry-after").is_some());
    let before = site.seen("r1").len();
    tokio::time::sleep(Duration::from_millis(100)).await;
    // Both known and unknown keys get 503, not 401; a public route still works.
    for (key, id) in [("k1", "a"), ("k9", "b")] {
        assert_eq!(site.send_as("/plain/x", id, key, "").await.status, 503);
    }
    assert_eq!(site.send("GET", "/open/x", "c", "").await.status, 200);
    assert_eq!(site.seen("r1").len(), before + 1);
}

#[ntex::test]
async fn an_account_over_its_quota_gets_429_with_retry_after() {
    let mut limited = account("acme", &["k1"]);
    limited.quota = Some(QuotaSpec {
        unit: QuotaUnit::Tokens,
        per_s: 0.001,
        burst: 1_000.0,
        plain_tokens: 100,
    });
    let site = start(account_list(vec![limited, account("free", &["k2"])])).await;
    // No leader has granted anything before, so the full burst is available: ten requests.
    let mut statuses = Vec::new();
    for number in 0..30 {
        let id = format!("id-{number}");
        // 503 means that the leader's reply came too late to know the quota: sent again.
        let answer = wait_for("the quota", async || {
            let answer = site.send_as("/plain/x", &id, "k1", "").await;
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
    let before = site.seen("r1").len();
    assert_eq!(before, 10);
    assert_eq!(
        site.send_as("/plain/x", "other", "k2", "").await.status,
        200
    );
    let [acme, free] = &site.account_statuses().await[..] else {
        panic!("two accounts");
    };
    let usage = acme.limit.unwrap().usage;
    assert_eq!((acme.name.as_str(), acme.keys), ("acme", 1));
    assert_eq!((usage.level, usage.short), (0, true));
    assert_eq!((free.name.as_str(), free.limit), ("free", None));
}

#[ntex::test]
async fn an_account_priority_overrides_the_route_priority() {
    let routes = [RouteShape::model("/model/")];
    let mut second = account("second", &["k2"]);
    second.priority = Some(2);
    let accounts = account_list(vec![account("first", &["k1"]), second]);
    let mut site = ForwardSite::start_bare().await;
    let configured = async || {
        let taken = site.configure_accounts(1, &routes, accounts.clone());
        taken.await.ok()
    };
    wait_for("a leader", configured).await;
    site.add_model_replica("r1", "m").await;
    for (key, place) in [("k1", "0"), ("k2", "2")] {
        let answer = site.send_as("/model/x", key, key, "Model: m\r\n").await;
        assert_eq!(answer.status, 200);
        let seen = site.seen("r1").pop().unwrap();
        assert_eq!(seen.header("priority"), Some(place), "{key}");
    }
}
