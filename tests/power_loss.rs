//! The data folder of a voter after losses of power: what was synced is there, what was written
//! since is there, missing or torn, and the voter starts.
//!
//! `DUNLINSPRING_CASES` sets the number of histories and `DUNLINSPRING_SEED` the first seed.

use std::fs;
use std::path::Path;

use dunlinspring::consensus::raft::{
    DiskImage, DiskRecord, LogEntry, LogMark, LogSnapshot, Payload,
};
use dunlinspring::control::journal::DiskJournal;
use dunlinspring::ids::{NodeId, Position, Term};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tempfile::TempDir;

mod support_images;
use support_images::{environment, last_index, prefixes};

const HISTORIES: u64 = 300;
const NODE: NodeId = NodeId(7);
/// Losses of power in a history.
const LOSSES: usize = 4;
/// Bytes that a disk writes as one.
const SECTOR_BYTES: usize = 512;
/// Bytes of one write of a large record.
const WRITE_BYTES: usize = 64 * 1024;

fn entry(index: u64, len: usize) -> LogEntry {
    LogEntry {
        mark: LogMark {
            term: Term(1),
            index: Position(index),
        },
        payload: Payload::Command(vec![index as u8 | 1; len].into()),
    }
}

fn open(folder: &Path) -> (DiskJournal, DiskImage) {
    DiskJournal::open(folder, Some(NODE)).unwrap()
}

fn draw_batch(rng: &mut SmallRng, image: &DiskImage) -> Vec<DiskRecord> {
    let mut next = last_index(image) + 1;
    let mut records = Vec::new();
    for _ in 0..rng.random_range(1..=4) {
        let len = match rng.random_range(0..10) {
            0 => rng.random_range(WRITE_BYTES..4 * WRITE_BYTES),
            1..=3 => rng.random_range(SECTOR_BYTES..WRITE_BYTES),
            _ => rng.random_range(0..SECTOR_BYTES),
        };
        records.push(match rng.random_range(0..10) {
            0 => DiskRecord::Vote(Term(rng.random_range(1..9)), Some(NODE)),
            1 => DiskRecord::Commit(Position(next - 1)),
            2 if next - 1 > image.snapshot.last.index.0 => {
                next -= 1;
                DiskRecord::Truncate(Position(next))
            }
            _ => {
                next += 1;
                DiskRecord::Append(entry(next - 1, len))
            }
        });
    }
    records
}

fn draw_snapshot(rng: &mut SmallRng, image: &DiskImage) -> Vec<DiskRecord> {
    let index = rng.random_range(image.snapshot.last.index.0..=last_index(image));
    let state = vec![3; rng.random_range(0..2 * WRITE_BYTES)];
    vec![DiskRecord::Install(LogSnapshot {
        last: entry(index, 0).mark,
        voters: [NODE].into(),
        state: state.into(),
    })]
}

/// Returns what a loss of power may leave of a file whose first `synced` bytes were synced.
fn torn(rng: &mut SmallRng, written: &[u8], synced: usize) -> Vec<u8> {
    let mut bytes = written.to_vec();
    let kind = rng.random_range(0..5);
    let unit = match kind {
        0 => WRITE_BYTES,
        1 => 4096,
        _ => SECTOR_BYTES,
    };
    let mut at = synced;
    while at < bytes.len() {
        // Writes begin where the synced bytes end, sectors and pages at multiples of their size.
        let end = match kind {
            0 => at + unit,
            _ => (at / unit + 1) * unit,
        };
        let end = end.min(bytes.len());
        match rng.random_range(0..4) {
            0 => bytes[at..end].fill(0),
            1 if kind == 2 => rng.fill(&mut bytes[at..end]),
            _ => {}
        }
        at = end;
    }
    if rng.random_bool(0.5) {
        bytes.truncate(rng.random_range(synced..=bytes.len()));
    }
    bytes
}

/// Loses power while `records` are being appended.
fn lose_power_in_append(rng: &mut SmallRng, folder: &Path, records: &[DiskRecord]) {
    let (mut journal, _) = open(folder);
    let synced = journal.written() as usize;
    journal.save(records).unwrap();
    drop(journal);
    let path = folder.join("log");
    let written = fs::read(&path).unwrap();
    fs::write(&path, torn(rng, &written, synced)).unwrap();
}

/// Loses power while a snapshot is being installed, at one of its renames.
fn lose_power_in_install(rng: &mut SmallRng, folder: &Path, records: &[DiskRecord]) {
    let (mut journal, _) = open(folder);
    let read = |name: &str| fs::read(folder.join(name)).ok();
    let (old_snapshot, old_log) = (read("snapshot"), read("log").unwrap());
    journal.save(records).unwrap();
    drop(journal);
    let (new_snapshot, new_log) = (read("snapshot").unwrap(), read("log").unwrap());
    let stage = rng.random_range(0..3);
    if stage < 1 {
        match old_snapshot {
            Some(bytes) => fs::write(folder.join("snapshot"), bytes).unwrap(),
            None => fs::remove_file(folder.join("snapshot")).unwrap(),
        }
        fs::write(folder.join("snapshot.new"), torn(rng, &new_snapshot, 0)).unwrap();
    }
    if stage < 2 {
        fs::write(folder.join("log"), old_log).unwrap();
        fs::write(folder.join("log.new"), torn(rng, &new_log, 0)).unwrap();
    }
}

