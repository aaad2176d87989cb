//! A disk that knows what was synced, and draws what a loss of power leaves.
//!
//! It follows the calls on a data folder below a root. Whatever was not synced is there, missing or
//! torn afterwards: each write, each change of a length, and each name that was made, renamed or
//! removed since the last sync of its folder.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use dunlinspring::control::journal::{DataFolder, DiskCall};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Units in which a disk keeps or loses bytes: a sector, a page, a large page, a write of a large
/// record.
const UNIT_BYTES: [usize; 4] = [512, 4_096, 16_384, 64 * 1024];

/// Number of a file or folder, which keeps it when it is renamed.
type NodeNumber = usize;

#[derive(Clone, Debug)]
enum FileChange {
    Written { offset: usize, bytes: Vec<u8> },
    Truncated(usize),
}

/// Where a change of a file is, besides in the memory of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChangeState {
    /// It may be on the disk.
    Unsynced,
    /// It is on the disk.
    Synced,
    /// A sync of it failed: it is not on the disk, and no later sync writes it.
    Dropped,
}

/// A file, or a folder, whose names stand in [`DiskModel`].
#[derive(Clone, Debug, Default)]
struct DiskNode {
    is_folder: bool,
    /// The bytes before the changes.
    base: Vec<u8>,
    changes: Vec<(FileChange, ChangeState)>,
}

#[derive(Clone, Debug)]
enum NameChange {
    Added(PathBuf, NodeNumber),
    Renamed(PathBuf, PathBuf, NodeNumber),
    Removed(PathBuf),
}

impl NameChange {
    fn folder(&self) -> Option<&Path> {
        match self {
            Self::Added(path, _) | Self::Renamed(path, _, _) | Self::Removed(path) => path.parent(),
        }
    }

    fn apply(&self, names: &mut BTreeMap<PathBuf, NodeNumber>) {
        match self {
            Self::Added(path, node) => {
                names.insert(path.clone(), *node);
            }
            Self::Renamed(from, to, node) => {
                names.remove(from);
                names.insert(to.clone(), *node);
            }
            Self::Removed(path) => {
                names.remove(path);
            }
        }
    }
}

fn apply_change(bytes: &mut Vec<u8>, change: &FileChange) {
    match change {
        FileChange::Written {
            offset,
            bytes: written,
        } => {
            let end = offset + written.len();
            if bytes.len() < end {
                bytes.resize(end, 0);
            }
            bytes[*offset..end].copy_from_slice(written);
        }
        FileChange::Truncated(len) => bytes.truncate(*len),
    }
}

impl DiskNode {
    /// Returns what the system shows.
    fn bytes(&self) -> Vec<u8> {
        self.bytes_where(|_| true)
    }

    /// Returns what is surely on the disk.
    fn synced_bytes(&self) -> Vec<u8> {
        self.bytes_where(|state| state == ChangeState::Synced)
    }

    fn bytes_where(&self, counts: impl Fn(ChangeState) -> bool) -> Vec<u8> {
        let mut bytes = self.base.clone();
        let changes = self.changes.iter().filter(|(_, state)| counts(*state));
        changes.for_each(|(change, _)| apply_change(&mut bytes, change));
        bytes
    }

    fn change(&mut self, change: FileChange) {
        self.changes.push((change, ChangeState::Unsynced));
    }

    /// Ends a sync of the changes so far.
    fn sync(&mut self, end: ChangeState) {
        let states = self.changes.iter_mut().map(|(_, state)| state);
        states
            .filter(|state| **state == ChangeState::Unsynced)
            .for_each(|state| *state = end);
        if self
            .changes
            .iter()
            .all(|(_, state)| *state == ChangeState::Synced)
        {
            self.base = self.bytes();
            self.changes.clear();
        }
    }

    fn reset(&mut self, bytes: Vec<u8>) {
        self.base = bytes;
        self.changes.clear();
    }

    /// Returns what a loss of power may leave.
    fn after_power_loss(&self, random: &mut SmallRng) -> Vec<u8> {
        let kept_fraction = draw_fraction(random);
        let unit = UNIT_BYTES[random.random_range(0..UNIT_BYTES.len())];
        let mut bytes = self.base.clone();
        for (change, state) in &self.changes {
            match (state, change) {
                (ChangeState::Dropped, _) => {}
                (ChangeState::Synced, _) => apply_change(&mut bytes, change),
                _ if random.random_bool(kept_fraction) => apply_change(&mut bytes, change),
                (
                    _,
                    FileChange::Written {
                        offset,
                        bytes: written,
                    },
                ) if random.random_bool(0.5) => tear(&mut bytes, *offset, written, unit, random),
                _ => {}
            }
        }
        // A length may reach the disk without the bytes.
        let len = self.bytes().len();
        if bytes.len() < len && random.random_bool(0.3) {
            bytes.resize(len, 0);
        }
        bytes
    }
}

