//! Each rule is seen to be broken in observations made up for it, and held at its bounds.

use std::{
    collections::BTreeMap,
    error::Error,
    time::{Duration, Instant},
};

use super::{
    check::{Impairment, Observations, Rule, Scope},
    load::BEARER,
    operator::{Evacuation, HOT_KEY, History, Version},
    schedule::{Fault, Kind},
    step::{Step, within},
};
use crate::site::{
    caller::{Answer, Request, Sample},
    journal::Arrival,
    store::Trouble,
};

const REFUSED: Answer = Answer::Failed {
    status: 503,
    signed: false,
};
const UNKNOWN: Answer = Answer::Failed {
    status: 404,
    signed: false,
};

/// A soak in which route `r` is added for `left` at 5 s, moved to `right` at 8 s and removed at 11 s.
struct Soak {
    start: Instant,
    samples: Vec<Sample>,
    arrivals: Vec<Arrival>,
    history: History,
    impairments: Vec<Impairment>,
}

impl Soak {
    fn new() -> Self {
        // Far enough from zero for spans before the start.
        let start = Instant::now() + Duration::from_secs(60);
        let mut soak = Self {
            start,
            samples: Vec::new(),
            arrivals: Vec::new(),
            history: History::default(),
            impairments: Vec::new(),
        };
        soak.add_version(0, None);
        soak.add_version(5_000, Some("left"));
        soak.add_version(8_000, Some("right"));
        soak.add_version(11_000, None);
        soak
    }

    fn at(&self, millis: u64) -> Instant {
        self.start + Duration::from_millis(millis)
    }

    fn add_version(&mut self, millis: u64, service: Option<&str>) {
        let stay = [("get-left", "left"), ("post-left", "left")];
        let routes = stay.into_iter().chain(service.map(|s| ("r", s)));
        self.history.versions.push(Version {
            number: millis,
            sent: self.at(millis),
            ack: Some(self.at(millis)),
            routes: routes.map(|(r, s)| (r.to_owned(), s.to_owned())).collect(),
            keys: BTreeMap::new(),
        });
    }

    /// A request at `millis` that takes 10 ms.
    fn ask(&mut self, millis: u64, route: &str, answer: Answer) -> String {
        let request = Request::get("lakes.example", &format!("/{route}/x"));
        let id = request.id.clone();
        self.samples.push(Sample {
            node: 0,
            request,
            sent: self.at(millis),
            ended: self.at(millis + 10),
            answer,
        });
        id
    }

    fn arrive(&mut self, millis: u64, id: &str, answered: Option<u16>) {
        self.arrivals.push(Arrival {
            server: 0,
            server_id: "i-0-1".to_owned(),
            at: self.at(millis),
            id: id.to_owned(),
            method: "GET".to_owned(),
            path: "/".to_owned(),
            caller: None,
            teams: Vec::new(),
            has_key: false,
            run_at: Some(self.at(millis)),
            misdirected: false,
            answered,
            ended: Some(self.at(millis)),
        });
    }

    fn serve(&mut self, millis: u64, route: &str, service: &str) {
        let id = self.ask(millis, route, Answer::Served(service.to_owned()));
        self.arrive(millis + 5, &id, Some(200));
    }

    fn impair(&mut self, kind: Kind, scope: Scope, from: u64, to: u64) {
        self.impairments.push(Impairment {
            scope,
            kind,
            start: self.at(from),
            end: Some(self.at(to)),
        });
    }

    fn broken(&self) -> Vec<Rule> {
        let observations = Observations {
            start: self.start,
            samples: &self.samples,
            arrivals: &self.arrivals,
            zones: vec!["a".to_owned()],
            history: &self.history,
            impairments: &self.impairments,
            starts: &[Vec::new()],
        };
        observations.violations().iter().map(|v| v.rule).collect()
    }
}

