//! A backend server whose answers end early, seen by callers of another node. No answer that was cut
//! looks whole, and the answers behind it on the caller's connection are in order and whole.

use std::{io, net::SocketAddr, time::Duration};

use futures::future::join_all;
use reqwest::Client;
use rig::cluster::{Cluster, cluster};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

const BODY: &str = "0123456789abcdef";
const CHUNKED_BODY: &str = "a\r\n0123456789\r\n6\r\nabcdef\r\n0\r\n\r\n";
/// Cut answers at once over HTTP/2, each beside a whole one: half the slots of a cold server.
const STREAMS: usize = 4;

/// What the server sends in answer to a request for the path of a kind.
#[derive(Debug, Clone, Copy)]
struct Kind {
    name: &'static str,
    method: &'static str,
    status: u16,
    start: &'static str,
    body: &'static str,
    /// Whether callers may get the answer, if all of it arrives.
    sound: bool,
}

const KINDS: [Kind; 6] = [
    Kind {
        name: "length",
        method: "GET",
        status: 200,
        start: "HTTP/1.1 200 OK\r\ncontent-length: 16\r\n",
        body: BODY,
        sound: true,
    },
    Kind {
        name: "old",
        method: "GET",
        status: 200,
        start: "HTTP/1.0 200 OK\r\ncontent-length: 16\r\n",
        body: BODY,
        sound: true,
    },
    Kind {
        name: "chunked",
        method: "GET",
        status: 200,
        start: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n",
        body: CHUNKED_BODY,
        sound: true,
    },
    Kind {
        name: "unframed",
        method: "GET",
        status: 200,
        start: "HTTP/1.1 200 OK\r\n",
        body: BODY,
        sound: false,
    },
    Kind {
        name: "head",
        method: "HEAD",
        status: 200,
        start: "HTTP/1.1 200 OK\r\ncontent-length: 16\r\n",
        body: "",
        sound: true,
    },
    Kind {
        name: "empty",
        method: "GET",
        status: 204,
        start: "HTTP/1.1 204 No Content\r\n",
        body: "",
        sound: true,
    },
];

impl Kind {
    fn text(&self) -> String {
        format!("{}\r\n{}", self.start, self.body)
    }

    /// Body that the caller gets with a whole answer.
    fn whole_body(&self) -> &'static str {
        if self.body.is_empty() { "" } else { BODY }
    }

    /// Paths of all cuts: after each number of bytes, by FIN and by RST.
    fn paths(&self) -> Vec<(String, usize)> {
        let size = self.text().len();
        let path = |at, end| format!("/draws/{}/{at}/{end}", self.name);
        let ends = |at| ["close", "reset"].map(|end| (path(at, end), at));
        (0..=size).flat_map(ends).collect()
    }

    fn check(&self, path: &str, at: usize, status: u16, body: &str) {
        let whole = self.sound && at == self.text().len();
        let expected = match whole {
            true => status == self.status && body == self.whole_body(),
            false => status == 502,
        };
        assert!(expected, "{path}: {status} {body:?}");
    }
}

/// Replaces the first backend server by one that cuts its answers.
async fn cut_answers(cluster: &Cluster) {
    cluster.servers[0].set_listening(false);
    let address = cluster.nodes[0].spec.server;
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
}

async fn serve(mut stream: TcpStream) -> io::Result<()> {
    let mut buffer = [0; 4_096];
    loop {
        let read = stream.read(&mut buffer).await?;
        if read == 0 {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&buffer[..read]).into_owned();
        let path: Vec<_> = text
            .split(' ')
            .nth(1)
            .unwrap_or_default()
            .split('/')
            .collect();
        let kind = path
            .get(2)
            .and_then(|name| KINDS.iter().find(|k| k.name == *name));
        let Some(kind) = kind else {
            let body = path.last().copied().unwrap_or_default();
            let size = body.len();
            let whole = format!("HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n{body}");
            stream.write_all(whole.as_bytes()).await?;
            continue;
        };
        let at: usize = path[3].parse().expect("a number of bytes");
        let answer = kind.text();
        stream.write_all(&answer.as_bytes()[..at]).await?;
        if kind.sound && at == answer.len() {
            continue;
        }
        if path[4] == "reset" {
            // A reset may overtake bytes that are still unread.
            sleep(Duration::from_millis(2)).await;
            stream.set_zero_linger()?;
        }
        return Ok(());
    }
}