fn play(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let folder = TempDir::new().unwrap();
    let (_, mut image) = open(folder.path());
    for loss in 0..LOSSES {
        let (mut journal, found) = open(folder.path());
        assert_eq!(found, image, "seed {seed}, loss {loss}");
        for _ in 0..rng.random_range(0..4) {
            let records = match rng.random_range(0..6) {
                0 => draw_snapshot(&mut rng, &image),
                _ => draw_batch(&mut rng, &image),
            };
            journal.save(&records).unwrap();
            image = prefixes(&image, &records).pop().unwrap();
        }
        drop(journal);
        let records = match rng.random_range(0..4) {
            0 => {
                let records = draw_snapshot(&mut rng, &image);
                lose_power_in_install(&mut rng, folder.path(), &records);
                records
            }
            _ => {
                let records = draw_batch(&mut rng, &image);
                lose_power_in_append(&mut rng, folder.path(), &records);
                records
            }
        };
        let opened = DiskJournal::open(folder.path(), None);
        let (journal, found) =
            opened.unwrap_or_else(|error| panic!("seed {seed}, loss {loss}: {error}"));
        assert_eq!(journal.identity().node, NODE, "seed {seed}, loss {loss}");
        let allowed = prefixes(&image, &records);
        assert!(allowed.contains(&found), "seed {seed}, loss {loss}");
        image = found;
    }
}

#[test]
fn what_was_synced_outlives_drawn_losses_of_power() {
    let first = environment("DUNLINSPRING_SEED").unwrap_or(0);
    for seed in first..first + environment("DUNLINSPRING_CASES").unwrap_or(HISTORIES) {
        play(seed);
    }
}

/// The first of its writes is missing, a later one is there.
#[test]
fn a_voter_starts_after_power_was_lost_while_it_wrote_a_large_record() {
    let folder = TempDir::new().unwrap();
    let (mut journal, mut image) = open(folder.path());
    let first = DiskRecord::Append(entry(1, 40));
    journal.save(std::slice::from_ref(&first)).unwrap();
    image.apply(first);
    let synced = journal.written() as usize;
    journal
        .save(&[DiskRecord::Append(entry(2, 3 * WRITE_BYTES))])
        .unwrap();
    drop(journal);
    let path = folder.path().join("log");
    let mut bytes = fs::read(&path).unwrap();
    bytes[synced..synced + WRITE_BYTES].fill(0);
    fs::write(&path, bytes).unwrap();
    assert_eq!(open(folder.path()).1, image);
}

#[test]
fn damage_before_a_later_batch_is_not_taken_for_a_torn_write() {
    let folder = TempDir::new().unwrap();
    let (mut journal, _) = open(folder.path());
    journal
        .save(&[
            DiskRecord::Append(entry(1, 40)),
            DiskRecord::Append(entry(2, 40)),
        ])
        .unwrap();
    let synced = journal.written() as usize;
    journal.save(&[DiskRecord::Append(entry(3, 40))]).unwrap();
    drop(journal);
    let path = folder.path().join("log");
    let complete = fs::read(&path).unwrap();
    for at in 0..synced {
        for flipped in [0x01, 0x10, 0xff] {
            let mut bytes = complete.clone();
            bytes[at] ^= flipped;
            fs::write(&path, bytes).unwrap();
            let opened = DiskJournal::open(folder.path(), None);
            let error = opened.expect_err(&format!("byte {at} was not found damaged"));
            assert!(error.to_string().contains("log is damaged"), "{error}");
        }
    }
}

/// Length of the frame that begins a log and each of its batches.
const SYNC_MARK_BYTES: usize = 24;

/// A first start ended at each start if its first write was torn.
#[test]
fn a_folder_opens_whatever_is_left_of_its_first_write() {
    let mut rng = SmallRng::seed_from_u64(1);
    let folder = TempDir::new().unwrap();
    drop(open(folder.path()));
    let path = folder.path().join("log");
    let written = fs::read(&path).unwrap();
    assert_eq!(written.len(), SYNC_MARK_BYTES);
    for kept in 0..=written.len() {
        for _ in 0..20 {
            let mut bytes = written.clone();
            match rng.random_range(0..3) {
                0 => bytes[kept..].fill(0),
                1 => bytes[..kept].fill(0),
                _ => rng.fill(&mut bytes[kept..]),
            }
            fs::write(&path, bytes).unwrap();
            assert!(dunlinspring::control::journal::is_blank(folder.path()));
            assert_eq!(open(folder.path()).1, DiskImage::default(), "{kept}");
        }
    }
}

#[test]
fn logs_of_the_version_without_sync_marks_are_read_as_before() {
    let folder = TempDir::new().unwrap();
    let (mut journal, mut image) = open(folder.path());
    let records = [1, 2, 3].map(|index| DiskRecord::Append(entry(index, 40)));
    journal.save(&records).unwrap();
    drop(journal);
    records.into_iter().for_each(|record| image.apply(record));
    let path = folder.path().join("log");
    let unmarked = fs::read(&path).unwrap().split_off(2 * SYNC_MARK_BYTES);
    let mut damaged = unmarked.clone();
    damaged[30] ^= 1;
    fs::write(&path, damaged).unwrap();
    assert!(DiskJournal::open(folder.path(), None).is_err());
    let torn = [&unmarked[..], &[0; 100]].concat();
    fs::write(&path, torn).unwrap();
    assert_eq!(open(folder.path()).1, image);
    assert_eq!(open(folder.path()).1, image);
}

/// A version without sync marks applies them as records.
#[test]
fn sync_marks_change_nothing_where_they_are_not_known() {
    let folder = TempDir::new().unwrap();
    let (mut journal, _) = open(folder.path());
    journal.save(&[DiskRecord::Append(entry(1, 40))]).unwrap();
    let bytes = fs::read(folder.path().join("log")).unwrap();
    let mark: DiskRecord = bincode::deserialize(&bytes[12..SYNC_MARK_BYTES]).unwrap();
    let mut image = DiskImage::default();
    image.apply(DiskRecord::Append(entry(1, 40)));
    let unchanged = image.clone();
    image.apply(mark);
    assert_eq!(image, unchanged);
}
