//! Drawn histories of a voter's data folder: how many, and what they may leave.

use dunlinspring::consensus::raft::{DiskImage, DiskRecord};

/// Returns a number from the environment.
pub fn environment(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|text| text.parse().ok())
}

/// Returns the index of the last entry, or of the snapshot if there is none.
pub fn last_index(image: &DiskImage) -> u64 {
    let last = image.entries.last();
    last.map_or(image.snapshot.last.index.0, |entry| entry.mark.index.0)
}

/// Returns the images after each prefix of the records.
pub fn prefixes(image: &DiskImage, records: &[DiskRecord]) -> Vec<DiskImage> {
    let mut images = vec![image.clone()];
    for record in records {
        let mut image = images.last().unwrap().clone();
        image.apply(record.clone());
        images.push(image);
    }
    images
}
