//! Stand-ins of the second review, and the cases that use them.

mod early_stop;
mod harness;
mod lower_born;
mod route_name;
mod two_stops;

use std::{path::Path, thread, time::Duration};

/// Longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(100);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (case, folder) = match arguments.as_slice() {
        [_, case, folder] => (case.as_str(), Path::new(folder)),
        _ => harness::cannot_run("arguments: CASE FOLDER"),
    };
    // Nothing that a case has started outlives it.
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        report(info);
        harness::cannot_run("a stand-in has failed");
    }));
    thread::spawn(|| {
        thread::sleep(LIMIT);
        harness::cannot_run("it takes too long");
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let is_broken = match case {
        "early_stop" => early_stop::run(folder, trouble),
        "lower_born" => lower_born::run(folder, trouble),
        "route_name" => route_name::run(folder, trouble),
        "two_stops" => two_stops::run(folder, trouble),
        _ => harness::cannot_run("no such case"),
    };
    harness::kill_all();
    std::process::exit(i32::from(is_broken))
}
