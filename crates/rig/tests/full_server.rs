//! Load: more requests than backend servers have room for, which reset the connections of the others.

use std::{
    io,
    time::{Duration, Instant},
};

use rig::site::{
    caller::{Answer, Request, ask_once},
    cluster::Layout,
    config::{CallerLimits, Config, Route},
    server::{Behavior, WhenFull},
};
use tokio::{task::JoinSet, time::sleep_until};

const HOST: &str = "lakes.example";
const SERVERS: usize = 3;
/// Requests that a server holds, and slots that it names.
const ROOM: usize = 3;
const SLOTS: usize = 8;
const WORK: Duration = Duration::from_millis(50);
/// Time between two requests: half again as many as the servers can complete.
const INTERVAL: Duration = Duration::from_micros(3_700);
const DURATION: Duration = Duration::from_secs(12);
/// The users' target: of the requests started after the first second, under one in a hundred is reset.
const LEARNED_AFTER: Duration = Duration::from_secs(1);
const MAX_RESET_RATIO: f64 = 0.01;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gates_learn_the_room_of_servers_that_reset_when_full() -> io::Result<()> {
    let mut layout = Layout::new("site-full", (93, 20), SERVERS);
    layout.services = vec![("left".to_owned(), SERVERS)];
    layout.slots = SLOTS;
    layout.behavior = Behavior {
        room: ROOM,
        work: WORK,
        when_full: WhenFull::Resets,
        ..Behavior::default()
    };
    layout
        .settings
        .insert("full_resets".to_owned(), true.into());
    let mut site = layout.prepare()?;
    let config = Config {
        version: 1,
        routes: vec![Route::new("first", HOST, "left")],
        services: vec!["left".to_owned()],
        teams: Vec::new(),
        limits: CallerLimits::default(),
    };
    config.publish(&site.store).await;
    site.start_nodes().await?;
    let began = Instant::now();
    let mut callers = JoinSet::new();
    for number in 0..(DURATION.as_micros() / INTERVAL.as_micros()) as u32 {
        sleep_until((began + INTERVAL * number).into()).await;
        let target = site.target(number as usize % SERVERS);
        let request = match number % 2 {
            0 => Request::get(HOST, "/first/x"),
            _ => Request::post(HOST, "/first/x", b"entry"),
        };
        callers.spawn(async move { ask_once(target, &request).await });
    }
    let answers = callers.join_all().await;
    let served = answers.iter().filter(|a| matches!(a, Answer::Served(_)));
    let mut arrivals = site.journal.all();
    arrivals.retain(|arrival| arrival.at > began + LEARNED_AFTER && !arrival.id.is_empty());
    let reset = arrivals
        .iter()
        .filter(|arrival| arrival.run_at.is_none())
        .count();
    let share = reset as f64 / arrivals.len() as f64;
    println!(
        "{reset} of {} reset, {} of {} served",
        arrivals.len(),
        served.count(),
        answers.len()
    );
    assert!(
        share < MAX_RESET_RATIO,
        "{reset} of {} reset",
        arrivals.len()
    );
    site.stop().await;
    Ok(())
}
