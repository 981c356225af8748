//! Messages that no correct node sends must not end the process.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard},
};

use attempt::{KnownLimit, Reply, ServerRequest};
use backend::{Backend, ProbeError, RequestResult, Target};
use dialect::{ResponseMetadata, ServerLoad};
use fixtures::board;
use fleet::Lease;
use futures::{
    FutureExt,
    future::{BoxFuture, pending},
};
use gate::{Completion, Offer, Query, Rank};
use metrics::Metrics;
use note::{Limits, View};
use proptest::{prelude::*, sample::select};
use smol_str::SmolStr;
use tokio::{runtime::Builder, sync::oneshot, time::Instant};
use types::{AttemptId, Boot, Moment, NamedLimit, Rate, Revision, Seq, SessionId, Slots, Span};

use super::{listed_server, server, server_request, state};
use crate::{GateActor, GateOptions, ProbeFinished, QueryAttempt, RunAttempt};

const QUERIES: [Query; 3] = [Query::Outcome, Query::Withdraw, Query::Cancel];

/// Numbers of microseconds below this one are times to come.
const NEAR: u64 = 10_000_000;

/// A backend server whose requests run until the test ends them. Remembers them by their calls.
#[derive(Default)]
struct RecordingBackend {
    started: Mutex<VecDeque<String>>,
}

impl Backend for RecordingBackend {
    fn run(
        &self,
        request: ServerRequest,
        _: Target,
        _: Instant,
    ) -> BoxFuture<'static, RequestResult> {
        self.started().push_back(request.call.to_string());
        pending().boxed()
    }

    fn probe(&self, _: Target) -> BoxFuture<'static, Result<ResponseMetadata, ProbeError>> {
        pending().boxed()
    }
}

impl RecordingBackend {
    fn started(&self) -> MutexGuard<'_, VecDeque<String>> {
        self.started
            .lock()
            .expect("no thread panics while holding this lock")
    }

    fn take_oldest(&self) -> Option<String> {
        self.started().pop_front()
    }
}

#[derive(Debug, Clone)]
enum Event {
    Run {
        id: AttemptId,
        floor: Seq,
        deadline: u64,
        objective: u64,
        service_time: Span,
        priority: u32,
        flags: [bool; 4],
        limit: Rate,
    },
    Query {
        id: AttemptId,
        query: Query,
    },
    DropWaiter(AttemptId),
    OpenSession,
    /// The request that has run longest ends.
    Finish(u8, ResponseMetadata),
    Probe(ResponseMetadata),
    Refresh,
}

/// Values near the ends of the range, some in between, and times to come.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![Just(0), (u64::MAX - 3)..=u64::MAX, 0..NEAR, any::<u64>()]
}

fn attempt_id() -> impl Strategy<Value = AttemptId> {
    let boot = prop_oneof![8 => Just(2), 1 => number()];
    let session = prop_oneof![8 => 1..4_u64, 1 => number()];
    let seq = prop_oneof![8 => 1..6_u64, 1 => number()];
    (boot, session, seq).prop_map(|(boot, session, seq)| AttemptId {
        boot: Boot(boot),
        session: SessionId(session),
        seq: Seq(seq),
    })
}

fn run() -> impl Strategy<Value = Event> {
    let times = (number(), number(), number());
    let floor = prop_oneof![1..6_u64, number()];
    (
        attempt_id(),
        floor,
        times,
        any::<u32>(),
        any::<[bool; 4]>(),
        limit(),
    )
        .prop_map(
            |(id, floor, (deadline, objective, service_time), priority, flags, limit)| Event::Run {
                id,
                floor: Seq(floor),
                deadline,
                objective,
                service_time: Span(service_time),
                priority,
                flags,
                limit,
            },
        )
}

fn limit() -> impl Strategy<Value = Rate> {
    let value = prop_oneof![
        Just(0.0),
        Just(f64::MAX),
        Just(f64::MIN_POSITIVE),
        Just(3.0)
    ];
    value.prop_map(|value| Rate::new(value).expect("a valid rate"))
}

fn metadata() -> impl Strategy<Value = ResponseMetadata> {
    let load = (any::<u32>(), any::<u32>(), any::<u32>(), any::<u32>());
    let boot = prop_oneof![4 => Just(1), 1 => number()];
    let flags = any::<[bool; 4]>();
    (boot, load, number(), limit(), flags).prop_map(
        |(boot, (running, queued, slots, slowdown_percent), left, limit, flags)| {
            let [is_limited, is_listed, leaving, is_malformed] = flags;
            ResponseMetadata {
                server: (!is_listed && leaving).then(|| "other".parse().expect("a valid id")),
                boot: Some(Boot(boot)),
                load: Some(ServerLoad {
                    running,
                    queued,
                    slots,
                    slowdown_percent,
                }),
                warmup_left: Some(Span(left)),
                keep_alive: Some(Span(left)),
                limit: match is_limited {
                    true => NamedLimit::Rate(limit),
                    false if is_malformed => NamedLimit::Malformed,
                    false => NamedLimit::Absent,
                },
                leaving: leaving && is_malformed && is_listed,
                ..ResponseMetadata::default()
            }
        },
    )
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => run(),
        2 => (attempt_id(), select(&QUERIES)).prop_map(|(id, query)| Event::Query { id, query }),
        1 => attempt_id().prop_map(Event::DropWaiter),
        1 => Just(Event::OpenSession),
        3 => (0..8_u8, metadata()).prop_map(|(kind, metadata)| Event::Finish(kind, metadata)),
        1 => metadata().prop_map(Event::Probe),
        1 => Just(Event::Refresh),
    ]
}