async fn start(name: &str, net: u8) -> io::Result<(Cluster, SocketAddr)> {
    let cluster = cluster(name, net)
        .service("draws", 1)
        .service("fees", 1)
        .start()
        .await?;
    cut_answers(&cluster).await;
    let target = cluster.target(1);
    Ok((cluster, target))
}

/// A caller's HTTP/1.1 connection.
struct Caller {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Caller {
    async fn fill(&mut self) {
        let read = timeout(
            Duration::from_secs(5),
            self.stream.read_buf(&mut self.buffer),
        );
        let read = read.await.expect("an answer in time");
        let read = read.expect("a connection");
        let text = String::from_utf8_lossy(&self.buffer);
        assert!(read > 0, "closed after {text:?}");
    }

    /// Reads one answer. Returns its status and its body.
    async fn read(&mut self, method: &str) -> (u16, String) {
        let head = loop {
            let end = self.buffer.windows(4).position(|w| w == b"\r\n\r\n");
            match end {
                Some(end) => break self.buffer.drain(..end + 4).collect::<Vec<u8>>(),
                None => self.fill().await,
            }
        };
        let head = String::from_utf8(head).expect("a head in ASCII");
        assert!(head.starts_with("HTTP/1.1 "), "{head:?}");
        let status = head[9..12].parse().expect("a status");
        let length = head
            .lines()
            .find_map(|l| l.strip_prefix("content-length: "));
        let length = match (method, status, length) {
            ("HEAD", ..) | (_, 204, None) => 0,
            (_, _, length) => length.and_then(|l| l.parse().ok()).expect("a length"),
        };
        while self.buffer.len() < length {
            self.fill().await;
        }
        let body = self.buffer.drain(..length).collect();
        (status, String::from_utf8(body).expect("a body in ASCII"))
    }
}

#[tokio::test]
async fn answers_around_a_cut_one_are_in_order_and_whole() -> io::Result<()> {
    let (_cluster, target) = start("cut-answers-pipelined", 105).await?;
    let stream = TcpStream::connect(target).await?;
    let mut caller = Caller {
        stream,
        buffer: Vec::new(),
    };
    for kind in KINDS {
        for (number, (path, at)) in kind.paths().into_iter().enumerate() {
            let before = format!("before-{number}");
            let after = format!("after-{number}");
            let requests: String = [
                ("GET", format!("/draws/whole/{before}")),
                (kind.method, path.clone()),
                ("GET", format!("/draws/whole/{after}")),
            ]
            .iter()
            .map(|(method, path)| format!("{method} {path} HTTP/1.1\r\nhost: h\r\n\r\n"))
            .collect();
            caller.stream.write_all(requests.as_bytes()).await?;
            assert_eq!(caller.read("GET").await, (200, before), "before {path}");
            let (status, body) = caller.read(kind.method).await;
            kind.check(&path, at, status, &body);
            assert_eq!(caller.read("GET").await, (200, after), "after {path}");
        }
    }
    assert!(caller.buffer.is_empty(), "{:?}", caller.buffer);
    Ok(())
}

#[tokio::test]
async fn a_cut_answer_ends_its_stream_alone() -> io::Result<()> {
    let (_cluster, target) = start("cut-answers-http2", 106).await?;
    let client = Client::builder()
        .no_proxy()
        .http2_prior_knowledge()
        .build()
        .expect("HTTP client can be built");
    for kind in KINDS {
        for paths in kind.paths().chunks(STREAMS) {
            let fetches = paths.iter().enumerate().map(async |(number, (path, at))| {
                let other = format!("/draws/whole/{number}");
                let whole = fetch(&client, target, "GET", &other);
                let cut = fetch(&client, target, kind.method, path);
                let (whole, (status, body)) = futures::join!(whole, cut);
                assert_eq!(whole, (200, number.to_string()));
                kind.check(path, *at, status, &body);
            });
            join_all(fetches).await;
        }
    }
    Ok(())
}

async fn fetch(client: &Client, target: SocketAddr, method: &str, path: &str) -> (u16, String) {
    let method = method.parse().expect("a method");
    let request = client.request(method, format!("http://{target}{path}"));
    let response = request.send().await.expect("an answer");
    let status = response.status().as_u16();
    (status, response.text().await.expect("a whole body"))
}
