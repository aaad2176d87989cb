//! The memory of a process, as the system reports it.

use dunlinspring::process::memory::MemoryUse;

#[test]
fn resident_and_peak_memory_are_read_in_bytes() {
    let status = "Name:\tcontrol\nVmPeak:\t  900 kB\nVmHWM:\t    300 kB\nVmRSS:\t    200 kB\n";
    let expected = MemoryUse {
        resident_bytes: 200 * 1024,
        peak_bytes: 300 * 1024,
    };
    assert_eq!(MemoryUse::parse(status), Some(expected));
    assert_eq!(MemoryUse::parse("Name:\tcontrol\n"), None);
}
