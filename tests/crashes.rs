//! Contents under which replicas ended: what the log makes of reports, whose turn it is, and
//! what a member believes meanwhile.

use dunlinspring::consensus::crashes::{
    ContentStanding, CrashCounts, CrashReport, CrashStore, MAX_CONTENTS,
};
use dunlinspring::consensus::state::{Change, Command, Reply, SiteState, Stamped};
use dunlinspring::ids::{ContentDigest, Position, ReplicaId, ReplicaIncarnation};
use dunlinspring::placement::suspect_leases::{
    SuspectLeaseRelease, SuspectLeaseReply, SuspectLeaseRequest, SuspectLeases,
};
use dunlinspring::routing::suspects::SuspectIndex;

const DAY_MS: u64 = 24 * 3600 * 1000;

fn content(number: u64) -> ContentDigest {
    ContentDigest(u128::from(number).to_be_bytes())
}

fn life(number: u64) -> ReplicaIncarnation {
    ReplicaIncarnation {
        id: ReplicaId::from("r"),
        started_ms: number,
    }
}

fn report(replica: u64, contents: &[u64]) -> CrashReport {
    CrashReport {
        replica: life(replica),
        contents: contents.iter().copied().map(content).collect(),
    }
}

fn standing(book: &CrashStore, number: u64) -> ContentStanding {
    ContentStanding::of(book.count(&content(number)))
}

#[test]
fn the_third_end_bars_a_content_whoever_tells_of_each() {
    let mut book = CrashStore::default();
    let told = [(1, 1), (1, 1), (2, 2), (1, 2), (3, 3), (4, 3)];
    for (replica, count) in told {
        book.record(&report(replica, &[7]), 0);
        assert_eq!(book.count(&content(7)), count, "the end of {replica}");
    }
    assert_eq!(standing(&book, 7), ContentStanding::Barred);
    assert_eq!(standing(&book, 8), ContentStanding::Harmless);
}

#[test]
fn a_run_to_its_end_clears_a_suspect_and_nothing_that_is_barred() {
    let mut book = CrashStore::default();
    for replica in 1..=3 {
        book.record(&report(replica, &[1]), 0);
    }
    book.record(&report(3, &[1, 2]), 0);
    assert!(book.clear(&content(2)));
    assert!(!book.clear(&content(2)));
    assert!(!book.clear(&content(1)));
    assert_eq!(standing(&book, 1), ContentStanding::Barred);
    assert_eq!(standing(&book, 2), ContentStanding::Harmless);
}

#[test]
fn what_was_lifted_is_barred_by_one_more_end() {
    let mut book = CrashStore::default();
    for replica in 1..=3 {
        book.record(&report(replica, &[1]), 0);
    }
    assert!(book.lift(&content(1)));
    assert!(!book.lift(&content(1)));
    assert_eq!(standing(&book, 1), ContentStanding::Suspect(2));
    book.record(&report(4, &[1]), 0);
    assert_eq!(standing(&book, 1), ContentStanding::Barred);
}

#[test]
fn a_flood_of_suspects_takes_bounded_room_and_drives_out_nothing_that_is_barred() {
    let mut book = CrashStore::default();
    for replica in 1..=3 {
        book.record(&report(replica, &[1]), 0);
    }
    book.record(&report(4, &[2]), 1);
    book.record(&report(5, &[2]), 1);
    for number in 10..10 + 2 * MAX_CONTENTS as u64 {
        let changed = book.record(&report(number, &[number]), 2 + number);
        // Members are told of what is forgotten, too.
        let gone = changed.values().filter(|count| **count == 0).count();
        assert_eq!(gone, usize::from(number >= 8 + MAX_CONTENTS as u64));
    }
    assert_eq!(book.records().len(), MAX_CONTENTS);
    assert_eq!(standing(&book, 1), ContentStanding::Barred);
    assert_eq!(standing(&book, 2), ContentStanding::Suspect(2));
}

#[test]
fn suspects_are_forgotten_after_a_day_and_what_is_barred_never() {
    let mut book = CrashStore::default();
    for replica in 1..=3 {
        book.record(&report(replica, &[1]), 0);
    }
    book.record(&report(3, &[2]), 0);
    assert_eq!(book.prune(DAY_MS), CrashCounts::from([(content(2), 0)]));
    assert_eq!(standing(&book, 1), ContentStanding::Barred);
}

#[test]
fn members_follow_what_the_log_holds() {
    let mut state = SiteState::default();
    let mut position = 0;
    let mut apply = |state: &mut SiteState, command: Command| {
        position += 1;
        let stamped = Stamped { at_ms: 1, command };
        state.apply(Position(position), &stamped)
    };
    for replica in 1..=3 {
        apply(&mut state, Command::Crashed(report(replica, &[1, 2])));
        apply(&mut state, Command::ContentCleared(content(2)));
    }
    let lifted = apply(&mut state, Command::ContentLifted(content(2)));
    assert_eq!(lifted, Reply::Lifted(false));
    let last = state.changes_after(Position(4)).unwrap();
    let third = CrashCounts::from([(content(1), 3), (content(2), 1)]);
    let cleared = CrashCounts::from([(content(2), 0)]);
    assert_eq!(last, [Change::Contents(third), Change::Contents(cleared)]);
    // Whoever starts from nothing learns of it all the same.
    let all = state.all_changes();
    let whole = Change::Contents(CrashCounts::from([(content(1), 3)]));
    assert!(all.contains(&whole));
}