/// Applies a part of the units of a write.
fn tear(bytes: &mut Vec<u8>, offset: usize, written: &[u8], unit: usize, random: &mut SmallRng) {
    let end = offset + written.len();
    let mut at = offset;
    while at < end {
        let unit_end = ((at / unit + 1) * unit).min(end);
        let mut part = written[at - offset..unit_end - offset].to_vec();
        let kind = random.random_range(0..4);
        match kind {
            0 => random.fill(&mut part[..]),
            1 => part.fill(0),
            _ => {}
        }
        if kind < 3 {
            let change = FileChange::Written {
                offset: at,
                bytes: part,
            };
            apply_change(bytes, &change);
        }
        at = unit_end;
    }
}

/// All, none or some of the unsynced changes are kept.
fn draw_fraction(random: &mut SmallRng) -> f64 {
    match random.random_range(0..6) {
        0 => 0.0,
        1 => 1.0,
        _ => random.random_range(0.0..1.0),
    }
}

/// What the disk does with the next calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct DiskPlan {
    /// Number of calls until the process is killed, if it is.
    pub calls_left: Option<u64>,
    /// Probability that a call that needs room finds the disk full.
    pub full: f64,
    /// Probability that the sync of a file fails.
    pub sync_failure: f64,
}

/// The state of a disk, and of what it will do.
#[derive(Debug)]
pub struct DiskModel {
    root: PathBuf,
    nodes: Vec<DiskNode>,
    names: BTreeMap<PathBuf, NodeNumber>,
    synced_names: BTreeMap<PathBuf, NodeNumber>,
    unsynced_names: Vec<NameChange>,
    plan: DiskPlan,
    random: SmallRng,
}

pub type SharedDisk = Arc<Mutex<DiskModel>>;

impl DiskModel {
    /// Returns a disk whose files stand in an empty folder.
    pub fn shared(root: &Path, seed: u64) -> SharedDisk {
        let root = root.to_owned();
        Arc::new(Mutex::new(Self {
            nodes: Vec::new(),
            names: BTreeMap::new(),
            synced_names: BTreeMap::new(),
            unsynced_names: Vec::new(),
            plan: DiskPlan::default(),
            random: SmallRng::seed_from_u64(seed),
            root,
        }))
    }

    pub fn set_plan(&mut self, plan: DiskPlan) {
        self.plan = plan;
    }

    /// Has syncs of files fail with a probability from now on.
    pub fn set_sync_failure(&mut self, sync_failure: f64) {
        self.plan.sync_failure = sync_failure;
    }

    /// Returns whether the process has been killed by the plan.
    pub fn is_killed(&self) -> bool {
        self.plan.calls_left == Some(0)
    }

    fn add(&mut self, path: &Path, is_folder: bool) {
        let node = DiskNode {
            is_folder,
            ..DiskNode::default()
        };
        self.nodes.push(node);
        self.rename(NameChange::Added(path.to_owned(), self.nodes.len() - 1));
    }

    fn rename(&mut self, change: NameChange) {
        change.apply(&mut self.names);
        self.unsynced_names.push(change);
    }

    fn node(&mut self, path: &Path) -> &mut DiskNode {
        let number = self.names[path];
        &mut self.nodes[number]
    }

    /// Follows a call, or refuses it as planned.
    pub fn on_call(&mut self, call: DiskCall<'_>) -> io::Result<()> {
        match &mut self.plan.calls_left {
            Some(0) => return Err(io::Error::other("the process was killed")),
            Some(left) => *left -= 1,
            None => {}
        }
        if self.is_killed() {
            return Err(io::Error::other("the process was killed"));
        }
        let needs_room = !matches!(call, DiskCall::SetLen(..) | DiskCall::Remove(_));
        if needs_room && self.random.random_bool(self.plan.full) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        match call {
            DiskCall::MakeFolder(path) => self.add(path, true),
            DiskCall::Create(path) if self.names.contains_key(path) => {
                self.node(path).change(FileChange::Truncated(0));
            }
            DiskCall::Create(path) => self.add(path, false),
            DiskCall::Append(path, bytes) => {
                let node = self.node(path);
                let change = FileChange::Written {
                    offset: node.bytes().len(),
                    bytes: bytes.to_vec(),
                };
                node.change(change);
            }
            DiskCall::SetLen(path, len) => {
                let change = FileChange::Truncated(len as usize);
                self.node(path).change(change);
            }
            DiskCall::SyncFile(path) => {
                let fails = self.random.random_bool(self.plan.sync_failure);
                let end = match fails {
                    true => ChangeState::Dropped,
                    false => ChangeState::Synced,
                };
                self.node(path).sync(end);
                if fails {
                    return Err(io::Error::from_raw_os_error(libc::EIO));
                }
            }
            DiskCall::Rename(from, to) => {
                let node = self.names[from];
                self.rename(NameChange::Renamed(from.to_owned(), to.to_owned(), node));
            }
            DiskCall::Remove(path) => self.rename(NameChange::Removed(path.to_owned())),
            DiskCall::SyncFolder(path) => {
                let synced_names = &mut self.synced_names;
                self.unsynced_names.retain(|change| {
                    let stays = change.folder() != Some(path);
                    if !stays {
                        change.apply(synced_names);
                    }
                    stays
                });
            }
        }
        Ok(())
    }

