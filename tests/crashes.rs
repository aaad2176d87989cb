//! Contents during whose runs replicas crashed: crash counts in the log, leases for attempts of
//! suspects, and the counts that a member uses before it has followed the log.

#[path = "support_replicas/mod.rs"]
mod support_replicas;

use std::collections::{BTreeMap, BTreeSet};

use dunlinspring::consensus::crashes::{
    ContentStanding, CrashCounts, CrashReport, CrashStore, MAX_CONTENTS,
};
use dunlinspring::consensus::part_crashes::{ObservedPartCrash, PartCrashReport, PartStanding};
use dunlinspring::consensus::state::{Change, Command, Reply, SiteState, Stamped};
use dunlinspring::ids::{ContentDigest, Position, ReplicaId, ReplicaIncarnation};
use dunlinspring::placement::suspect_leases::{
    SuspectLeaseRelease, SuspectLeaseReply, SuspectLeaseRequest, SuspectLeases,
};
use dunlinspring::routing::suspects::SuspectIndex;
use support_replicas::ready_replica;

const DAY_MS: u64 = 24 * 3600 * 1000;

fn content(number: u64) -> ContentDigest {
    ContentDigest(u128::from(number).to_be_bytes())
}

fn incarnation(number: u64) -> ReplicaIncarnation {
    ReplicaIncarnation {
        id: ReplicaId::from("r"),
        started_ms: number,
    }
}

fn report(replica: u64, contents: &[u64]) -> CrashReport {
    CrashReport {
        replica: incarnation(replica),
        contents: contents.iter().copied().map(content).collect(),
    }
}

fn standing(store: &CrashStore, number: u64) -> ContentStanding {
    ContentStanding::of(store.count(&content(number)))
}

#[test]
fn the_third_crash_quarantines_a_content_however_often_each_is_reported() {
    let mut store = CrashStore::default();
    let reports = [(1, 1), (1, 1), (2, 2), (1, 2), (3, 3), (4, 3)];
    for (replica, count) in reports {
        store.record(&report(replica, &[7]), 0);
        assert_eq!(store.count(&content(7)), count, "the crash of {replica}");
    }
    assert_eq!(standing(&store, 7), ContentStanding::Barred);
    assert_eq!(standing(&store, 8), ContentStanding::Harmless);
}

#[test]
fn a_complete_run_clears_a_suspect_but_no_quarantined_content() {
    let mut store = CrashStore::default();
    for replica in 1..=3 {
        store.record(&report(replica, &[1]), 0);
    }
    store.record(&report(3, &[1, 2]), 0);
    assert!(store.clear(&content(2)));
    assert!(!store.clear(&content(2)));
    assert!(!store.clear(&content(1)));
    assert_eq!(standing(&store, 1), ContentStanding::Barred);
    assert_eq!(standing(&store, 2), ContentStanding::Harmless);
}

#[test]
fn a_lifted_content_is_quarantined_by_one_more_crash() {
    let mut store = CrashStore::default();
    for replica in 1..=3 {
        store.record(&report(replica, &[1]), 0);
    }
    assert!(store.lift(&content(1)));
    assert!(!store.lift(&content(1)));
    assert_eq!(standing(&store, 1), ContentStanding::Suspect(2));
    store.record(&report(4, &[1]), 0);
    assert_eq!(standing(&store, 1), ContentStanding::Barred);
}

#[test]
fn a_flood_of_suspects_is_bounded_and_evicts_no_quarantined_content() {
    let mut store = CrashStore::default();
    for replica in 1..=3 {
        store.record(&report(replica, &[1]), 0);
    }
    store.record(&report(4, &[2]), 1);
    store.record(&report(5, &[2]), 1);
    for number in 10..10 + 2 * MAX_CONTENTS as u64 {
        let changed = store.record(&report(number, &[number]), 2 + number);
        // Evicted contents are reported to members, with a count of 0.
        let gone = changed.values().filter(|count| **count == 0).count();
        assert_eq!(gone, usize::from(number >= 8 + MAX_CONTENTS as u64));
    }
    assert_eq!(store.records().len(), MAX_CONTENTS);
    assert_eq!(standing(&store, 1), ContentStanding::Barred);
    assert_eq!(standing(&store, 2), ContentStanding::Suspect(2));
}

#[test]
fn suspects_expire_after_a_day_and_quarantined_contents_never() {
    let mut store = CrashStore::default();
    for replica in 1..=3 {
        store.record(&report(replica, &[1]), 0);
    }
    store.record(&report(3, &[2]), 0);
    assert_eq!(store.prune(DAY_MS), CrashCounts::from([(content(2), 0)]));
    assert_eq!(standing(&store, 1), ContentStanding::Barred);
}

#[test]
fn members_follow_the_crash_counts_of_the_log() {
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
    // A full snapshot includes the counts.
    let all = state.all_changes();
    let expected = Change::Contents(CrashCounts::from([(content(1), 3)]));
    assert!(all.contains(&expected));
}