fn completion(kind: u8) -> Completion {
    match kind {
        0 => Completion::Shed,
        1 => Completion::Misdirected,
        2 => Completion::Unsent,
        3 => Completion::Incomplete,
        4 => Completion::Expired,
        5 => Completion::Cancelled,
        _ => Completion::Answered(Arc::default()),
    }
}

/// A gate with an open lease, whose backend server has two slots, a queue and a cold rate, if any.
fn actor(backend: &Arc<RecordingBackend>, cold_rate: f64) -> GateActor {
    let board = board();
    let mut lease = Lease::new(Span::from_millis(60_000));
    lease.renew(board.clock.now());
    board.lease.send_replace(lease);
    board.join();
    let limits = Limits {
        slots: Slots(2),
        queue: Slots(4),
        ..Limits::with_cold_rate(Rate::new(cold_rate).expect("a valid rate"))
    };
    board.view.send_replace(Arc::new(View {
        revision: Revision(2),
        state: state(&listed_server(&server()), limits),
        ..View::default()
    }));
    let backend = Arc::clone(backend);
    let mut actor = GateActor::new(
        board,
        backend,
        Arc::new(Metrics::new()),
        GateOptions::default(),
    );
    actor.refresh();
    actor
}

struct Model {
    actor: GateActor,
    backend: Arc<RecordingBackend>,
    /// Attempts by the calls that their requests bear.
    ids: HashMap<String, AttemptId>,
    waiters: Vec<oneshot::Receiver<Reply>>,
}

impl Model {
    fn moment(&self, number: u64) -> Moment {
        match number {
            near if near < NEAR => self.actor.board.clock.now() + Span(near),
            far => Moment(far),
        }
    }

    fn apply(&mut self, event: Event) {
        let (reply, replied) = oneshot::channel();
        match event {
            Event::Run {
                id,
                floor,
                deadline,
                objective,
                service_time,
                priority,
                flags: [fail_fast, idempotent, trial, nested],
                limit,
            } => {
                let mut request = server_request("/rare", None);
                request.call = id.to_string().parse().expect("a valid call id");
                self.ids.insert(id.to_string(), id);
                let run = RunAttempt {
                    offer: Offer {
                        id,
                        floor,
                        deadline: self.moment(deadline),
                        fail_fast,
                        refusal: None,
                        rank: Rank {
                            objective: self.moment(objective),
                            service_time,
                            priority,
                            nested,
                        },
                    },
                    server: server(),
                    route: SmolStr::new_static("route"),
                    idempotent,
                    known_limit: Some(KnownLimit {
                        rate: limit,
                        incarnation: Boot(1),
                    }),
                    trial,
                    request,
                    reply,
                };
                self.actor.run(run);
                self.waiters.push(replied);
            }
            Event::Query { id, query } => {
                self.actor.query(QueryAttempt { id, query, reply });
                self.waiters.push(replied);
            }
            Event::DropWaiter(id) => {
                self.waiters.clear();
                self.actor.waiter_dropped(id);
            }
            Event::OpenSession => drop(self.actor.open_session(Boot(9))),
            Event::Finish(kind, metadata) => self.finish(kind, metadata),
            Event::Probe(metadata) => self.actor.probe_finished(ProbeFinished {
                server: server(),
                sent_at: self.actor.board.clock.now(),
                result: Ok(metadata),
            }),
            Event::Refresh => self.actor.refresh(),
        }
    }

    /// Ends the request that has run longest.
    fn finish(&mut self, kind: u8, metadata: ResponseMetadata) {
        let Some(call) = self.backend.take_oldest() else {
            return;
        };
        let result = RequestResult {
            completion: completion(kind),
            metadata,
            refused: kind == 2,
        };
        self.actor.run_finished(self.ids[&call], result);
    }
}

proptest! {
    #[test]
    fn a_gate_survives_any_messages(
        events in prop::collection::vec(event(), 1..60),
        cold_rate in prop_oneof![Just(0.0), Just(25.0)],
    ) {
        let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            let backend = Arc::new(RecordingBackend::default());
            let mut actor = actor(&backend, cold_rate);
            for _ in 0..3 {
                actor.open_session(Boot(9));
            }
            let mut model = Model {
                actor,
                backend,
                ids: HashMap::new(),
                waiters: Vec::new(),
            };
            for event in events {
                model.apply(event);
            }
            model.actor.dump();
        });
    }
}
