//! Backend servers that have said that they are leaving.

use fleet::LeavingServers;
use types::{Boot, ServerId};

fn server(number: u64) -> ServerId {
    format!("server-{number}").parse().expect("a valid id")
}

#[test]
fn only_the_incarnation_that_said_so_is_leaving() {
    let mut leaving = LeavingServers::default();
    assert!(leaving.insert(server(1), Boot(5)));
    assert!(!leaving.insert(server(1), Boot(5)), "already known");
    assert!(leaving.contains(&server(1), Boot(5)));
    assert!(!leaving.contains(&server(1), Boot(6)), "the next one");
    assert!(!leaving.contains(&server(2), Boot(5)), "another server");
}

#[test]
fn a_late_message_about_a_former_incarnation_changes_nothing() {
    let mut leaving = LeavingServers::default();
    leaving.insert(server(1), Boot(6));
    assert!(!leaving.insert(server(1), Boot(5)));
    assert!(leaving.contains(&server(1), Boot(6)));
}

#[test]
fn the_oldest_servers_are_forgotten_first() {
    let mut leaving = LeavingServers::default();
    for number in 0..2_000 {
        leaving.insert(server(number), Boot(1));
    }
    let latest = leaving.latest();
    assert_eq!(latest.len(), 1_024);
    assert_eq!(latest[0].0, &server(1_999));
    assert!(!leaving.contains(&server(0), Boot(1)));
}
