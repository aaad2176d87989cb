//! Replica records for tests.

use dunlinspring::consensus::directory::{ReplicaPhase, ReplicaRecord};
use dunlinspring::ids::{HallName, ReplicaId, ServiceName};

/// Returns a replica that is ready and warm and holds no models; tests set further fields.
pub fn ready_replica(id: impl Into<ReplicaId>, service: &str) -> ReplicaRecord {
    ReplicaRecord {
        id: id.into(),
        service: ServiceName::from(service),
        address: ([127, 0, 0, 1], 9).into(),
        hall: HallName::from("hall"),
        slots: 4,
        phase: ReplicaPhase::Ready,
        models: Default::default(),
        in_memory: Default::default(),
        on_disk: Default::default(),
        seq: 0,
        started_ms: 0,
        cold_ms: 0,
    }
}
