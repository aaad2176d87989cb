//! Asks the agents beside replicas before a replica is chosen, and tells them what is sent there.

use std::collections::BTreeSet;

use crate::admission::quote::{QuoteReply, RunOutline};
use crate::clock;
use crate::forward::agent_client::AgentAddress;
use crate::forward::crashes::SentTo;
use crate::forward::daemon::EntryCore;
use crate::forward::replica_table::{Choice, Quotes};
use crate::ids::ReplicaId;

use super::ForwardedRequest;

/// How long quotes are used, in milliseconds. A waiting request asks again after this time rather
/// than whenever some request ends at this entry: agents poll their replicas every 25 ms.
const QUOTES_VALID_MS: u64 = 20;
/// How often a request asks before it is refused for now: first the best homes, then the next.
const MAX_ROUNDS: u32 = 2;

/// Quotes that a request has at hand.
#[derive(Debug, Default)]
pub(super) struct QuotesAtHand {
    quotes: Quotes,
    /// Replicas whose agents were asked, whether or not they replied.
    asked: BTreeSet<ReplicaId>,
    rounds: u32,
    /// When the first round began.
    at_ms: u64,
}

impl QuotesAtHand {
    fn are_valid(&self, now_ms: u64) -> bool {
        self.rounds > 0 && now_ms.saturating_sub(self.at_ms) < QUOTES_VALID_MS
    }
}

impl ForwardedRequest<'_> {
    /// Chooses a replica: by the quotes of agents if the request asks for them and any are there,
    /// or else by the known loads.
    pub(super) async fn choose(&mut self) -> Choice {
        if !self.asks_agents() {
            self.quoted = QuotesAtHand::default();
            return self.choose_by_load();
        }
        let now_ms = clock::monotonic_ms();
        if !self.quoted.are_valid(now_ms) {
            self.quoted = QuotesAtHand {
                at_ms: now_ms,
                ..QuotesAtHand::default()
            };
            self.ask_next_homes().await;
        }
        let mut choice = self.choose_by_quotes();
        while finds_no_home(&choice)
            && !self.quoted.quotes.is_empty()
            && self.quoted.rounds < MAX_ROUNDS
        {
            self.ask_next_homes().await;
            choice = self.choose_by_quotes();
        }
        self.log_quote(&choice);
        if !finds_no_home(&choice) {
            return choice;
        }
        // Replicas whose agents were not asked or do not reply are judged by their known loads.
        match self.choose_by_load() {
            Choice::Full => choice,
            by_load => by_load,
        }
    }

    /// Whether the request has quotes, which become too old while it waits.
    pub(super) fn quotes_expire(&self) -> bool {
        !self.quoted.quotes.is_empty()
    }

    /// Whether the request asks agents: those of services without engines have none, and for
    /// services that spend little time on prompts a quote is not worth its time.
    fn asks_agents(&self) -> bool {
        let bound = |service| self.core.replicas.borrow().is_prefill_bound(service);
        self.core.agents.is_some()
            && self.need.model.is_some()
            && self.need.service.as_ref().is_some_and(bound)
    }

    /// Asks the agents of the best homes that were not asked yet.
    async fn ask_next_homes(&mut self) {
        let Some(agents) = &self.core.agents else {
            return;
        };
        self.quoted.rounds += 1;
        let homes = self.next_homes();
        let replies = agents.ask(&homes, &self.outline()).await;
        self.log.record_asked(replies.asked, replies.quotes.len());
        let asked = homes.into_iter().map(|agent| agent.replica);
        self.quoted.asked.extend(asked);
        self.quoted.quotes.extend(replies.quotes);
    }

    fn next_homes(&self) -> Vec<AgentAddress> {
        let core = self.core;
        let replicas = core.replicas.borrow();
        let homes = replicas.quote_candidates(
            clock::monotonic_ms(),
            &self.need,
            &self.attempted,
            self.bounds,
            &self.quoted.asked,
        );
        homes.iter().filter_map(|r| core.agent_of(r)).collect()
    }

    fn choose_by_quotes(&self) -> Choice {
        let now_ms = clock::monotonic_ms();
        let quotes = &self.quoted.quotes;
        match quotes.is_empty() {
            true => Choice::Full,
            false => self.core.replicas.borrow().choose_quoted(
                now_ms,
                &self.need,
                &self.attempted,
                self.bounds,
                quotes,
            ),
        }
    }

    /// Chooses among the replicas without a quote.
    fn choose_by_load(&self) -> Choice {
        let now_ms = clock::monotonic_ms();
        let replicas = self.core.replicas.borrow();
        let quotes = &self.quoted.quotes;
        replicas.choose_unquoted(now_ms, &self.need, &self.attempted, self.bounds, quotes)
    }

    /// Logs the quote of the chosen replica, or else the best one.
    fn log_quote(&mut self, choice: &Choice) {
        let replicas = self.core.replicas.borrow();
        let first_ms = |quote: &QuoteReply| replicas.quoted_first_event_ms(&self.need, quote);
        let quotes = &self.quoted.quotes;
        let quote = match choice {
            Choice::Send(replica) | Choice::Fetch(replica) => quotes.get(replica),
            _ => quotes
                .values()
                .min_by(|a, b| first_ms(a).total_cmp(&first_ms(b))),
        };
        if let Some(quote) = quote {
            self.log
                .record_quote(first_ms(quote) as u64, quote.report_age_ms);
        }
    }

    /// Time until a quoted replica should have free capacity, in milliseconds; `None` without
    /// quotes.
    pub(super) fn quoted_capacity_in_ms(&self) -> Option<u64> {
        let replicas = self.core.replicas.borrow();
        replicas.quoted_capacity_in_ms(&self.need, &self.quoted.quotes)
    }

    /// Tells the agent beside a replica that the request is sent there now.
    pub(super) fn announce_run(&self, to: &SentTo) -> Option<AnnouncedRun> {
        if !self.asks_agents() {
            return None;
        }
        let replicas = self.core.replicas.borrow();
        let agent = self.core.agent_of(replicas.record(&to.incarnation.id)?)?;
        drop(replicas);
        let agents = self.core.agents.as_ref()?;
        agents.notify_sent(&agent, self.outline());
        Some(AnnouncedRun {
            agent,
            request: self.id.clone(),
        })
    }

    fn outline(&self) -> RunOutline {
        let need = &self.need;
        let answer_tokens = need.tokens.saturating_sub(need.prompt_tokens);
        RunOutline {
            request: self.id.clone(),
            model: need.model.clone().unwrap_or_else(|| "".into()),
            adapter: need.adapter.clone(),
            parts: need.parts.clone(),
            prompt_tokens: saturating_u32(need.prompt_tokens),
            answer_tokens: saturating_u32(answer_tokens),
            urgency: need.urgency as u8,
            max_gap_ms: saturating_u32(need.max_gap_ms),
            deadline_ms: saturating_u32(self.left().as_millis() as u64),
        }
    }
}

/// A request of which an agent was told that it is sent to its replica.
pub(super) struct AnnouncedRun {
    agent: AgentAddress,
    request: String,
}

impl AnnouncedRun {
    /// Tells the agent that the request is no longer there, although the replica may not have run
    /// it to its end.
    pub(super) fn end(self, core: &EntryCore) {
        if let Some(agents) = &core.agents {
            agents.notify_ended(&self.agent, &self.request);
        }
    }
}

/// Whether other replicas may be able to take the request.
fn finds_no_home(choice: &Choice) -> bool {
    matches!(choice, Choice::Full | Choice::NoAdapter)
}

fn saturating_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
