//! Client of the nodes' admin API.

use std::{net::SocketAddr, time::Duration};

use note::View;
use reqwest::Client;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::error::ToolError;

/// Longest time that one answer may take.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Reads from admin APIs.
#[derive(Debug, Clone)]
pub struct AdminClient {
    client: Client,
}

impl AdminClient {
    /// A client.
    ///
    /// # Panics
    ///
    /// If the HTTP client can't be set up, which plain settings don't cause.
    pub fn new() -> Self {
        let builder = Client::builder().no_proxy().timeout(TIMEOUT);
        Self {
            client: builder.build().expect("a plain client"),
        }
    }

    /// The whole state of a process.
    ///
    /// # Errors
    ///
    /// If the process gives no answer.
    pub async fn state(&self, admin: SocketAddr) -> Result<Value, ToolError> {
        self.read(admin, "state").await
    }

    /// The view that a process has in force.
    ///
    /// # Errors
    ///
    /// If the process gives no answer.
    pub async fn view(&self, admin: SocketAddr) -> Result<View, ToolError> {
        self.read(admin, "notes").await
    }

    async fn read<T: DeserializeOwned>(
        &self,
        admin: SocketAddr,
        path: &str,
    ) -> Result<T, ToolError> {
        let fail = |cause| ToolError::Admin {
            address: admin.to_string(),
            cause,
        };
        let answer = self
            .client
            .get(format!("http://{admin}/{path}"))
            .send()
            .await
            .map_err(fail)?;
        answer.json().await.map_err(fail)
    }
}

impl Default for AdminClient {
    fn default() -> Self {
        Self::new()
    }
}
