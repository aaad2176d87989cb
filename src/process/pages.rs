//! Pages of changes whose configuration is so large that it is fetched apart from them.
//!
//! All members pull a new configuration at once. A control host that answers each with the whole
//! page would hold as many copies as it has members.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};

use crate::consensus::state::Change;
use crate::ids::Position;
use crate::process::peers::{self, ControlLink, PeerError};
use crate::process::transfer::{LARGE_BYTES, PIECE_BYTES, PIECE_TIMEOUT};
use crate::process::wire::{ControlRefusal, ControlWireClient};
use crate::routing::view::SyncPage;
use crate::table::configuration::Configuration;

/// Number of encoded configurations that a control host keeps: members may still be fetching one
/// when the next is in force.
const MAX_ENCODED: usize = 2;

/// Page of changes, as it is sent to a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncReply {
    /// The page.
    pub page: SyncPage,
    /// Version of the configuration that the page leaves out, to be fetched apart from it.
    pub detached: Option<u64>,
}

/// Slice of a value that a caller fetches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValueSlice {
    /// Size of the whole value, in bytes.
    pub total: u64,
    /// The slice.
    pub bytes: Bytes,
}

impl ValueSlice {
    /// Returns the slice of a value from an offset on; it is empty after the end.
    pub fn new(value: &Bytes, offset: u64) -> Self {
        let from = value.len().min(offset as usize);
        let until = value.len().min(from + PIECE_BYTES);
        Self {
            total: value.len() as u64,
            bytes: value.slice(from..until),
        }
    }
}

/// Latest large configurations of a control host, encoded once for all members.
#[derive(Debug, Default)]
pub struct EncodedConfigurations {
    by_version: VecDeque<(u64, Bytes)>,
}

impl EncodedConfigurations {
    /// Takes a large configuration out of a page.
    pub fn detach(&mut self, mut page: SyncPage) -> SyncReply {
        let is_large = |change: &Change| match change {
            Change::Configuration(configuration) => {
                let size = bincode::serialized_size(configuration);
                size.is_ok_and(|size| size >= LARGE_BYTES as u64)
            }
            _ => false,
        };
        let found = page.changes.iter().position(is_large);
        let detached = match found.map(|at| page.changes.remove(at)) {
            Some(Change::Configuration(configuration)) => {
                self.encode(&configuration);
                Some(configuration.version)
            }
            _ => None,
        };
        SyncReply { page, detached }
    }

    /// Returns the encoded configuration with that version, if it is kept.
    pub fn get(&self, version: u64) -> Option<&Bytes> {
        let mut kept = self.by_version.iter();
        kept.find(|(known, _)| *known == version)
            .map(|(_, bytes)| bytes)
    }

    fn encode(&mut self, configuration: &Configuration) {
        if self.get(configuration.version).is_some() {
            return;
        }
        let bytes = bincode::serialize(configuration).expect("configurations encode into memory");
        if self.by_version.len() == MAX_ENCODED {
            self.by_version.pop_front();
        }
        self.by_version
            .push_back((configuration.version, bytes.into()));
    }
}

/// Returns a page with the configuration that was left out of it, fetched from the host that sent
/// it.
pub async fn complete(
    link: &ControlLink,
    address: &str,
    reply: SyncReply,
) -> Result<SyncPage, PeerError> {
    let SyncReply { mut page, detached } = reply;
    if let Some(version) = detached {
        let call = |client: ControlWireClient, offset| async move {
            let context = peers::within(PIECE_TIMEOUT);
            client.configuration(context, version, offset).await
        };
        let bytes = fetch(link, address, "configuration", call).await?;
        let refused = |_| refusal(address, "configuration", ControlRefusal::Busy);
        let configuration: Configuration = bincode::deserialize(&bytes).map_err(refused)?;
        page.changes
            .push(Change::Configuration(Arc::new(configuration)));
    }
    Ok(page)
}

/// Reads the whole state that members follow from the leader; linearizable.
pub async fn read_newest(link: &ControlLink, timeout: Duration) -> Result<SyncPage, PeerError> {
    let call = |client: ControlWireClient, context| async move {
        client.sync(context, Position(0), 0, true).await
    };
    let reply = link.call_leader("sync", timeout, call).await?;
    let leader = link.presumed_leader().unwrap_or_default();
    complete(link, &leader, reply).await
}

/// Fetches a value slice by slice from one control host.
pub async fn fetch<F>(
    link: &ControlLink,
    address: &str,
    step: &'static str,
    call: impl Fn(ControlWireClient, u64) -> F,
) -> Result<Bytes, PeerError>
where
    F: Future<Output = Result<Result<ValueSlice, ControlRefusal>, tarpc::client::RpcError>>,
{
    let mut value = BytesMut::new();
    loop {
        let offset = value.len() as u64;
        let slice = link
            .call_at(address, step, |client| call(client, offset))
            .await?;
        let slice = slice.map_err(|refused| refusal(address, step, refused))?;
        if value.is_empty() {
            value.reserve(slice.total as usize);
        }
        value.extend_from_slice(&slice.bytes);
        match value.len() as u64 {
            len if len >= slice.total => return Ok(value.freeze()),
            _ if slice.bytes.is_empty() => {
                return Err(refusal(address, step, ControlRefusal::Busy));
            }
            _ => {}
        }
    }
}

fn refusal(address: &str, step: &'static str, refusal: ControlRefusal) -> PeerError {
    PeerError::Refused {
        step,
        peer: address.to_owned(),
        refusal,
    }
}
