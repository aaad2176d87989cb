//! Benchmarks of the decisions of the pure core, each at several sizes to show how its cost grows.
//!
//! `cargo bench --bench core`

#[path = "../tests/support_replicas/mod.rs"]
mod support_replicas;

use std::collections::{BTreeMap, BTreeSet};
use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use dunlinspring::admission::controller::*;
use dunlinspring::admission::ledger::OrderCheck;
use dunlinspring::admission::queue::QueuePolicy;
use dunlinspring::consensus::software_versions::{NamedVersions, SoftwareVersion};
use dunlinspring::consensus::state::*;
use dunlinspring::forward::locality::EntryLocation;
use dunlinspring::forward::need::ChoicePolicy;
use dunlinspring::forward::replica_table::ReplicaTable;
use dunlinspring::ids::*;
use dunlinspring::placement::moves::{self, DemandTracker, PlacementPolicy};
use dunlinspring::routing::route::{self, HomeCandidate, LoadTracker, RoutePolicy, RouteRequest};
use dunlinspring::routing::stream_origins::{MAX_ORIGINS, OriginMemory, StreamKey, StreamOrigin};
use dunlinspring::routing::view;
use dunlinspring::table::accounts::{AccountList, AccountSpec, QuotaSpec, QuotaUnit};
use dunlinspring::table::limits::{LimitClaim, LimitPolicy, ShareGrantor};
use dunlinspring::table::quota::{EntryIncarnation, QuotaClaim, QuotaGrantor, QuotaRequest};
use dunlinspring::table::rows::{RowChange, RowEdit, RowFields, Urgency};
use dunlinspring::table::site::{ModelKind, ModelSpec, SiteSpec, TargetSpec};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support_replicas::ready_replica;

fn site(models: usize, targets: usize) -> SiteSpec {
    let model = |number: usize| {
        let spec = ModelSpec {
            kind: ModelKind::Base,
            weights_mib: 1000 + (number as u64 * 37) % 2000,
            kv_kib_per_token: 100,
        };
        (ModelName(format!("model-{number}")), spec)
    };
    let target = |number: usize| {
        let spec = TargetSpec {
            hall: HallName(format!("hall-{}", number % 10)),
            memory_mib: 12_000,
            kv_floor_mib: 2_000,
            accelerators: 2,
        };
        (TargetName(format!("target-{number:05}")), spec)
    };
    SiteSpec {
        generation: 1,
        spare_targets: 1,
        load_gap_ms: 0,
        loads_at_once: 1000,
        limits: LimitPolicy::default(),
        models: (0..models).map(model).collect(),
        targets: (0..targets).map(target).collect(),
    }
}

fn fields(model: usize) -> RowFields {
    RowFields {
        model: ModelName(format!("model-{model}")),
        class: "class".to_owned(),
        urgency: Urgency::Standard,
        weight: 1,
        max_running: 100,
        patience_ms: 1000,
        at_most_once: false,
        whole: false,
    }
}

fn edit(number: usize, model: usize, expected: Position) -> RowEdit {
    RowEdit {
        id: EditId(format!("edit-{number}")),
        partner: PartnerName::from("fiji"),
        row: RowId(format!("row-{model}")),
        expected,
        change: RowChange::Put(fields(model)),
    }
}

/// Returns a state with all rows and agents, and three loads ordered on each target.
fn populated_state(models: usize, targets: usize) -> SiteState {
    let mut state = SiteState::default();
    let run = |state: &mut SiteState, command: Command| {
        let position = Position(state.position.0 + 1);
        let at_ms = position.0;
        state.apply(position, &Stamped { at_ms, command })
    };
    run(&mut state, Command::Site(site(models, targets)));
    for number in 0..targets {
        let host = HostName(format!("target-{number:05}"));
        let hall = HallName(format!("hall-{}", number % 10));
        let address = "10.0.0.1:7000".to_owned();
        run(
            &mut state,
            Command::Join(host, MemberRole::Agent, address, hall),
        );
    }
    for model in 0..models {
        run(&mut state, Command::Edit(edit(model, model, Position(0))));
    }
    for target in 0..targets {
        for model in 0..3 {
            let model = ModelName(format!("model-{}", (target * 3 + model) % models));
            let target = TargetName(format!("target-{target:05}"));
            run(&mut state, Command::Move(target, model, MoveKind::Load));
        }
    }
    state
}

