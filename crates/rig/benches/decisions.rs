//! Benchmarks of the decision logic, which does no I/O, with 110, 1,100 and 11,000 backend servers.

use std::{hint::black_box, sync::Arc, time::Duration};

use call::{
    Action, Call, CallRequest, GateSession, Selection, ServerSelector, Timeouts, TokenBucket,
};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use gate::{Completion, Gate, Offer, RetentionLimits};
use note::{Limits, View};
use rand::{SeedableRng, rngs::SmallRng};
use route::{Balancer, LoadReport, Member, PolicyKind};
use serde_json::{Value, json};
use types::{Answer, Boot, Moment, Outcome, ServerId, Slots, Span};

const SERVER_COUNTS: [usize; 3] = [110, 1_100, 11_000];
const SERVICE_COUNT: usize = 51;

fn release_note(count: usize) -> String {
    let zones: Vec<Value> = (0..4)
        .map(|z| json!({ "id": format!("zone-{z}"), "region": format!("r{}", z / 2) }))
        .collect();
    let services: Vec<Value> = (0..SERVICE_COUNT)
        .map(|s| json!({ "id": format!("service-{s}") }))
        .collect();
    let server = |index: usize| {
        let ip = format!("10.{}.{}.{}", index >> 16, (index >> 8) & 255, index & 255);
        json!({
            "id": format!("server-{index}"), "service": format!("service-{}", index % SERVICE_COUNT),
            "zone": format!("zone-{}", index % 4), "host": format!("host-{index}"),
            "node": format!("{ip}:7000"), "address": format!("{ip}:9000"),
        })
    };
    let servers: Vec<Value> = (0..count).map(server).collect();
    let add = json!({ "zones": zones, "services": services, "servers": servers });
    json!({ "author": "bench", "after": 0, "add": add }).to_string()
}

fn view(count: usize) -> View {
    let mut view = View::default();
    assert!(view.apply(&release_note(count)).is_empty());
    view
}

fn zone_change(after: u64) -> String {
    let zone = json!({ "id": "zone-0", "region": "r0", "status": "out" });
    json!({ "author": "bench", "after": after, "change": { "zones": [zone] } }).to_string()
}

fn apply_note(c: &mut Criterion) {
    let mut group = c.benchmark_group("fold_one_note");
    for count in SERVER_COUNTS {
        let view = Arc::new(view(count));
        println!(
            "view of {count} backend servers: {} bytes of JSON",
            json_bytes(&view)
        );
        let text = zone_change(1);
        group.bench_with_input(BenchmarkId::from_parameter(count), &count, |b, _| {
            b.iter(|| {
                // Applies the note to a copy, as a node does while other threads still read the previous
                // view.
                let mut next = Arc::clone(&view);
                Arc::make_mut(&mut next).apply(&text);
                next
            });
        });
    }
    group.finish();
}

fn json_bytes(view: &View) -> usize {
    serde_json::to_vec(view).map_or(0, |text| text.len())
}

fn members(count: usize) -> Vec<Member> {
    let member = |index: usize| Member {
        id: format!("server-{index}").parse().expect("valid server id"),
        local: index.is_multiple_of(4),
        slots: 10,
    };
    (0..count.div_ceil(SERVICE_COUNT)).map(member).collect()
}

fn balancer(count: usize) -> Balancer {
    let mut balancer = Balancer::new(PolicyKind::TwoChoices.build(), SmallRng::seed_from_u64(1));
    balancer.set_members(members(count), Boot(1));
    balancer
}

fn select_and_report(c: &mut Criterion) {
    let mut group = c.benchmark_group("choose_and_learn");
    for count in SERVER_COUNTS {
        let mut balancer = balancer(count);
        let mut now = Moment(1_000_000);
        group.bench_with_input(BenchmarkId::from_parameter(count), &count, |b, _| {
            b.iter(|| {
                now = now + Span(10);
                let id = balancer
                    .select(&[], &[], now)
                    .expect("balancer has members")
                    .server;
                balancer.on_sent(&id);
                let report = LoadReport {
                    load: 3,
                    allowed: 10,
                    mean_latency: Span::from_millis(5),
                    slowdown_percent: 100,
                    room_after: Span::default(),
                };
                balancer.on_report(&id, report, now);
                balancer.on_closed(&id);
            });
        });
    }
    group.finish();
    let mut group = c.benchmark_group("set_members_of_a_service");
    for count in SERVER_COUNTS {
        let members = members(count);
        let mut balancer = balancer(count);
        group.bench_with_input(BenchmarkId::from_parameter(count), &count, |b, _| {
            b.iter(|| balancer.set_members(black_box(members.clone()), Boot(1)));
        });
    }
    group.finish();
}

/// Selects the same backend server for every first attempt, and none for further attempts.
struct FixedServer(ServerId);

impl ServerSelector for FixedServer {
    fn select(&mut self, tried: &[ServerId], _declined: &[ServerId]) -> Option<Selection> {
        tried.is_empty().then(|| Selection {
            server: self.0.clone(),
            has_alternatives: false,
        })
    }
}

fn call_and_gate(c: &mut Criterion) {
    let limits = Limits {
        slots: Slots(10),
        cold: Slots(10),
        ..Limits::default()
    };
    let mut gate = Gate::new(Boot(1), limits, RetentionLimits::default());
    gate.set_open(true);
    gate.extend_lease(Moment::MAX);
    let mut now = Moment(1_000_000);
    let session = gate.open_session(Boot(2), now);
    let mut gate_session = GateSession::new(Boot(1), session, now, now, now);
    let answer = Arc::new(Answer {
        status: 200,
        ..Answer::default()
    });
    let mut selector = FixedServer("server-1".parse().expect("valid server id"));
    let mut budget = TokenBucket::default();
    let timeouts = Timeouts {
        reply_timeout: Span(100_000),
        hedge_delay: Span(50_000),
        query_interval: Span(100_000),
    };
    c.bench_function("one_call_at_ingress_and_gate", |b| {
        b.iter(|| {
            now = now + Span(10);
            let deadline = now + Span::from_millis(100);
            let request = CallRequest {
                idempotent: false,
                is_retry: false,
                deadline,
                max_attempts: 3,
            };
            let mut call = Call::new(request, timeouts);
            let actions = call.start(now, &mut selector);
            assert!(matches!(actions.first(), Some(Action::Send { .. })));
            let attempt = gate_session.start_attempt(deadline);
            let offer = Offer {
                id: attempt.id,
                floor: attempt.floor,
                deadline: attempt.deadline,
                fail_fast: false,
                is_retry: false,
                refusal: None,
                rank: gate::Rank::default(),
            };
            black_box(gate.offer(offer, now));
            black_box(gate.complete(attempt.id, Completion::Answered(Arc::clone(&answer)), now));
            let outcome = Outcome::Answer(Arc::clone(&answer));
            black_box(call.on_outcome(0, outcome, now, &mut selector, &mut budget));
            gate_session.settle(attempt.id);
        });
    });
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    targets = apply_note, select_and_report, call_and_gate
}
criterion_main!(benches);