    /// Returns the names below the root, those without a folder left out.
    fn reachable(&self, names: &BTreeMap<PathBuf, NodeNumber>) -> Vec<(PathBuf, NodeNumber)> {
        let has_folder = |path: &Path| {
            let mut parents = path.ancestors().skip(1).take_while(|up| *up != self.root);
            parents.all(|up| names.contains_key(up))
        };
        let reachable = names.iter().filter(|(path, _)| has_folder(path));
        reachable
            .map(|(path, node)| (path.clone(), *node))
            .collect()
    }

    /// Changes a byte that was synced.
    pub fn damage(&mut self, path: &Path, at: usize) {
        let node = self.node(path);
        let mut bytes = node.synced_bytes();
        bytes[at] ^= 0x10;
        fs::write(path, &bytes).unwrap();
        node.reset(bytes);
    }

    /// Returns whether the last call of a killed process was made, as far as that makes a difference.
    pub fn was_made(&self, call: DiskCall<'_>) -> bool {
        let len = |path: &Path| fs::metadata(path).map_or(0, |data| data.len());
        match call {
            DiskCall::Create(path) if self.names.contains_key(path) => len(path) == 0,
            DiskCall::Create(path) | DiskCall::MakeFolder(path) => path.exists(),
            DiskCall::SetLen(path, kept) => len(path) == kept,
            DiskCall::Rename(from, _) => !from.exists(),
            DiskCall::Remove(path) => !path.exists(),
            DiskCall::Append(..) | DiskCall::SyncFile(_) | DiskCall::SyncFolder(_) => true,
        }
    }

    /// Cuts off what a killed process did not come to append.
    pub fn cut_appends(&mut self) {
        for (path, number) in self.reachable(&self.names) {
            let node = &mut self.nodes[number];
            if !node.is_folder {
                let len = fs::metadata(&path).unwrap().len() as usize;
                node.change(FileChange::Truncated(len));
            }
        }
    }

    /// Takes the files as they are, all of them synced.
    pub fn adopt_files(&mut self) {
        self.nodes.clear();
        self.names.clear();
        self.adopt_folder(&self.root.clone());
        self.synced_names = self.names.clone();
        self.unsynced_names.clear();
    }

    fn adopt_folder(&mut self, folder: &Path) {
        for entry in fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            let is_folder = path.is_dir();
            self.names.insert(path.clone(), self.nodes.len());
            self.nodes.push(DiskNode {
                is_folder,
                base: if is_folder {
                    Vec::new()
                } else {
                    fs::read(&path).unwrap()
                },
                changes: Vec::new(),
            });
            if is_folder {
                self.adopt_folder(&path);
            }
        }
    }

    /// Checks that the files are what the calls have made of them: no call is missing.
    pub fn check_files(&self) {
        for (path, number) in self.reachable(&self.names) {
            let node = &self.nodes[number];
            if !node.is_folder {
                assert_eq!(fs::read(&path).unwrap(), node.bytes(), "{}", path.display());
            }
        }
    }

    /// Leaves of the files what a loss of power may leave.
    pub fn lose_power(&mut self) {
        let kept_fraction = draw_fraction(&mut self.random);
        let mut names = self.synced_names.clone();
        for change in &self.unsynced_names {
            if self.random.random_bool(kept_fraction) {
                change.apply(&mut names);
            }
        }
        let mut random = SmallRng::seed_from_u64(self.random.random());
        self.restore(&names, |node| node.after_power_loss(&mut random));
    }

    /// Leaves of the files what was synced.
    pub fn lose_unsynced(&mut self) {
        let names = self.synced_names.clone();
        self.restore(&names, DiskNode::synced_bytes);
    }

    fn restore(
        &mut self,
        names: &BTreeMap<PathBuf, NodeNumber>,
        mut bytes_of: impl FnMut(&DiskNode) -> Vec<u8>,
    ) {
        for entry in fs::read_dir(&self.root).unwrap() {
            let path = entry.unwrap().path();
            match path.is_dir() {
                true => fs::remove_dir_all(path).unwrap(),
                false => fs::remove_file(path).unwrap(),
            }
        }
        // A name whose folder is lost is lost with it.
        let reachable = self.reachable(names);
        self.names.clear();
        for (path, number) in reachable {
            let node = &mut self.nodes[number];
            node.reset(bytes_of(node));
            match node.is_folder {
                true => fs::create_dir(&path).unwrap(),
                false => fs::write(&path, &node.base).unwrap(),
            }
            self.names.insert(path, number);
        }
        self.synced_names = self.names.clone();
        self.unsynced_names.clear();
    }
}

/// Returns a data folder whose calls go to the disk.
pub fn data_folder(path: &Path, disk: &SharedDisk) -> DataFolder {
    let disk = disk.clone();
    DataFolder::checked(
        path,
        Arc::new(move |call| disk.lock().unwrap().on_call(call)),
    )
}