fn ask(number: u64, replica: &str, ticket: u64) -> SuspectLeaseRequest {
    SuspectLeaseRequest {
        content: content(number),
        replica: ReplicaId::from(replica),
        ticket,
        duration_ms: 1_000,
        no_free_replica: false,
    }
}

const SUSPECT: ContentStanding = ContentStanding::Suspect(1);

#[test]
fn one_attempt_of_a_suspect_runs_at_a_time() {
    let mut desk = SuspectLeases::default();
    assert_eq!(
        desk.request(0, SUSPECT, &ask(1, "a", 11)),
        SuspectLeaseReply::Granted
    );
    assert_eq!(
        desk.request(1, SUSPECT, &ask(1, "b", 12)),
        SuspectLeaseReply::Wait
    );
    // The same attempt asks again where its answer was lost.
    assert_eq!(
        desk.request(2, SUSPECT, &ask(1, "a", 11)),
        SuspectLeaseReply::Granted
    );
    let end = |ticket| SuspectLeaseRelease {
        content: content(1),
        ticket,
    };
    desk.release(end(12));
    assert_eq!(
        desk.request(3, SUSPECT, &ask(1, "b", 12)),
        SuspectLeaseReply::Wait
    );
    desk.release(end(11));
    assert_eq!(
        desk.request(4, SUSPECT, &ask(1, "b", 12)),
        SuspectLeaseReply::Granted
    );
    // An entry that ended tells of no end.
    assert_eq!(
        desk.request(1_003, SUSPECT, &ask(1, "b", 13)),
        SuspectLeaseReply::Wait
    );
    assert_eq!(
        desk.request(1_004, SUSPECT, &ask(1, "b", 13)),
        SuspectLeaseReply::Granted
    );
}

#[test]
fn what_is_barred_or_cleared_by_now_needs_no_turn() {
    let mut desk = SuspectLeases::default();
    let (barred, cleared) = (ContentStanding::Barred, ContentStanding::Harmless);
    assert_eq!(
        desk.request(0, SUSPECT, &ask(1, "a", 11)),
        SuspectLeaseReply::Granted
    );
    assert_eq!(
        desk.request(0, barred, &ask(1, "a", 12)),
        SuspectLeaseReply::Barred
    );
    assert_eq!(
        desk.request(0, cleared, &ask(1, "a", 12)),
        SuspectLeaseReply::Granted
    );
}

#[test]
fn suspects_are_kept_apart() {
    let mut desk = SuspectLeases::default();
    let twice = ContentStanding::Suspect(2);
    let insists = |ask: SuspectLeaseRequest| SuspectLeaseRequest {
        no_free_replica: true,
        ..ask
    };
    assert_eq!(
        desk.request(0, SUSPECT, &ask(1, "a", 1)),
        SuspectLeaseReply::Granted
    );
    assert_eq!(
        desk.request(0, SUSPECT, &ask(2, "a", 2)),
        SuspectLeaseReply::Elsewhere
    );
    assert_eq!(
        desk.request(0, SUSPECT, &ask(2, "b", 2)),
        SuspectLeaseReply::Granted
    );
    // Where there is no other replica, one crash is no reason to wait; two are.
    assert_eq!(
        desk.request(0, SUSPECT, &insists(ask(3, "a", 3))),
        SuspectLeaseReply::Granted
    );
    let apart = desk.request(0, twice, &insists(ask(4, "a", 4)));
    assert_eq!(apart, SuspectLeaseReply::Elsewhere);
    assert_eq!(
        desk.request(0, twice, &ask(4, "c", 4)),
        SuspectLeaseReply::Granted
    );
    let beside = desk.request(0, SUSPECT, &insists(ask(5, "c", 5)));
    assert_eq!(beside, SuspectLeaseReply::Elsewhere);
}

#[test]
fn a_member_counts_what_it_saw_until_it_follows_it() {
    let mut book = SuspectIndex::default();
    assert!(book.is_empty());
    let seen = report(1, &[1]);
    book.record_crash(&seen, None);
    book.follow(Position(9), &CrashCounts::new());
    assert_eq!(book.standing(&content(1)), SUSPECT);
    book.record_crash(&seen, Some(Position(10)));
    book.follow(Position(9), &CrashCounts::new());
    assert_eq!(book.standing(&content(1)), SUSPECT);
    book.follow(Position(10), &CrashCounts::from([(content(1), 2)]));
    assert_eq!(book.standing(&content(1)), ContentStanding::Suspect(2));
    book.follow(Position(11), &CrashCounts::new());
    assert!(book.is_empty());
    // Cut off from the log, it bars by what it saw itself.
    for replica in 1..=3 {
        book.record_crash(&report(replica, &[2]), None);
    }
    assert_eq!(book.standing(&content(2)), ContentStanding::Barred);
}
