//! HTTP client of the platform.

use std::time::Duration;

use futures::{FutureExt, future::BoxFuture};
use reqwest::{Client, header::HeaderMap};
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use types::Revision;

use crate::{HostList, NotePage, Platform, PlatformError};

/// Time without any byte of a response after which a read fails. A slow platform still responds
/// within a few hundred milliseconds.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout of one read. The largest response takes more than a second on a link of 10 Mbit/s, and
/// several seconds if the link has other traffic.
const READ_TIMEOUT: Duration = Duration::from_millis(10_000);
/// Maximum size of a response, several times that of the largest page or item.
pub const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Timeout of the TCP handshake, which the platform normally completes within milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time before the first TCP keepalive probe, and time between two probes. The kernel takes whole
/// seconds only. With [`KEEPALIVE_RETRIES`] probes, an idle connection that is dead is closed after the
/// two seconds within which a registry change must be in force; one with a request in progress ends by
/// [`SILENCE_TIMEOUT`] before.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Number of unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 1;
/// Time that sent data may stay unacknowledged before the connection is closed, shorter than the
/// same two seconds.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// HTTP client of the platform, shared by all readers of a process.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client,
    base: String,
}

impl HttpClient {
    /// Creates a client of the service at `base`, such as `http://127.0.0.1:6000`.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Unreachable`] if the HTTP client can't be built.
    pub fn new(base: &str) -> Result<Self, PlatformError> {
        let client = Client::builder()
            .no_proxy()
            .http1_only()
            .retry(reqwest::retry::never())
            .connect_timeout(CONNECT_TIMEOUT)
            .read_timeout(SILENCE_TIMEOUT)
            .tcp_keepalive(KEEPALIVE_INTERVAL)
            .tcp_keepalive_interval(KEEPALIVE_INTERVAL)
            .tcp_keepalive_retries(KEEPALIVE_RETRIES)
            .tcp_user_timeout(USER_TIMEOUT)
            .build()
            .map_err(PlatformError::Unreachable)?;
        Ok(Self {
            client,
            base: base.trim_end_matches('/').to_owned(),
        })
    }

    /// Sends a GET request for `path`, which includes the query, and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if the request fails, the status isn't 200, or the body can't be read or
    /// decoded.
    pub async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, PlatformError> {
        let (body, _) = self.read_body(path, MAX_RESPONSE_BYTES).await?;
        serde_json::from_slice(&body).map_err(|cause| PlatformError::Decode {
            item: SmolStr::new(path),
            cause,
        })
    }

    /// Sends a GET request like [`read`](Self::read), and returns the response's body and headers.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if the request fails, the status isn't 200, or the body can't be read, such as
    /// [`PlatformError::TooLarge`] if it exceeds `limit` bytes. It isn't received if the response names
    /// its length.
    pub async fn read_body(
        &self,
        path: &str,
        limit: usize,
    ) -> Result<(Vec<u8>, HeaderMap), PlatformError> {
        let url = format!("{}{path}", self.base);
        let request = self.client.get(url).timeout(READ_TIMEOUT).send();
        let mut response = request.await.map_err(PlatformError::Unreachable)?;
        let status = response.status().as_u16();
        if status != 200 {
            return Err(PlatformError::ErrorStatus { status });
        }
        let headers = response.headers().clone();
        let length = response.content_length().unwrap_or_default();
        if length > limit as u64 {
            return Err(PlatformError::TooLarge { limit });
        }
        let mut body = Vec::new();
        while let Some(chunk) = response.chunk().await.map_err(PlatformError::Truncated)? {
            body.extend_from_slice(&chunk);
            if body.len() > limit {
                return Err(PlatformError::TooLarge { limit });
            }
        }
        Ok((body, headers))
    }
}

/// Reader of the release notes and the list of hosts over HTTP.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    client: HttpClient,
}

impl HttpPlatform {
    /// Creates a reader that sends its requests through `client`.
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
