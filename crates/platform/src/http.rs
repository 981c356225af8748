//! The platform over HTTP.

use std::time::Duration;

use futures::{FutureExt, future::BoxFuture};
use reqwest::Client;
use serde::de::DeserializeOwned;
use types::Revision;

use crate::{HostList, Page, Platform, PlatformError};

/// Longest time that one read may take.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Client of the configuration service and of the host list.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    client: Client,
    base: String,
}

impl HttpPlatform {
    /// A client of the service at `base`, such as `http://127.0.0.1:6000`.
    ///
    /// # Errors
    ///
    /// If the HTTP client can't be set up.
    pub fn new(base: &str) -> Result<Self, PlatformError> {
        let client = Client::builder()
            .no_proxy()
            .retry(reqwest::retry::never())
            .timeout(READ_TIMEOUT)
            .build()
            .map_err(PlatformError::Unreachable)?;
        Ok(Self {
            client,
            base: base.trim_end_matches('/').to_owned(),
        })
    }

    async fn read<T: DeserializeOwned>(&self, path: String) -> Result<T, PlatformError> {
        let url = format!("{}{path}", self.base);
        let answer = self
            .client
            .get(url)
            .send()
            .await
            .map_err(PlatformError::Unreachable)?;
        match answer.status().as_u16() {
            200 => answer.json().await.map_err(PlatformError::Malformed),
            status => Err(PlatformError::Refused { status }),
        }
    }
}

impl Platform for HttpPlatform {
    fn notes(&self, after: Revision) -> BoxFuture<'_, Result<Page, PlatformError>> {
        self.read(format!("/v1/notes?after={after}")).boxed()
    }

    fn hosts(&self) -> BoxFuture<'_, Result<HostList, PlatformError>> {
        self.read("/v1/hosts".to_owned()).boxed()
    }
}
