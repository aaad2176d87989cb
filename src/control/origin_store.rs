//! Origins of streams that entries stored on a control host, whether or not it keeps the log.

use std::sync::{Arc, Mutex};

use crate::clock;
use crate::process::peers;
use crate::routing::stream_origins::{OriginBatch, OriginMemory, StreamKey, StreamOrigin};

/// Origins that are kept on one control host, shared by the calls that it serves.
#[derive(Clone, Debug, Default)]
pub struct OriginStore(Arc<Mutex<OriginMemory>>);

impl OriginStore {
    /// Stores the origins of a batch.
    pub fn store(&self, batch: &OriginBatch) {
        peers::lock(&self.0).record_batch(clock::monotonic_ms(), batch);
    }

    /// Returns the origins of streams in the order of their keys, `None` for those that are not known.
    pub fn find_all(&self, keys: &[StreamKey]) -> Vec<Option<StreamOrigin>> {
        peers::lock(&self.0).find_all(keys)
    }
}