fn choose(c: &mut Criterion) {
    let mut group = c.benchmark_group("route_choose");
    let policy = RoutePolicy {
        subset: 8,
        affinity_slack: 2,
        hall_slack: 1,
        by_load: true,
    };
    let hall = HallName::from("hall-1");
    for homes in [2usize, 8, 40, 200] {
        let names: Vec<TargetName> = (0..homes)
            .map(|number| TargetName(format!("target-{number}")))
            .collect();
        let choices: Vec<HomeCandidate<'_>> = names
            .iter()
            .map(|target| HomeCandidate {
                target,
                hall: &hall,
            })
            .collect();
        let req = RouteRequest {
            entry: 1,
            hall: &hall,
            prefix: "the beginning of a prompt",
        };
        let book = LoadTracker::default();
        let mut rng = SmallRng::seed_from_u64(1);
        group.bench_with_input(BenchmarkId::from_parameter(homes), &homes, |b, _| {
            b.iter(|| black_box(route::choose(&policy, &req, &choices, &book, 1, &mut rng)));
        });
    }
    group.finish();
}

fn accept(c: &mut Criterion) {
    let mut group = c.benchmark_group("accept_edit");
    group.sample_size(20);
    for (models, targets) in [(26, 100), (260, 1000), (260, 10_000)] {
        let state = populated_state(models, targets);
        let name = format!("{models}x{targets}");
        group.bench_function(BenchmarkId::from_parameter(name), |b| {
            let mut table = state.table.clone();
            let mut number = 1_000_000;
            b.iter(|| {
                number += 1;
                let row = RowId("row-1".to_owned());
                let expected = table.rows()[&row].version;
                let edit = edit(number, 1, expected);
                black_box(table.apply(&state.site, Position(number as u64), 0, &edit))
            });
        });
    }
    group.finish();
}

fn place(c: &mut Criterion) {
    let mut group = c.benchmark_group("placement_round");
    group.sample_size(10);
    let policy = PlacementPolicy {
        move_price: 1.0,
        spread: 2,
        by_demand: true,
    };
    for (models, targets) in [(26, 20), (260, 200), (260, 1000), (260, 10_000)] {
        let state = populated_state(models, targets);
        let demand = DemandTracker::default();
        let name = format!("{models}x{targets}");
        group.bench_function(BenchmarkId::from_parameter(name), |b| {
            b.iter(|| black_box(moves::plan(&state, &policy, &demand, state.clock_ms)));
        });
    }
    group.finish();
}

fn page(c: &mut Criterion) {
    let mut group = c.benchmark_group("sync_page");
    group.sample_size(20);
    for (models, targets) in [(26, 20), (260, 1000), (260, 10_000)] {
        let state = populated_state(models, targets);
        let behind = Position(state.changed().0 - 500.min(state.changed().0 - 1));
        let full_page = bincode::serialize(&view::page_after(&state, Position(0))).unwrap();
        let tail = bincode::serialize(&view::page_after(&state, behind)).unwrap();
        println!(
            "page bytes {models}x{targets}: whole {}, 500 behind {}",
            full_page.len(),
            tail.len()
        );
        let name = format!("{models}x{targets}");
        group.bench_function(BenchmarkId::new("500_behind", &name), |b| {
            b.iter(|| black_box(view::page_after(&state, behind)));
        });
        group.bench_function(BenchmarkId::new("whole", &name), |b| {
            b.iter(|| black_box(view::page_after(&state, Position(0))));
        });
    }
    group.finish();
}

