//! Time of the pure decisions at 110, 1,100 and 11,000 backend servers.

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

const SIZES: [usize; 3] = [110, 1_100, 11_000];
const SERVICES: usize = 51;

fn note(size: usize) -> String {
    let zones: Vec<Value> = (0..4)
        .map(|z| json!({ "id": format!("zone-{z}"), "region": format!("r{}", z / 2) }))
        .collect();
    let services: Vec<Value> = (0..SERVICES)
        .map(|s| json!({ "id": format!("service-{s}") }))
        .collect();
    let server = |at: usize| {
        let ip = format!("10.{}.{}.{}", at >> 16, (at >> 8) & 255, at & 255);
        json!({
            "id": format!("server-{at}"), "service": format!("service-{}", at % SERVICES),
            "zone": format!("zone-{}", at % 4), "host": format!("host-{at}"),
            "node": format!("{ip}:7000"), "address": format!("{ip}:9000"),
        })
    };
    let servers: Vec<Value> = (0..size).map(server).collect();
    let add = json!({ "zones": zones, "services": services, "servers": servers });
    json!({ "author": "bench", "after": 0, "add": add }).to_string()
}

fn view(size: usize) -> View {
    let mut view = View::default();
    assert!(view.apply(&note(size)).is_empty());
    view
}

fn change(after: u64) -> String {
    let zone = json!({ "id": "zone-0", "region": "r0", "status": "out" });
    json!({ "author": "bench", "after": after, "change": { "zones": [zone] } }).to_string()
}

fn fold(c: &mut Criterion) {
    let mut group = c.benchmark_group("fold_one_note");
    for size in SIZES {
        let view = Arc::new(view(size));
        println!(
            "view of {size} backend servers: {} bytes of JSON",
            json_bytes(&view)
        );
        let text = change(1);
        group.bench_with_input(BenchmarkId::from_parameter(size), &size, |b, _| {
            b.iter(|| {
                // As a node does while others still read the view before.
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

fn members(size: usize) -> Vec<Member> {
    let member = |at: usize| Member {
        id: format!("server-{at}").parse().expect("a name"),
        local: at.is_multiple_of(4),
        slots: 10,
    };
    (0..size.div_ceil(SERVICES)).map(member).collect()
}

fn table(size: usize) -> Balancer {
    let mut table = Balancer::new(PolicyKind::TwoChoices.build(), SmallRng::seed_from_u64(1));
    table.set_members(members(size), Boot(1));
    table
}

fn choice(c: &mut Criterion) {
    let mut group = c.benchmark_group("choose_and_learn");
    for size in SIZES {
        let mut table = table(size);
        let mut now = Moment(1_000_000);
        group.bench_with_input(BenchmarkId::from_parameter(size), &size, |b, _| {
            b.iter(|| {
                now = now + Span(10);
                let id = table
                    .select(&[], &[], now)
                    .expect("a backend server")
                    .server;
                table.on_sent(&id);
                let report = LoadReport {
                    load: 3,
                    allowed: 10,
                    mean_latency: Span::from_millis(5),
                    slowdown_percent: 100,
                };
                table.on_report(&id, report, now);
                table.on_closed(&id);
            });
        });
    }
    group.finish();
    let mut group = c.benchmark_group("set_members_of_a_service");
    for size in SIZES {
        let members = members(size);
        let mut table = table(size);
        group.bench_with_input(BenchmarkId::from_parameter(size), &size, |b, _| {
            b.iter(|| table.set_members(black_box(members.clone()), Boot(1)));
        });
    }
    group.finish();
}

struct One(ServerId);

impl ServerSelector for One {
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
    let mut link = GateSession::new(Boot(1), session, now, now, now);
    let answer = Arc::new(Answer {
        status: 200,
        ..Answer::default()
    });
    let mut one = One("server-1".parse().expect("a name"));
    let mut budget = TokenBucket::default();
    let timing = Timeouts {
        reply_timeout: Span(100_000),
        hedge_delay: Span(50_000),
        ask_interval: Span(100_000),
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
            let mut call = Call::new(request, timing);
            let actions = call.start(now, &mut one);
            assert!(matches!(actions.first(), Some(Action::Send { .. })));
            let sent = link.start_attempt(deadline);
            let offer = Offer {
                id: sent.id,
                floor: sent.floor,
                deadline: sent.deadline,
                fail_fast: false,
                wrong_server: false,
                rank: gate::Rank::default(),
            };
            black_box(gate.offer(offer, now));
            black_box(gate.complete(sent.id, Completion::Answered(Arc::clone(&answer)), now));
            let outcome = Outcome::Answer(Arc::clone(&answer));
            black_box(call.on_outcome(0, outcome, now, &mut one, &mut budget));
            link.settle(sent.id);
        });
    });
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    targets = fold, choice, call_and_gate
}
criterion_main!(benches);
