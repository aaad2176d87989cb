//! How long origins of streams are remembered.

use dunlinspring::consensus::software_versions::SoftwareVersion;
use dunlinspring::ids::{ServiceName, VersionName};
use dunlinspring::routing::stream_origins::{OriginMemory, StreamKey, StreamOrigin};

/// How long origins of a service with long streams are kept, in milliseconds.
const LONG_MS: u64 = 100_000;
/// How long those of a service with short streams are kept, in milliseconds.
const SHORT_MS: u64 = 10_000;

fn origin(service: &str) -> StreamOrigin {
    StreamOrigin {
        service: ServiceName::from(service),
        version: SoftwareVersion::Named(VersionName::from("v1")),
    }
}

/// Guards against origins that are forgotten early because streams of another service are shorter.
#[test]
fn an_origin_is_kept_for_its_time_beside_streams_that_need_less() {
    let mut memory = OriginMemory::default();
    let long = StreamKey::new("", "long");
    memory.record(0, LONG_MS, long, &origin("long"));
    for now_ms in (0..=LONG_MS).step_by(SHORT_MS as usize) {
        let key = StreamKey::new("", &format!("short-{now_ms}"));
        memory.record(now_ms, SHORT_MS, key, &origin("short"));
        assert_eq!(memory.find(&long), Some(&origin("long")), "at {now_ms} ms");
    }
}
