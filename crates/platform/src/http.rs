//! The platform over HTTP.

use std::time::Duration;

use futures::{FutureExt, future::BoxFuture};
use reqwest::Client;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use types::Revision;

use crate::{HostList, NotePage, Platform, PlatformError};

/// Longest time that one read may take: a slow platform still answers within some hundred
/// milliseconds.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest time to make a connection. The platform answers within milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Silence after which an open connection is tested, and the time between two tests: with the tests
/// below, silence is noticed well within the two seconds in which a change must be in force.
const TEST_PERIOD: Duration = Duration::from_millis(500);
/// Tests without an answer after which a connection counts as broken.
const MOST_TESTS: u32 = 2;
/// Time after which unacknowledged bytes break a connection, for the same reason.
const SENT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The one HTTP client that a process reads its platform with.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client,
    base: String,
}

impl HttpClient {
    /// A client of the service at `base`, such as `http://127.0.0.1:6000`.
    ///
    /// # Errors
    ///
    /// If the HTTP client can't be set up.
    pub fn new(base: &str) -> Result<Self, PlatformError> {
        let client = Client::builder()
            .no_proxy()
            .http1_only()
            .retry(reqwest::retry::never())
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_keepalive(TEST_PERIOD)
            .tcp_keepalive_interval(TEST_PERIOD)
            .tcp_keepalive_retries(MOST_TESTS)
            .tcp_user_timeout(SENT_TIMEOUT)
            .build()
            .map_err(PlatformError::Unreachable)?;
        Ok(Self {
            client,
            base: base.trim_end_matches('/').to_owned(),
        })
    }

    /// Reads what stands at a path with its query.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] tells apart a service that can't be reached, one that refuses, and an answer
    /// that can't be understood.
    pub async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, PlatformError> {
        let url = format!("{}{path}", self.base);
        let sending = self.client.get(url).timeout(READ_TIMEOUT).send();
        let answer = sending.await.map_err(PlatformError::Unreachable)?;
        match answer.status().as_u16() {
            200 => {
                let body = answer.bytes().await.map_err(PlatformError::Truncated)?;
                serde_json::from_slice(&body).map_err(|cause| PlatformError::Decode {
                    item: SmolStr::new(path),
                    cause,
                })
            }
            status => Err(PlatformError::ErrorStatus { status }),
        }
    }
}

/// Client of the configuration service and of the host list.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    client: HttpClient,
}

impl HttpPlatform {
    /// Reads through `client`.
    pub fn new(client: HttpClient) -> Self {
        Self { client }
    }
}

impl Platform for HttpPlatform {
    fn notes(&self, after: Revision) -> BoxFuture<'_, Result<NotePage, PlatformError>> {
        let path = format!("/v1/notes?after={after}");
        async move { self.client.read(&path).await }.boxed()
    }

    fn hosts(&self) -> BoxFuture<'_, Result<HostList, PlatformError>> {
        async move { self.client.read("/v1/hosts").await }.boxed()
    }
}
