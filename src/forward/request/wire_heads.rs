//! Heads on the wire: a request's needs from its headers, the head sent to a replica, and the
//! response head sent to the client.

use crate::forward::daemon::EntryCore;
use crate::forward::head::{self, Framing, ResponseHead};
use crate::forward::prompt_parts;
use crate::forward::replica_table::Need;
use crate::ids::{ModelName, ReplicaId, ServiceName};

use super::ForwardedRequest;

/// Longest body that is copied behind the head, so that both are written at once.
const MAX_COPIED_BYTES: usize = 16 * 1024;

impl<'a> ForwardedRequest<'a> {
    /// Builds the response head for the client, with the framing of this hop.
    pub(super) fn response_head(
        &self,
        head: &ResponseHead,
        framing: &[(&str, &str)],
        close: bool,
    ) -> Vec<u8> {
        let mut text = format!("HTTP/1.1 {} {}\r\n", head.status, head.reason);
        // What the replica announces about itself is meant for this system only.
        let own = [self.core.names.leaving, self.core.names.limit];
        for (name, value) in head::end_to_end(&head.headers, &own) {
            head::push_header(&mut text, name, value);
        }
        for (name, value) in framing {
            head::push_header(&mut text, name, value);
        }
        if close {
            head::push_header(&mut text, "Connection", "close");
        }
        text.push_str("\r\n");
        text.into_bytes()
    }

    /// Builds the response for the client from a body that is complete.
    pub(super) fn whole_response(&self, head: &ResponseHead, body: &[u8], close: bool) -> Vec<u8> {
        let length = body.len().to_string();
        let length = match head::is_bodiless(&self.request.head.method, head.status) {
            // A length of this hop would claim that the resource is empty.
            true => head::find(&head.headers, "content-length").filter(|_| head.status != 204),
            false => Some(length.as_str()),
        };
        let framing: Vec<(&str, &str)> = length
            .map(|length| ("Content-Length", length))
            .into_iter()
            .collect();
        let mut bytes = self.response_head(head, &framing, close);
        bytes.extend_from_slice(body);
        bytes
    }

    /// Builds the request that the replica gets, and returns it with the body that follows it.
    pub(super) fn outgoing(&self, replica: &ReplicaId) -> (Vec<u8>, &'a [u8]) {
        let names = &self.core.names;
        let head = &self.request.head;
        let mut text = format!("{} {} HTTP/1.1\r\n", head.method, head.target);
        let mut drop = vec![
            names.deadline_ms,
            names.expect_replica,
            names.priority,
            "expect",
        ];
        drop.extend_from_slice(names.reserved);
        if self.routing.configuration.accounts.is_some() {
            // The account header is set by this system alone, and the key must not be passed on.
            drop.extend([names.key, names.account]);
        }
        let resumed = self.event_buffer.last_id();
        if resumed.is_some() {
            drop.push(names.last_event);
        }
        for (name, value) in head::end_to_end(&head.headers, &drop) {
            head::push_header(&mut text, name, value);
        }
        let left_ms = self.left().as_millis().to_string();
        head::push_header(&mut text, names.deadline_ms, &left_ms);
        head::push_header(&mut text, names.expect_replica, replica.as_str());
        if self.need.model.is_some() {
            let urgency = self.need.urgency.to_string();
            head::push_header(&mut text, names.priority, &urgency);
        }
        if let Some(caller) = &self.caller {
            head::push_header(&mut text, names.account, caller.account.as_str());
        }
        if let Some(id) = resumed {
            head::push_header(&mut text, names.last_event, id);
        }
        let bare =
            head.framing == Framing::Length(0) && matches!(head.method.as_str(), "GET" | "HEAD");
        if !bare {
            let length = self.request.body.len().to_string();
            head::push_header(&mut text, "Content-Length", &length);
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        let body = self.request.body.as_slice();
        if body.len() > MAX_COPIED_BYTES {
            return (bytes, body);
        }
        bytes.extend_from_slice(body);
        (bytes, &[])
    }
}

/// Reads from the headers what a request needs of a replica.
pub(super) fn need(
    core: &EntryCore,
    headers: &[head::Header],
    service: Option<ServiceName>,
) -> Need {
    let names = &core.names;
    let model = head::find(headers, names.model);
    let (model, adapter) = match model.map(|text| text.split_once('/')) {
        Some(Some((model, adapter))) => (Some(model), Some(adapter.to_owned())),
        Some(None) => (model, None),
        None => (None, None),
    };
    let tokens = head::find(headers, names.tokens).unwrap_or_default();
    let tokens = tokens
        .split(',')
        .filter_map(|part| part.trim().parse::<u64>().ok());
    let prompt_tokens = tokens.clone().next().unwrap_or(0);
    let prefix = head::find(headers, names.prefix).unwrap_or_default();
    let parts = prompt_parts::parse(model.unwrap_or_default(), adapter.as_deref(), prefix);
    let name = service.as_ref().map_or("", |service| service.as_str());
    let part_digests = prompt_parts::digests(name, prefix);
    Need {
        service,
        model: model.map(ModelName::from),
        adapter,
        parts,
        part_digests,
        prompt_tokens,
        tokens: tokens.sum(),
        ..Need::default()
    }
}