fn run_cycle(c: &mut Criterion) {
    let mut group = c.benchmark_group("gate_cycle");
    for remembered in [100u64, 1000, 10_000] {
        let queue = QueuePolicy {
            slots: 64,
            batch_headroom: 4,
            refuse_early: true,
            ordered: true,
            limit: 1024,
        };
        let policy = AdmissionPolicy {
            capacity_mib: 0,
            check: OrderCheck::Fenced,
            lease_ms: 1000,
            queue,
        };
        let service = ModelName::from("service");
        let fixed = BTreeSet::from([service.clone()]);
        let mut controller = AdmissionController::new(Incarnation(1), policy, fixed, 0);
        let mut number = 0;
        let mut cycle = |controller: &mut AdmissionController| {
            number += 1;
            let attempt = AttemptId {
                entry: Incarnation(1),
                number,
            };
            let call = EngineCall {
                model: service.clone(),
                prompt: String::new(),
                path: None,
                max_tokens: 1,
                given: 0,
                kv_mib: 0,
            };
            let request = RunRequest {
                attempt,
                incarnation: Incarnation(1),
                row: RowId::from("row"),
                version: Position(1),
                urgency: Urgency::Interactive,
                weight: 1,
                at_most_once: false,
                patience_ms: 1000,
                call,
                content: ContentDigest([0; ContentDigest::LEN]),
                parts: Vec::new(),
                continues: None,
            };
            controller.start(1, request);
            controller.next_run(1);
            controller.on_run_event(1, attempt, RunEvent::Ended);
            black_box(controller.pull(1, attempt, Incarnation(1), 0));
        };
        (0..remembered).for_each(|_| cycle(&mut controller));
        group.bench_function(BenchmarkId::from_parameter(remembered), |b| {
            b.iter(|| cycle(&mut controller));
        });
    }
    group.finish();
}

fn grant(c: &mut Criterion) {
    let mut group = c.benchmark_group("grant_share");
    for entries in [4u64, 60, 960] {
        let policy = LimitPolicy {
            entries: entries as u32,
            lease_ms: 2000,
        };
        let mut grantor = ShareGrantor::new(policy, 0);
        let row = RowId::from("row");
        let claim = LimitClaim { held: 1, wanted: 3 };
        let mut request =
            |entry: u64| grantor.grant(10_000, Incarnation(entry), &row, 5000, 1000, claim);
        (0..entries).for_each(|entry| {
            request(entry);
        });
        group.bench_function(BenchmarkId::from_parameter(entries), |b| {
            b.iter(|| black_box(request(1)));
        });
    }
    group.finish();
}

/// Number of accounts that each entry requests units for.
const REQUESTED_ACCOUNTS: usize = 8;

fn account_list(accounts: usize) -> AccountList {
    let account = |number: usize| AccountSpec {
        name: AccountName(format!("account-{number}")),
        keys: Vec::new(),
        priority: None,
        quota: Some(QuotaSpec {
            unit: QuotaUnit::Tokens,
            per_s: 1e9,
            burst: 1e9,
            plain_tokens: 100,
        }),
        regions: Default::default(),
    };
    AccountList {
        accounts: (0..accounts).map(account).collect(),
    }
}

/// Returns a request for the first accounts, which all entries request units for.
fn quota_request(entry: usize, number: u64) -> QuotaRequest {
    let claim = QuotaClaim {
        balance: 1_000,
        cheapest: 100,
        needed: 200,
        prefetch: 1_000,
        demand: 1_000,
        ..QuotaClaim::default()
    };
    let claims =
        (0..REQUESTED_ACCOUNTS).map(|place| (AccountName(format!("account-{place}")), claim));
    QuotaRequest {
        entry: EntryIncarnation {
            host: HostName(format!("entry-{entry}")),
            incarnation: 1,
        },
        number,
        claims: claims.collect(),
    }
}

/// Grants one request for eight accounts that all entries request units for. When each request
/// summed over all entries, it took 2.6 us at 10 entries and 10 accounts, 7.1 us at 100 and 100,
/// 56.4 us at 960 and 1,000; with maintained totals 3.2, 3.5 and 3.0 us.
fn grant_quota(c: &mut Criterion) {
    let mut group = c.benchmark_group("grant_quota");
    for (entries, accounts) in [(10, 10), (100, 100), (960, 1_000)] {
        let mut grantor = QuotaGrantor::new(0);
        grantor.set_limits(1, Some(&account_list(accounts)));
        for entry in 0..entries {
            grantor.grant(10_000, &quota_request(entry, 1));
        }
        let mut request = quota_request(1, 1);
        let name = BenchmarkId::new(entries.to_string(), accounts);
        group.bench_function(name, |b| {
            b.iter(|| {
                request.number += 1;
                black_box(grantor.grant(10_000, &request))
            });
        });
    }
    group.finish();
}

