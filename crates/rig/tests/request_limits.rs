//! Requests within the limits on heads are served, over HTTP/1.1 and HTTP/2.

use std::io;

use rig::cluster::cluster;

/// Headers of 61 KB in all: the default limit is 64 KiB.
const HEADERS: usize = 60;
const VALUE_BYTES: usize = 1_000;

#[tokio::test]
async fn large_heads_within_the_limit_are_served_over_each_protocol() -> io::Result<()> {
    let cluster = cluster("request-limits-heads", 115)
        .service("draws", 1)
        .start()
        .await?;
    // The request line counts apart, so a head may be larger than the limit.
    let path = "p".repeat(7_000);
    let client = || reqwest::Client::builder().no_proxy();
    let clients = [client(), client().http2_prior_knowledge()];
    for client in clients {
        let client = client.build().map_err(io::Error::other)?;
        let mut request = client.get(format!("http://{}/draws/{path}", cluster.target(0)));
        for number in 0..HEADERS {
            request = request.header(format!("x-{number}"), "v".repeat(VALUE_BYTES));
        }
        let response = request.send().await.map_err(io::Error::other)?;
        assert_eq!(response.status(), 200, "{:?}", response.version());
    }
    Ok(())
}