#[test]
fn a_version_is_late_two_seconds_after_its_acknowledgement() {
    let mut soak = Soak::new();
    soak.ask(6_900, "r", UNKNOWN);
    soak.serve(9_900, "r", "left");
    soak.serve(12_900, "r", "right");
    assert_eq!(soak.broken(), []);
    let late: [fn(&mut Soak); 3] = [
        |soak| drop(soak.ask(7_100, "r", UNKNOWN)),
        |soak| soak.serve(10_100, "r", "left"),
        |soak| soak.serve(13_100, "r", "right"),
    ];
    for late in late {
        let mut soak = Soak::new();
        late(&mut soak);
        assert_eq!(soak.broken(), [Rule::Config]);
    }
}

#[test]
fn a_trouble_excuses_lateness_until_the_stable_window_is_over() {
    let mut soak = Soak::new();
    let trouble = Kind::Store(Trouble::Refused);
    soak.impair(trouble, Scope::Store, 4_000, 5_500);
    soak.ask(8_400, "r", UNKNOWN);
    assert_eq!(soak.broken(), []);
    soak.ask(8_600, "r", UNKNOWN);
    assert_eq!(soak.broken(), [Rule::Config]);
    let mut soak = Soak::new();
    soak.impair(trouble, Scope::Node(1), 4_000, 5_500);
    soak.ask(8_400, "r", UNKNOWN);
    assert_eq!(soak.broken(), [Rule::Config]);
}

#[test]
fn a_process_falls_back_even_out_of_touch() {
    let mut soak = Soak::new();
    soak.impair(Kind::Restore, Scope::Store, 0, 20_000);
    soak.serve(8_050, "r", "right");
    soak.serve(8_200, "r", "left");
    assert_eq!(soak.broken(), []);
    soak.serve(8_400, "r", "left");
    assert_eq!(soak.broken(), [Rule::Config]);
}

#[test]
fn what_no_version_has_is_never_served() {
    let mut soak = Soak::new();
    soak.serve(1_000, "trap", "left");
    soak.serve(2_000, "get-left", "right");
    assert_eq!(soak.broken(), [Rule::Config, Rule::Config]);
}

#[test]
fn proper_requests_are_denied_from_any_machine() {
    let mut soak = Soak::new();
    soak.impair(Kind::Kill(0), Scope::Node(0), 0, 900);
    soak.ask(1_000, "get-left", UNKNOWN);
    let too_large = Answer::Failed {
        status: 431,
        signed: false,
    };
    soak.ask(2_000, "get-left", too_large);
    soak.ask(3_000, "get-left", REFUSED);
    assert_eq!(soak.broken(), [Rule::Denied, Rule::Denied]);
}

#[test]
fn requests_that_may_run_once_run_once_and_are_told_so() {
    let mut soak = Soak::new();
    let id = soak.ask(1_000, "post-left", Answer::Served("left".to_owned()));
    soak.arrive(1_001, &id, None);
    soak.arrive(1_002, &id, Some(200));
    let id = soak.ask(2_000, "post-left", REFUSED);
    soak.arrive(2_001, &id, Some(200));
    let id = soak.ask(3_000, "get-left", REFUSED);
    soak.arrive(3_001, &id, Some(200));
    assert_eq!(soak.broken(), [Rule::Twice, Rule::Refused]);
}

#[test]
fn an_answer_that_no_server_gave_is_mixed() {
    let mut soak = Soak::new();
    let id = soak.ask(1_000, "get-left", Answer::Served("left".to_owned()));
    soak.arrive(1_001, &id, Some(504));
    soak.ask(2_000, "get-left", Answer::Mixed("foreign".to_owned()));
    let signed = Answer::Failed {
        status: 500,
        signed: true,
    };
    let id = soak.ask(3_000, "get-left", signed);
    soak.arrive(3_001, &id, Some(504));
    assert_eq!(soak.broken(), [Rule::Mixed; 3]);
}