/// Applies a view that changes neither a replica nor a software version.
fn follow_same_view(c: &mut Criterion) {
    let mut group = c.benchmark_group("follow_same_view");
    for replicas in [100usize, 1_000, 10_000] {
        let records: BTreeMap<ReplicaId, _> = (0..replicas)
            .map(|number| {
                let record = ready_replica(format!("replica-{number:05}").as_str(), "llm");
                (record.id.clone(), record)
            })
            .collect();
        let named: NamedVersions = records
            .values()
            .map(|record| (record.incarnation(), VersionName::from("v1")))
            .collect();
        let policy = ChoicePolicy::default();
        let mut table = ReplicaTable::new(policy, EntryLocation::default());
        table.update_records(0, &records);
        table.update_versions(&named);
        group.bench_function(BenchmarkId::new("versions", replicas), |b| {
            b.iter(|| {
                if table.update_versions(&named) {
                    black_box(table.versions().len());
                }
            });
        });
        group.bench_function(BenchmarkId::new("whole", replicas), |b| {
            b.iter(|| {
                let has_other_runs = table.update_records(0, &records);
                if table.update_versions(&named) || has_other_runs {
                    black_box(table.versions().len());
                }
            });
        });
    }
    group.finish();
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    kib.unwrap_or(0)
}

fn sizes(_: &mut Criterion) {
    for models in [3usize, 10, 30] {
        let holds: BTreeMap<ModelName, bool> = (0..models)
            .map(|number| (ModelName(format!("model-{number}")), true))
            .collect();
        let busy = (0..models)
            .map(|number| (ModelName(format!("model-{number}")), 3))
            .collect();
        let heartbeat = dunlinspring::placement::target_controller::AgentHeartbeat {
            host: HostName::from("target-00001"),
            incarnation: Incarnation(1),
            position: Position(1),
            plan: Position(1),
            holds: Some(holds),
            busy,
            leaving: false,
            stopped: false,
        };
        let want = (0..models).map(|number| (ModelName(format!("model-{number}")), 1000));
        let orders = dunlinspring::process::wire::AgentHeartbeatReply {
            plan: Some(TargetPlan {
                term: Term(1),
                position: Position(1),
                incarnation: Incarnation(1),
                desired_models: Some(want.collect()),
                lease_ms: 1500,
            }),
            position: Position(1),
        };
        let heartbeat = bincode::serialize(&heartbeat).unwrap().len();
        let orders = bincode::serialize(&orders).unwrap().len();
        println!("bytes at {models} models: heartbeat {heartbeat}, orders {orders}");
    }
    for (models, targets) in [(26, 20), (260, 1000), (260, 10_000)] {
        let state = populated_state(models, targets);
        let page = view::page_after(&state, Position(0));
        let before = resident_kib();
        let mut copy = view::SiteView::default();
        copy.follow(&page);
        let kib = resident_kib().saturating_sub(before);
        println!(
            "member's copy {models}x{targets}: {kib} KiB, {} models",
            copy.homes.len()
        );
        let snapshot = bincode::serialize(&state).unwrap().len();
        println!("snapshot bytes {models}x{targets}: {snapshot}");
    }
}

/// Prints the memory of the origins of streams.
fn origin_sizes(_: &mut Criterion) {
    let origin = StreamOrigin {
        service: ServiceName::from("review-models"),
        version: SoftwareVersion::Named(VersionName::from("v1")),
    };
    let before = resident_kib();
    let mut memory = OriginMemory::default();
    for number in 0..2 * MAX_ORIGINS {
        let key = StreamKey::new("account", &number.to_string());
        memory.record(0, u64::MAX, key, &origin);
    }
    let grown = resident_kib().saturating_sub(before);
    println!("memory of {} origins: {grown} KiB", memory.len());
}

criterion_group!(
    benches,
    // Measures the process: first, before others have allocated.
    origin_sizes,
    choose,
    accept,
    place,
    page,
    run_cycle,
    grant,
    grant_quota,
    follow_same_view,
    sizes
);
criterion_main!(benches);
