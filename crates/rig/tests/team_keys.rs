//! Teams' keys and allowances at nodes that are paused or cut off, with real processes.

use std::{
    io,
    time::{Duration, Instant},
};

use rig::site::{
    caller::{Answer, Request, ask_once},
    cluster::{Layout, Site},
    config::{CallerLimits, Config, Route, Team},
    store::{Ack, Trouble},
};
use tokio::{
    task::JoinSet,
    time::{sleep, sleep_until},
};

const HOST: &str = "lakes.example";
const NODES: usize = 4;
/// The users' bounds: time after which a withdrawn key runs nowhere, and that in which a node is in touch again and
/// has the version in force.
const REVOKE: Duration = Duration::from_millis(5_000);
const RECOVERY: Duration = Duration::from_millis(5_000);
/// Time of the window in which a team's requests are counted.
const WINDOW: Duration = Duration::from_secs(5);
const RATE: f64 = 10.0;
const BURST: u32 = 10;
/// Pause of one node, longer than until another takes over its teams.
const PAUSE: Duration = Duration::from_secs(2);
const KEPT: &str = "rigkey-kept";
const WITHDRAWN: &str = "rigkey-withdrawn";
const UNKEYED: Answer = Answer::Failed {
    status: 401,
    signed: false,
};
const UNPROVEN: Answer = Answer::Failed {
    status: 503,
    signed: false,
};

struct Deployment {
    site: Site,
    config: Config,
}

impl Deployment {
    async fn start(name: &str, net: (u8, u8)) -> io::Result<Self> {
        let mut layout = Layout::new(name, net, NODES);
        layout.revoke = format!("{}ms", REVOKE.as_millis());
        let mut site = layout.prepare()?;
        let team = Team {
            name: "club".to_owned(),
            keys: vec![KEPT.to_owned(), WITHDRAWN.to_owned()],
            rate: 0.0,
            burst: 0,
        };
        let limited = Team {
            name: "limited".to_owned(),
            keys: vec!["rigkey-limited".to_owned()],
            rate: RATE,
            burst: BURST,
        };
        let config = Config {
            version: 1,
            routes: vec![Route::new("left", HOST, "left")],
            services: ["left", "right"].map(str::to_owned).to_vec(),
            teams: vec![team, limited],
            limits: CallerLimits::default(),
        };
        config.publish(&site.store).await;
        site.start_nodes().await?;
        let deployment = Self { site, config };
        for node in 0..NODES {
            deployment.wait_for(node, WITHDRAWN, &served()).await;
        }
        Ok(deployment)
    }

    /// Withdraws the key. Returns once the store has acknowledged it.
    async fn withdraw(&mut self) -> Ack {
        self.config.teams[0].keys.pop();
        self.config.version += 1;
        self.config.publish(&self.site.store).await
    }

    async fn ask(&self, node: usize, key: &str) -> Answer {
        ask_once(self.site.target(node), &request(key)).await
    }

    /// Asks until the answer is this one, for the time that recovery may take.
    async fn wait_for(&self, node: usize, key: &str, expected: &Answer) {
        let until = Instant::now() + RECOVERY;
        let mut answer = self.ask(node, key).await;
        while answer != *expected && Instant::now() < until {
            sleep(Duration::from_millis(50)).await;
            answer = self.ask(node, key).await;
        }
        assert_eq!(answer, *expected, "node {node}, {key}");
    }
}

fn served() -> Answer {
    Answer::Served("left".to_owned())
}