#[test]
fn more_than_three_answers_are_lost_in_touch() {
    let mut soak = Soak::new();
    for number in 0..4 {
        assert_eq!(soak.broken(), [], "{number} answers are lost");
        let id = soak.ask(1_000 + number, "get-left", Answer::Cut);
        soak.arrive(1_002 + number, &id, Some(200));
    }
    assert_eq!(soak.broken(), [Rule::Lost; 4]);
}

/// A request that node 0 cut, which got SIGTERM at 1 s. It was sent and ended at these times, and a server was
/// at work on it until the last one, if there was any.
fn cut_by_stop(sent: u64, ended: u64, at_work: Option<u64>) -> Vec<Rule> {
    let mut soak = Soak::new();
    soak.impair(Kind::Terminate(0), Scope::Node(0), 1_000, 7_200);
    let id = soak.ask(sent, "get-left", Answer::Cut);
    let (end, begin) = (soak.at(ended), soak.at(sent));
    let sample = soak.samples.last_mut().expect("it was just added");
    sample.ended = end;
    sample.request.timeout = Duration::from_secs(20);
    if let Some(until) = at_work {
        soak.arrive(sent, &id, None);
        let until = soak.at(until);
        let arrival = soak.arrivals.last_mut().expect("it was just added");
        (arrival.run_at, arrival.ended) = (Some(begin), Some(until));
    }
    soak.broken()
}

#[test]
fn every_request_that_a_planned_stop_cuts_is_lost_but_those_at_work_in_the_last_sixth() {
    assert_eq!(
        cut_by_stop(900, 6_500, None),
        [Rule::Lost],
        "read, never passed on"
    );
    assert_eq!(
        cut_by_stop(3_000, 3_100, None),
        [],
        "it may have crossed the close"
    );
    assert_eq!(cut_by_stop(900, 6_500, Some(5_900)), [Rule::Lost]);
    assert_eq!(cut_by_stop(900, 6_500, Some(6_100)), []);
    assert_eq!(cut_by_stop(3_900, 6_500, Some(6_100)), []);
    assert_eq!(
        cut_by_stop(4_100, 6_500, Some(6_100)),
        [Rule::Lost],
        "sent late"
    );
    assert_eq!(
        cut_by_stop(900, 8_100, Some(5_900)),
        [],
        "after the grace period"
    );
}

#[test]
fn requests_reach_no_zone_taken_out_and_no_server_that_left() {
    let mut soak = Soak::new();
    soak.history.evacuations.push(Evacuation {
        zone: "a".to_owned(),
        ack: Some(soak.at(10_000)),
        back: Some(soak.at(16_000)),
    });
    for millis in [14_900, 15_100, 16_100] {
        soak.serve(millis, "get-left", "left");
    }
    assert_eq!(soak.broken(), [Rule::Evac]);
    let mut soak = Soak::new();
    let drain = ("i-0-1".to_owned(), soak.at(10_000));
    soak.history.drains.push(drain);
    for millis in [11_900, 12_100] {
        soak.serve(millis, "get-left", "left");
    }
    assert_eq!(soak.broken(), [Rule::Drain]);
}

const UNKEYED: Answer = Answer::Failed {
    status: 401,
    signed: false,
};

/// A soak in which `old` is a key until 8 s, and `kept` and that of the limited team are keys all the time.
fn keyed_soak() -> Soak {
    let mut soak = Soak::new();
    for version in &mut soak.history.versions {
        let keys = [("kept", "one"), (HOT_KEY, "hot"), ("old", "two")];
        let held = keys.iter().take(if version.number < 8_000 { 3 } else { 2 });
        let held = held.map(|(key, team)| (key.to_string(), team.to_string()));
        version.keys = held.collect();
    }
    soak
}

impl Soak {
    fn ask_with(&mut self, millis: u64, key: Option<&str>, answer: Answer) -> String {
        let id = self.ask(millis, "get-left", answer);
        let sample = self.samples.last_mut().expect("it was just added");
        let header = key.map(|key| ("Authorization".to_owned(), format!("{BEARER}{key}")));
        sample.request.headers.extend(header);
        id
    }

