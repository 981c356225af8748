//! The operator adds a route with an underscore in its name, and moves another route.

use std::{path::Path, thread};

use crate::harness::*;

pub fn run(folder: &Path, trouble: bool) -> bool {
    let record = Record::create(&folder.join("record.txt"));
    let net = Net::find(2);
    let dir = Folder::create();
    let store = Store::start(net.store());
    let runs: Shared<Vec<Run>> = Shared::default();
    let services = ["rinks", "fees"];
    let bookings =
        |service| Route { name: "r-bookings", prefix: "/bookings/", kind: "unsafe", service };
    store.put("op/config", &config(3, &services, &[bookings("rinks")], "1200ms"), None);
    let _servers: Vec<Upstream> = (1..=2)
        .map(|host| {
            let work = Work { takes: ms(20), long: ms(20) };
            let (id, service) = (format!("i-{host}"), services[usize::from(host) - 1]);
            let address = net.server(host);
            Upstream::start(
                &id, service, "lautoka", address, unix_ms(), work, &store, &record, &runs,
            )
        })
        .collect();
    let _nodes: Vec<Node> = (1..=2)
        .map(|host| {
            let service = services[usize::from(host) - 1];
            let seeds: &[u8] = &[1, 2];
            let options = NodeOptions { host, service, zone: "lautoka", seeds, grace: "6s" };
            Node::start(&net, &dir.0, &options)
        })
        .collect();
    for host in 1..=2 {
        if !wait_ready(&net, host, ms(10_000)) {
            cannot_run("a node isn't ready");
        }
    }
    thread::sleep(ms(1_000));
    let book = |host| {
        let request = Request {
            method: "PUT",
            host: "example",
            path: "/bookings/seven",
            deadline: ms(600),
            body: b"rink 7",
        };
        let (id, answer) = send(net.outbound(host), &request, &record);
        let runs = runs.lock().unwrap();
        let run = runs.iter().find(|run| run.id == id);
        (run.map(|run| run.server.clone()), answer.status())
    };
    for host in [1, 2, 1] {
        if book(host) != (Some("i-1".to_owned()), Some(200)) {
            cannot_run("a booking isn't answered before the change");
        }
    }

    let name = if trouble { "r_lists" } else { "r-lists" };
    let lists = Route { name, prefix: "/lists/", kind: "safe", service: "rinks" };
    store.put("op/config", &config(5, &services, &[bookings("fees"), lists], "1200ms"), None);
    record.line(&format!(
        "ack of version 5: /bookings/ goes to fees (i-2), and the route {name} is added"
    ));
    // `config_apply` is 2 s.
    thread::sleep(ms(3_000));
    let (mut old, mut missing) = (0, 0);
    for round in 0..6 {
        for host in 1..=2 {
            old += usize::from(book(host).0.as_deref() == Some("i-1"));
            let path = "/lists/today";
            let request =
                Request { method: "GET", host: "example", path, deadline: ms(800), body: b"" };
            let (_, answer) = send(net.outbound(host), &request, &record);
            missing += usize::from(answer.status() == Some(404));
        }
        thread::sleep(ms(500));
        record.line(&format!("round {round} has ended"));
    }
    let text = format!(
        "3 s to 6 s after the ack: {old} of 12 bookings run by the old service, {missing} of 12 requests on the added route get 404"
    );
    record.line(&text);
    println!("{text}");
    old + missing > 0
}
