//! Memory of this process, as the operating system counts it.

use std::fs;

/// Resident memory of a process, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryUse {
    /// Resident now.
    pub resident_bytes: u64,
    /// Most that was ever resident.
    pub peak_bytes: u64,
}

impl MemoryUse {
    /// Reads the memory of this process; `None` where the system does not report it.
    pub fn read() -> Option<Self> {
        Self::parse(&fs::read_to_string("/proc/self/status").ok()?)
    }

    /// Parses the text of `/proc/PID/status`.
    pub fn parse(status: &str) -> Option<Self> {
        let field = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name))?;
            let kib: u64 = line.strip_suffix("kB")?.trim().parse().ok()?;
            Some(kib * 1024)
        };
        Some(Self {
            resident_bytes: field("VmRSS:")?,
            peak_bytes: field("VmHWM:")?,
        })
    }

    /// Returns both figures with their names.
    pub fn by_kind(self) -> [(&'static str, u64); 2] {
        [
            ("resident", self.resident_bytes),
            ("peak", self.peak_bytes),
        ]
    }
}