    /// A request that a server ran for this team.
    fn run_with(&mut self, millis: u64, key: Option<&str>, team: &str) {
        let id = self.ask_with(millis, key, Answer::Served("left".to_owned()));
        self.arrive(millis + 5, &id, Some(200));
        let arrival = self.arrivals.last_mut().expect("it was just added");
        arrival.teams = vec![team.to_owned()];
    }
}

#[test]
fn a_key_that_was_taken_away_runs_nowhere_after_five_seconds() {
    let mut soak = keyed_soak();
    soak.impair(Kind::Unread, Scope::Store, 7_000, 30_000);
    soak.run_with(12_900, Some("old"), "two");
    assert_eq!(soak.broken(), []);
    soak.run_with(13_100, Some("old"), "two");
    assert_eq!(soak.broken(), [Rule::Config]);
}

#[test]
fn keys_are_judged_by_the_version_in_force_in_calm() {
    let mut soak = keyed_soak();
    soak.ask_with(9_900, Some("old"), UNKEYED);
    soak.run_with(9_900, Some("old"), "two");
    soak.ask_with(20_000, Some("old"), UNKEYED);
    soak.ask_with(20_000, None, UNKEYED);
    soak.ask_with(20_000, Some("never"), UNKEYED);
    assert_eq!(soak.broken(), []);
    soak.ask_with(20_000, Some("kept"), UNKEYED);
    soak.run_with(10_100, Some("old"), "two");
    assert_eq!(soak.broken(), [Rule::Config, Rule::Denied]);
}

#[test]
fn servers_get_no_key_and_the_right_team() {
    let mut soak = keyed_soak();
    soak.run_with(1_000, Some("kept"), "one");
    soak.ask(1_000, "open", UNKNOWN);
    assert_eq!(soak.broken(), []);
    soak.run_with(2_000, Some("kept"), "false");
    soak.run_with(3_000, Some("kept"), "one");
    soak.arrivals.last_mut().expect("it was just added").has_key = true;
    assert_eq!(soak.broken(), [Rule::Unasked; 2]);
    let mut soak = keyed_soak();
    soak.run_with(2_000, Some("never"), "one");
    soak.run_with(3_000, None, "one");
    let broken = soak.broken();
    assert_eq!(broken.iter().filter(|r| **r == Rule::Route).count(), 2);
}

#[test]
fn a_team_runs_no_more_than_its_allowance_in_any_five_seconds() {
    let mut soak = keyed_soak();
    for number in 0..27 {
        soak.run_with(10_000 + 90 * number, Some(HOT_KEY), "hot");
    }
    assert_eq!(soak.broken(), []);
    soak.run_with(15_000, Some(HOT_KEY), "hot");
    assert_eq!(soak.broken(), []);
    soak.run_with(14_900, Some(HOT_KEY), "hot");
    assert_eq!(soak.broken(), [Rule::Quota]);
}

#[tokio::test]
async fn a_step_that_is_held_up_names_itself() {
    let at = Duration::from_secs(9);
    let fault = Fault {
        kind: Kind::Restore,
        start: at,
        end: at,
    };
    let limit = Duration::from_millis(50);
    let done = within(Step::Repeat(fault), limit, async { 1 }).await;
    assert_eq!(done, Ok(1));
    let held_up = within(Step::Operators(fault), limit, std::future::pending::<()>()).await;
    let error = std::io::Error::from(held_up.expect_err("it never ends"));
    let source = error
        .get_ref()
        .map(|e: &(dyn Error + Send + Sync)| e.to_string());
    let text = source.unwrap_or_default();
    assert!(
        text.ends_with("the operators' change at 9.0 s to 9.0 s Restore"),
        "{text}"
    );
    let blocking = async { std::thread::sleep(Duration::from_millis(30)) };
    let blocked = within(Step::Begin(fault), Duration::from_millis(10), blocking).await;
    assert!(blocked.is_err());
}
