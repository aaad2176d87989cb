//! Transfer of large values between processes in pieces, so that no connection buffers a whole one.
//!
//! The sender passes slices of the value to the calls that carry them, and the receiver copies each
//! into the one buffer of the transfer. [`TransferStore`] bounds what unfinished transfers hold.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::{StreamExt, TryStreamExt, stream};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Size of a value from which it is sent in pieces, in bytes.
pub const LARGE_BYTES: usize = 256 * 1024;
/// Maximum size of a piece, in bytes.
pub const PIECE_BYTES: usize = 128 * 1024;
/// Timeout of the call for one piece.
pub const PIECE_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of pieces of one transfer that are under way at once.
const PIECES_UNDER_WAY: usize = 4;
/// Maximum size of a value, in bytes.
const MAX_VALUE_BYTES: usize = 64 * 1024 * 1024;
/// Size of all unfinished transfers from which no further one is accepted, in bytes.
const MAX_STORED_BYTES: usize = 16 * 1024 * 1024;
/// Time after the last piece until an unfinished transfer is dropped, in milliseconds.
const TRANSFER_TTL_MS: u64 = 2_000;

/// Number that its sender drew for a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TransferId(pub u64);

/// Piece of a value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValuePiece {
    /// Transfer that it belongs to.
    pub transfer: TransferId,
    /// Size of the whole value, in bytes.
    pub total: u64,
    /// Offset of the piece in the value, in bytes.
    pub offset: u64,
    /// The piece.
    pub bytes: Bytes,
}

/// Reason why a receiver refused a piece.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum PieceError {
    /// The receiver holds as many unfinished transfers as it can.
    #[snafu(display("too many bytes of other transfers are held"))]
    Busy,
    /// The piece does not fit into its value.
    #[snafu(display("piece at byte {offset} does not fit into a value of {total} bytes"))]
    Misfit {
        /// Offset of the piece, in bytes.
        offset: u64,
        /// Size of the value, in bytes.
        total: u64,
    },
}

/// Returns the pieces of a value that consists of several parts.
pub fn split(transfer: TransferId, parts: &[Bytes]) -> Vec<ValuePiece> {
    let total = parts.iter().map(|part| part.len() as u64).sum();
    let mut offset = 0;
    let mut pieces = Vec::new();
    for part in parts {
        for from in (0..part.len()).step_by(PIECE_BYTES) {
            let bytes = part.slice(from..part.len().min(from + PIECE_BYTES));
            let next = offset + bytes.len() as u64;
            pieces.push(ValuePiece {
                transfer,
                total,
                offset,
                bytes,
            });
            offset = next;
        }
    }
    pieces
}

/// Sends all pieces of a value, a few at a time. Ends at the first failure.
pub async fn send_pieces<F, E>(
    pieces: Vec<ValuePiece>,
    send: impl Fn(ValuePiece) -> F,
) -> Result<(), E>
where
    F: Future<Output = Result<(), E>>,
{
    let sent = stream::iter(pieces)
        .map(send)
        .buffer_unordered(PIECES_UNDER_WAY);
    sent.try_collect::<()>().await
}

/// Value that arrives in pieces.
#[derive(Debug)]
struct PartialValue {
    bytes: BytesMut,
    /// Pieces received, by their offsets.
    received: BTreeMap<u64, usize>,
    touched_ms: u64,
}

impl PartialValue {
    fn is_complete(&self) -> bool {
        self.received.values().sum::<usize>() == self.bytes.len()
    }
}

/// Unfinished transfers of a receiver.
#[derive(Debug, Default)]
pub struct TransferStore {
    values: BTreeMap<TransferId, PartialValue>,
}

impl TransferStore {
    /// Adds a piece.
    pub fn add(&mut self, now_ms: u64, piece: &ValuePiece) -> Result<(), PieceError> {
        let is_live = |value: &PartialValue| value.touched_ms + TRANSFER_TTL_MS > now_ms;
        self.values
            .retain(|id, value| *id == piece.transfer || is_live(value));
        let end = piece.offset.checked_add(piece.bytes.len() as u64);
        let fits = end.is_some_and(|end| end <= piece.total);
        let known = self.values.get(&piece.transfer);
        let same_total = known.is_none_or(|value| value.bytes.len() as u64 == piece.total);
        if !fits || !same_total || piece.total > MAX_VALUE_BYTES as u64 {
            return Err(PieceError::Misfit {
                offset: piece.offset,
                total: piece.total,
            });
        }
        let total = piece.total as usize;
        let held = self.stored_bytes();
        if known.is_none() && held > 0 && held + total > MAX_STORED_BYTES {
            return Err(PieceError::Busy);
        }
        let value = self
            .values
            .entry(piece.transfer)
            .or_insert_with(|| PartialValue {
                bytes: BytesMut::zeroed(total),
                received: BTreeMap::new(),
                touched_ms: now_ms,
            });
        value.touched_ms = now_ms;
        let from = piece.offset as usize;
        value.bytes[from..from + piece.bytes.len()].copy_from_slice(&piece.bytes);
        value.received.insert(piece.offset, piece.bytes.len());
        Ok(())
    }

    /// Removes a value and returns it if all its pieces have arrived.
    pub fn take(&mut self, transfer: TransferId) -> Option<Bytes> {
        let value = self.values.remove(&transfer)?;
        value.is_complete().then(|| value.bytes.freeze())
    }

    /// Returns the size of all unfinished transfers, in bytes.
    pub fn stored_bytes(&self) -> usize {
        self.values.values().map(|value| value.bytes.len()).sum()
    }
}