#[test]
fn the_end_of_a_replica_that_had_drained_is_no_crash() {
    let mut state = SiteState::default();
    let mut apply = |command: Command| {
        let position = Position(state.position.0 + 1);
        state.apply(position, &Stamped { at_ms: 1, command });
    };
    for born_ms in 1..=3 {
        let mut leaving = ready_replica("r", "s");
        leaving.started_ms = born_ms;
        let replica = leaving.incarnation();
        let parts = BTreeMap::from([(content(2), false)]);
        let parts_crash = PartCrashReport {
            replica: replica.clone(),
            parts,
        };
        let crash = CrashReport {
            replica,
            contents: BTreeSet::from([content(1)]),
        };
        apply(Command::Replica(Box::new(leaving.clone())));
        apply(Command::ReplicaDrains(leaving.id.clone()));
        apply(Command::ReplicaEnded(leaving.incarnation()));
        apply(Command::Crashed(crash));
        apply(Command::PartsCrashed(parts_crash.clone()));
        let observed = ObservedPartCrash {
            report: parts_crash,
            age_ms: 0,
        };
        apply(Command::PartCrashObserved(observed));
    }
    assert_eq!(state.crashes.count(&content(1)), 0);
    assert_eq!(state.parts().standing(&content(2)), PartStanding::Harmless);
}

fn lease_request(number: u64, replica: &str, ticket: u64) -> SuspectLeaseRequest {
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
    let mut leases = SuspectLeases::default();
    assert_eq!(
        leases.request(0, SUSPECT, &lease_request(1, "a", 11)),
        SuspectLeaseReply::Granted
    );
    assert_eq!(
        leases.request(1, SUSPECT, &lease_request(1, "b", 12)),
        SuspectLeaseReply::Wait
    );
    // The same attempt repeats its request after a lost reply.
    assert_eq!(
        leases.request(2, SUSPECT, &lease_request(1, "a", 11)),
        SuspectLeaseReply::Granted
    );
    let release_of = |ticket| SuspectLeaseRelease {
        content: content(1),
        ticket,
    };
    leases.release(release_of(12));
    assert_eq!(
        leases.request(3, SUSPECT, &lease_request(1, "b", 12)),
        SuspectLeaseReply::Wait
    );
    leases.release(release_of(11));
    assert_eq!(
        leases.request(4, SUSPECT, &lease_request(1, "b", 12)),
        SuspectLeaseReply::Granted
    );
    // An entry that has ended releases no lease: it expires.
    assert_eq!(
        leases.request(1_003, SUSPECT, &lease_request(1, "b", 13)),
        SuspectLeaseReply::Wait
    );
    assert_eq!(
        leases.request(1_004, SUSPECT, &lease_request(1, "b", 13)),
        SuspectLeaseReply::Granted
    );
}

#[test]
fn quarantined_or_cleared_contents_need_no_lease() {
    let mut leases = SuspectLeases::default();
    let (barred, cleared) = (ContentStanding::Barred, ContentStanding::Harmless);
    assert_eq!(
        leases.request(0, SUSPECT, &lease_request(1, "a", 11)),
        SuspectLeaseReply::Granted
    );
    assert_eq!(
        leases.request(0, barred, &lease_request(1, "a", 12)),
        SuspectLeaseReply::Barred
    );
    assert_eq!(
        leases.request(0, cleared, &lease_request(1, "a", 12)),
        SuspectLeaseReply::Granted
    );
}

#[test]
fn suspects_do_not_share_a_replica() {
    let mut leases = SuspectLeases::default();
    let twice = ContentStanding::Suspect(2);
    let without_free_replica = |lease_request: SuspectLeaseRequest| SuspectLeaseRequest {
        no_free_replica: true,
        ..lease_request
    };
    assert_eq!(
        leases.request(0, SUSPECT, &lease_request(1, "a", 1)),
        SuspectLeaseReply::Granted
    );
    assert_eq!(
        leases.request(0, SUSPECT, &lease_request(2, "a", 2)),
        SuspectLeaseReply::Elsewhere
    );
    assert_eq!(
        leases.request(0, SUSPECT, &lease_request(2, "b", 2)),
        SuspectLeaseReply::Granted
    );
    // Without a free replica, suspects with one crash may share a replica; those with two may not.
    assert_eq!(
        leases.request(0, SUSPECT, &without_free_replica(lease_request(3, "a", 3))),
        SuspectLeaseReply::Granted
    );
    let apart = leases.request(0, twice, &without_free_replica(lease_request(4, "a", 4)));
    assert_eq!(apart, SuspectLeaseReply::Elsewhere);
    assert_eq!(
        leases.request(0, twice, &lease_request(4, "c", 4)),
        SuspectLeaseReply::Granted
    );
    let beside = leases.request(0, SUSPECT, &without_free_replica(lease_request(5, "c", 5)));
    assert_eq!(beside, SuspectLeaseReply::Elsewhere);
}

#[test]
fn a_member_counts_its_own_observations_until_the_log_includes_them() {
    let mut index = SuspectIndex::default();
    assert!(index.is_empty());
    let crash = report(1, &[1]);
    index.record_crash(&crash, None);
    index.follow(Position(9), &CrashCounts::new());
    assert_eq!(index.standing(&content(1)), SUSPECT);
    index.record_crash(&crash, Some(Position(10)));
    index.follow(Position(9), &CrashCounts::new());
    assert_eq!(index.standing(&content(1)), SUSPECT);
    index.follow(Position(10), &CrashCounts::from([(content(1), 2)]));
    assert_eq!(index.standing(&content(1)), ContentStanding::Suspect(2));
    index.follow(Position(11), &CrashCounts::new());
    assert!(index.is_empty());
    // Without a connection to the log, a member quarantines by its own observations.
    for replica in 1..=3 {
        index.record_crash(&report(replica, &[2]), None);
    }
    assert_eq!(index.standing(&content(2)), ContentStanding::Barred);
}
