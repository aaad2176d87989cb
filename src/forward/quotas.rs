//! Pays for requests out of their accounts' quotas, and draws from the leader's buckets.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use crate::clock;
use crate::forward::daemon::EntryCore;
use crate::ids::AccountName;
use crate::table::quota::{QuotaCharge, QuotaGrants, QuotaHolder, QuotaRequest};

/// Longest time between two questions of an entry whose accounts have demand.
const REGULAR: Duration = Duration::from_millis(500);
/// Longest wait for an answer on quotas: a call to the leader takes two round trips and its
/// batch of events; much longer, and it is lost.
const ASK_TIME: Duration = Duration::from_millis(150);
/// Least time between two questions for quotas: what comes meanwhile shares the next.
const PAUSE: Duration = Duration::from_millis(10);

/// Why an account does not pay for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaRefusal {
    /// It is at its limit, for so long.
    Over(Duration),
    /// No leader told what is left in time.
    Unknown,
}

/// What an entry holds of all quotas, and who waits for more.
pub struct QuotaClient {
    held: RefCell<QuotaHolder>,
    asked: Notify,
    told: Notify,
}

impl QuotaClient {
    /// Begins with what is held.
    pub fn new(held: QuotaHolder) -> Self {
        Self {
            held: RefCell::new(held),
            asked: Notify::new(),
            told: Notify::new(),
        }
    }

    /// Pays for a request out of its account's quota, asking the leader where what was
    /// drawn is spent. Returns how long the account is short where it is.
    pub async fn pay(&self, account: &AccountName, cost: u64) -> Result<(), QuotaRefusal> {
        self.held.borrow_mut().record_request(account, cost);
        let give_up = Instant::now() + ASK_TIME;
        loop {
            let told = self.told.notified();
            let now_ms = clock::monotonic_ms();
            let charge = self.held.borrow_mut().charge(now_ms, account, cost);
            if self.held.borrow().has_unmet_demand() {
                self.asked.notify_one();
            }
            match charge {
                QuotaCharge::Paid => return Ok(()),
                QuotaCharge::Limited(ms) => {
                    return Err(QuotaRefusal::Over(Duration::from_millis(ms)));
                }
                QuotaCharge::Unknown => return Err(QuotaRefusal::Unknown),
                QuotaCharge::Ask if Instant::now() >= give_up => return Err(QuotaRefusal::Unknown),
                QuotaCharge::Ask => {
                    let _ = tokio::time::timeout_at(give_up.into(), told).await;
                }
            }
        }
    }

    /// Gives back what a request cost that did not run.
    pub fn refund(&self, account: &AccountName, cost: u64) {
        let now_ms = clock::monotonic_ms();
        self.held.borrow_mut().refund(now_ms, account, cost);
    }

    /// Forgets which accounts were short: limits have changed.
    pub fn forget_short(&self) {
        self.held.borrow_mut().clear_short();
    }
}

/// Draws from the quotas of accounts: regularly while there is demand, and at once when
/// requests wait for it.
pub async fn draw_quotas(core: Rc<EntryCore>) {
    loop {
        let hungry = core.quotas.asked.notified();
        let _ = tokio::time::timeout(REGULAR, hungry).await;
        let asked_ms = clock::monotonic_ms();
        let Some(ask) = core.quotas.held.borrow_mut().next_request(asked_ms) else {
            continue;
        };
        let number = ask.number;
        let granted = core
            .link()
            .call_leader("quota", ASK_TIME, |client, context| {
                let ask = ask.clone();
                async move { client.quota(context, ask).await }
            })
            .await;
        match granted {
            Ok(grants) => {
                let now_ms = clock::monotonic_ms();
                log_short(&core, &ask, &grants);
                let mut quotas = core.quotas.held.borrow_mut();
                quotas.apply_grants(number, asked_ms, now_ms, &grants);
            }
            Err(error) => {
                tracing::debug!(%error, "quotas were not drawn");
                core.quotas.held.borrow_mut().record_missing_reply();
            }
        }
        core.quotas.told.notify_waiters();
        tokio::time::sleep(PAUSE).await;
    }
}

/// Logs accounts that are at their limit.
fn log_short(core: &EntryCore, ask: &QuotaRequest, grants: &QuotaGrants) {
    let short = grants.accounts.iter();
    for (account, grant) in short.filter(|(_, grant)| grant.retry_after_ms > 0) {
        core.count("dunlinspring_short_accounts_total", &[]);
        let claim = ask.claims.get(account).copied().unwrap_or_default();
        if core.lines.borrow_mut().may_write(false) {
            let (drawn, again_ms) = (grant.drawn, grant.retry_after_ms);
            let (least, needed) = (claim.cheapest, claim.needed);
            let number = ask.number;
            tracing::info!(%account, number, least, needed, drawn, again_ms, "account short");
        }
    }
}
