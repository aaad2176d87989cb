//! Charges requests to their accounts' quotas, and draws from the leader's token buckets.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use crate::clock;
use crate::forward::daemon::EntryCore;
use crate::forward::request_log::LineKind;
use crate::ids::AccountName;
use crate::table::quota::{QuotaCharge, QuotaGrants, QuotaHolder, QuotaRequest};

/// Longest time between two quota requests of an entry whose accounts have demand.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for a quota reply: a call to the leader takes two round trips and one batch of
/// events; a reply that takes much longer is lost.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(150);
/// Shortest time between two quota requests: demand that arrives meanwhile shares the next one.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// Why a request cannot be charged to its account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaRefusal {
    /// The account is at its limit, for this long.
    Over(Duration),
    /// No leader replied in time.
    Unknown,
}

/// Quotas held by an entry, and notifications for requests that wait for more.
pub struct QuotaClient {
    held: RefCell<QuotaHolder>,
    demand: Notify,
    updated: Notify,
}

impl QuotaClient {
    /// Creates a client with the given holder.
    pub fn new(held: QuotaHolder) -> Self {
        Self {
            held: RefCell::new(held),
            demand: Notify::new(),
            updated: Notify::new(),
        }
    }

    /// Charges a request to its account's quota, and requests more from the leader if the drawn
    /// part is spent. Returns for how long the account is at its limit, if it is.
    pub async fn pay(&self, account: &AccountName, cost: u64) -> Result<(), QuotaRefusal> {
        self.held.borrow_mut().record_request(account, cost);
        let until = Instant::now() + REQUEST_TIMEOUT;
        loop {
            let updated = self.updated.notified();
            let now_ms = clock::monotonic_ms();
            let charge = self.held.borrow_mut().charge(now_ms, account, cost);
            if self.held.borrow().has_unmet_demand() {
                self.demand.notify_one();
            }
            match charge {
                QuotaCharge::Paid => return Ok(()),
                QuotaCharge::Limited(ms) => {
                    return Err(QuotaRefusal::Over(Duration::from_millis(ms)));
                }
                QuotaCharge::Unknown => return Err(QuotaRefusal::Unknown),
                QuotaCharge::Ask if Instant::now() >= until => return Err(QuotaRefusal::Unknown),
                QuotaCharge::Ask => {
                    let _ = tokio::time::timeout_at(until.into(), updated).await;
                }
            }
        }
    }

    /// Refunds the cost of a request that did not run.
    pub fn refund(&self, account: &AccountName, cost: u64) {
        let now_ms = clock::monotonic_ms();
        self.held.borrow_mut().refund(now_ms, account, cost);
    }

    /// Forgets which accounts were at their limit, after a change of limits.
    pub fn forget_short(&self) {
        self.held.borrow_mut().clear_short();
    }
}

/// Draws from the quotas of accounts: regularly while there is demand, and immediately if requests
/// wait for it.
pub async fn draw_quotas(core: Rc<EntryCore>) {
    loop {
        let demand = core.quotas.demand.notified();
        let _ = tokio::time::timeout(REQUEST_INTERVAL, demand).await;
        let sent_ms = clock::monotonic_ms();
        let Some(ask) = core.quotas.held.borrow_mut().next_request(sent_ms) else {
            continue;
        };
        let number = ask.number;
        let granted = core
            .link()
            .call_leader("quota", REQUEST_TIMEOUT, |client, context| {
                let ask = ask.clone();
                async move { client.quota(context, ask).await }
            })
            .await;
        match granted {
            Ok(grants) => {
                let now_ms = clock::monotonic_ms();
                log_short_accounts(&core, &ask, &grants);
                let mut quotas = core.quotas.held.borrow_mut();
                quotas.apply_grants(number, sent_ms, now_ms, &grants);
            }
            Err(error) => {
                tracing::debug!(%error, "quota request failed");
                core.quotas.held.borrow_mut().record_missing_reply();
            }
        }
        core.quotas.updated.notify_waiters();
        tokio::time::sleep(MIN_REQUEST_INTERVAL).await;
    }
}

/// Logs accounts that are at their limit.
fn log_short_accounts(core: &EntryCore, ask: &QuotaRequest, grants: &QuotaGrants) {
    let short = grants.accounts.iter();
    for (account, grant) in short.filter(|(_, grant)| grant.retry_after_ms > 0) {
        core.count("dunlinspring_short_accounts_total", &[]);
        let claim = ask.claims.get(account).copied().unwrap_or_default();
        if core.lines.borrow_mut().may_write(LineKind::Failed) {
            let (drawn, again_ms) = (grant.drawn, grant.retry_after_ms);
            let (least, needed) = (claim.cheapest, claim.needed);
            let number = ask.number;
            tracing::info!(%account, number, least, needed, drawn, again_ms, "account at its limit");
        }
    }
}
