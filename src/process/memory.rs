//! Memory of this process: what the operating system counts, and how freed memory goes back to it.

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
        [("resident", self.resident_bytes), ("peak", self.peak_bytes)]
    }
}

/// Size from which an allocation is returned to the system as soon as it is freed, in bytes.
#[cfg(target_env = "gnu")]
const MMAP_THRESHOLD_BYTES: libc::c_int = 256 * 1024;
/// Free memory at the end of a heap from which it is returned to the system, in bytes.
#[cfg(target_env = "gnu")]
const TRIM_THRESHOLD_BYTES: libc::c_int = 1024 * 1024;

/// Has the allocator return freed memory to the system. By default glibc raises both thresholds
/// with the size of what is freed, up to 32 and 64 MiB for each thread's heap.
pub fn return_freed_memory() {
    #[cfg(target_env = "gnu")]
    // SAFETY: `mallopt` may be called at any time, with any values.
    unsafe {
        libc::mallopt(libc::M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
        libc::mallopt(libc::M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES);
    }
}