fn request(key: &str) -> Request {
    let mut request = Request::get(HOST, "/left/work-5/x");
    let header = ("Authorization".to_owned(), format!("Bearer {key}"));
    request.headers.push(header);
    request
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_node_serves_no_key_that_was_withdrawn_meanwhile() -> io::Result<()> {
    let mut deployment = Deployment::start("team-keys-paused", (94, 10)).await?;
    deployment.site.nodes[1].signal("STOP").await;
    let ack = deployment.withdraw().await;
    sleep_until((ack.at + REVOKE).into()).await;
    // They wait in the kernel until the process goes on.
    let mut asked = JoinSet::new();
    for _ in 0..20 {
        let target = deployment.site.target(1);
        asked.spawn(async move { ask_once(target, &request(WITHDRAWN)).await });
    }
    sleep(Duration::from_millis(100)).await;
    deployment.site.nodes[1].signal("CONT").await;
    for answer in asked.join_all().await {
        assert!(answer == UNPROVEN || answer == UNKEYED, "{answer:?}");
    }
    deployment.wait_for(1, KEPT, &served()).await;
    assert_eq!(deployment.ask(1, WITHDRAWN).await, UNKEYED);
    deployment.site.stop().await;
    Ok(())
}

/// A node that reaches neither the store nor any other node: these are paused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_cut_off_serves_no_key_beyond_the_bound() -> io::Result<()> {
    let mut deployment = Deployment::start("team-keys-cut", (94, 11)).await?;
    deployment.site.store.trouble_node(0, Trouble::Refused);
    for node in 1..NODES {
        deployment.site.nodes[node].signal("STOP").await;
    }
    let ack = deployment.withdraw().await;
    let due = ack.at + REVOKE;
    let mut early = 0;
    while Instant::now() < due + RECOVERY {
        let sent = Instant::now();
        match deployment.ask(0, WITHDRAWN).await {
            answer if sent > due => assert_eq!(answer, UNPROVEN, "{:?} late", sent - due),
            answer => early += usize::from(answer == served()),
        }
        sleep(Duration::from_millis(50)).await;
    }
    assert!(early > 0, "the node knew the key");
    assert_eq!(deployment.ask(0, KEPT).await, UNPROVEN);
    deployment.site.store.trouble_node(0, Trouble::None);
    for node in 1..NODES {
        deployment.site.nodes[node].signal("CONT").await;
    }
    for node in 0..NODES {
        deployment.wait_for(node, KEPT, &served()).await;
        assert_eq!(deployment.ask(node, WITHDRAWN).await, UNKEYED);
    }
    deployment.site.stop().await;
    Ok(())
}

/// Each node is paused in turn, the owner of the allowance among them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_allowance_holds_while_its_owner_is_paused() -> io::Result<()> {
    let deployment = Deployment::start("team-keys-owner", (94, 12)).await?;
    let until = Instant::now() + PAUSE * (2 * NODES as u32);
    let mut callers = JoinSet::new();
    for node in 0..NODES {
        for _ in 0..2 {
            let target = deployment.site.target(node);
            callers.spawn(async move {
                let mut sent = Vec::new();
                while Instant::now() < until {
                    let request = request("rigkey-limited");
                    sent.push((request.id.clone(), Instant::now()));
                    ask_once(target, &request).await;
                    sleep(Duration::from_millis(40)).await;
                }
                sent
            });
        }
    }
    for node in (0..NODES).cycle().take(2 * NODES) {
        deployment.site.nodes[node].signal("STOP").await;
        sleep(PAUSE).await;
        deployment.site.nodes[node].signal("CONT").await;
    }
    let sent: Vec<(String, Instant)> = callers.join_all().await.into_iter().flatten().collect();
    let arrivals = deployment.site.journal.all();
    let ran: Vec<(Instant, Instant)> = sent
        .iter()
        .filter_map(|(id, sent)| {
            let ran = arrivals.iter().find(|a| a.id == *id && a.run_at.is_some());
            Some((*sent, ran?.at))
        })
        .collect();
    let in_window = |from: Instant| {
        let is_within = |(sent, at): &&(Instant, Instant)| *sent >= from && *at <= from + WINDOW;
        ran.iter().filter(is_within).count()
    };
    let most = ran.iter().map(|(sent, _)| in_window(*sent)).max();
    let most = most.unwrap_or_default();
    let bound = (RATE * WINDOW.as_secs_f64() + f64::from(BURST)) * 1.25 + 20.0;
    println!(
        "{} of {} ran, {most} in {WINDOW:?}, {bound} may",
        ran.len(),
        sent.len()
    );
    assert!(most as f64 <= bound, "{most} in {WINDOW:?}, {bound} may");
    assert!(most as f64 >= RATE, "none of the nodes granted");
    deployment.site.stop().await;
    Ok(())
}
