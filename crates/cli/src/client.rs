//! HTTP client of the nodes' admin API.

use std::{net::SocketAddr, time::Duration};

use note::View;
use reqwest::Client;
use serde::de::DeserializeOwned;
use serde_json::Value;
use types::Fingerprint;

use crate::error::ToolError;

/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// HTTP client of the admin API of any node.
#[derive(Debug, Clone)]
pub struct AdminClient {
    client: Client,
}

impl AdminClient {
    /// Creates a client.
    ///
    /// # Panics
    ///
    /// If the HTTP client can't be built, which doesn't happen with these options.
    pub fn new() -> Self {
        let builder = Client::builder().no_proxy().timeout(REQUEST_TIMEOUT);
        Self {
            client: builder.build().expect("the HTTP client can be built"),
        }
    }

    /// Reads the state dump of a node.
    ///
    /// # Errors
    ///
    /// [`ToolError::Admin`] if the request fails or the response can't be decoded.
    pub async fn state(&self, admin: SocketAddr) -> Result<Value, ToolError> {
        self.read(admin, "state").await
    }

    /// Reads the view that a node has in force.
    ///
    /// # Errors
    ///
    /// [`ToolError::Admin`] if the request fails or the response can't be decoded.
    pub async fn view(&self, admin: SocketAddr) -> Result<View, ToolError> {
        self.read(admin, "notes").await
    }

    /// Clears a request under which backend servers ended, on all nodes. Returns whether the node knew it.
    ///
    /// # Errors
    ///
    /// [`ToolError::Admin`] if the request fails or the response can't be decoded.
    pub async fn clear(&self, admin: SocketAddr, request: Fingerprint) -> Result<bool, ToolError> {
        let url = format!("http://{admin}/suspects/{request}/clear");
        let error = |cause| ToolError::Admin {
            address: admin.to_string(),
            cause,
        };
        let response = self.client.post(url).send().await.map_err(error)?;
        response.json().await.map_err(error)
    }

    async fn read<T: DeserializeOwned>(
        &self,
        admin: SocketAddr,
        path: &str,
    ) -> Result<T, ToolError> {
        let error = |cause| ToolError::Admin {
            address: admin.to_string(),
            cause,
        };
        let response = self
            .client
            .get(format!("http://{admin}/{path}"))
            .send()
            .await
            .map_err(error)?;
        response.json().await.map_err(error)
    }
}

impl Default for AdminClient {
    fn default() -> Self {
        Self::new()
    }
}
