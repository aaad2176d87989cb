//! Large values that are sent in pieces.

use std::cell::Cell;

use bytes::Bytes;
use dunlinspring::consensus::raft::{LogEntry, LogMark, LogSnapshot, Payload, RaftMessage};
use dunlinspring::ids::{Position, Term};
use dunlinspring::process::transfer::{
    self, PIECE_BYTES, PieceError, TransferId, TransferStore, ValuePiece,
};

const MIB: usize = 1024 * 1024;

fn value(len: usize, seed: u8) -> Bytes {
    let bytes = (0..len).map(|at| (at / 251) as u8 ^ seed);
    bytes.collect::<Vec<u8>>().into()
}

#[test]
fn a_value_of_several_parts_arrives_whole_in_any_order_of_its_pieces() {
    let parts = [value(3 * PIECE_BYTES + 7, 1), Bytes::new(), value(5, 2)];
    let mut pieces = transfer::split(TransferId(9), &parts);
    assert!(pieces.iter().all(|piece| piece.bytes.len() <= PIECE_BYTES));
    pieces.reverse();
    let mut store = TransferStore::default();
    for piece in &pieces {
        // A piece may be sent again.
        store.add(0, piece).unwrap();
        store.add(0, piece).unwrap();
    }
    let whole = store.take(TransferId(9)).unwrap();
    assert_eq!(whole, parts.concat());
    assert_eq!(store.stored_bytes(), 0);
}

#[test]
fn a_value_without_one_of_its_pieces_is_not_taken() {
    let pieces = transfer::split(TransferId(9), &[value(4 * PIECE_BYTES, 1)]);
    for missing in 0..pieces.len() {
        let mut store = TransferStore::default();
        for (number, piece) in pieces.iter().enumerate() {
            if number != missing {
                store.add(0, piece).unwrap();
            }
        }
        assert_eq!(store.take(TransferId(9)), None);
    }
}

/// What unfinished transfers hold was bounded by nothing but the number of peers.
#[test]
fn unfinished_transfers_hold_a_bounded_number_of_bytes() {
    let mut store = TransferStore::default();
    let first = |number: u64| transfer::split(TransferId(number), &[value(7 * MIB, 1)]).remove(0);
    for number in 0..100 {
        let _ = store.add(0, &first(number));
    }
    assert!(store.stored_bytes() <= 16 * MIB, "{}", store.stored_bytes());
    assert_eq!(store.add(0, &first(100)), Err(PieceError::Busy));
    // Those that are not continued make room.
    assert_eq!(store.add(10_000, &first(101)), Ok(()));
    assert_eq!(store.stored_bytes(), 7 * MIB);
}

#[test]
fn pieces_that_do_not_fit_their_value_are_refused() {
    let mut store = TransferStore::default();
    let piece = |total: u64, offset: u64| ValuePiece {
        transfer: TransferId(1),
        total,
        offset,
        bytes: value(10, 1),
    };
    store.add(0, &piece(100, 0)).unwrap();
    for (total, offset) in [(100, 91), (101, 10), (100, u64::MAX), (1 << 40, 0)] {
        let refused = store.add(0, &piece(total, offset));
        assert_eq!(refused, Err(PieceError::Misfit { offset, total }));
    }
}

#[tokio::test]
async fn a_sender_stops_at_the_first_refused_piece() {
    let pieces = transfer::split(TransferId(9), &[value(20 * PIECE_BYTES, 1)]);
    let sent = Cell::new(0);
    let refuse_third = |_| {
        sent.set(sent.get() + 1);
        let refused = sent.get() == 3;
        async move {
            match refused {
                true => Err("refused"),
                false => Ok(()),
            }
        }
    };
    assert_eq!(
        transfer::send_pieces(pieces, refuse_third).await,
        Err("refused")
    );
    assert!(sent.get() < 10, "{}", sent.get());
}

fn messages() -> [RaftMessage; 2] {
    let mark = LogMark {
        term: Term(3),
        index: Position(7),
    };
    let entry = |payload| LogEntry { mark, payload };
    let append = RaftMessage::Append {
        term: Term(3),
        prev: mark,
        entries: vec![
            entry(Payload::Noop),
            entry(Payload::Command(value(10, 1))),
            entry(Payload::Voters(Default::default())),
            entry(Payload::Command(value(MIB, 2))),
        ],
        commit: Position(1),
        sent_ms: 5,
    };
    let install = RaftMessage::Install {
        term: Term(3),
        snapshot: LogSnapshot {
            last: mark,
            voters: Default::default(),
            state: value(MIB, 3),
        },
        sent_ms: 5,
    };
    [append, install]
}

#[test]
fn messages_are_the_same_after_their_payloads_were_sent_apart() {
    for message in messages() {
        let mut rest = message.clone();
        let payloads = rest.detach_payloads();
        assert!(rest.payload_bytes() == 0 && message.payload_bytes() >= MIB);
        let lens: Vec<usize> = payloads.iter().map(Bytes::len).collect();
        assert!(rest.attach_payloads(&lens, payloads.concat().into()));
        assert_eq!(rest, message);
    }
}

#[test]
fn payloads_of_another_message_are_not_attached() {
    for message in messages() {
        let mut rest = message.clone();
        let payloads = rest.detach_payloads();
        let lens: Vec<usize> = payloads.iter().map(Bytes::len).collect();
        let all: Bytes = payloads.concat().into();
        assert!(!rest.attach_payloads(&lens, all.slice(1..)));
        assert!(!rest.attach_payloads(&lens[1..], all.clone()));
        assert!(!rest.attach_payloads(&[usize::MAX, usize::MAX], all));
    }
}
