//! How the stub of a backend server behaves.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// How the server responds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseMode {
    /// Sends the whole response.
    #[default]
    Whole,
    /// Sends the first half of the body and closes the connection.
    Truncated,
    /// Closes the connection without a response.
    Cut,
    /// Sends the head of a response, and a body without end.
    Endless,
    /// Keeps the connection open and never responds.
    Silent,
    /// Responds with 503 at once and doesn't run the request.
    Shed,
    /// Responds with 500 at once and doesn't run the request.
    Fail,
}

/// Configuration of the server, which can change while it runs.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default)]
pub struct Behavior {
    /// Concurrency limit when warm.
    pub slots: usize,
    /// Concurrency limit when cold.
    pub cold: usize,
    /// Time in milliseconds from a start until the server is warm.
    pub warm_ms: u64,
    /// Mean service time in milliseconds. The time is uniform between half and one and a half of it.
    pub service_ms: f64,
    /// Factor on the service time.
    pub slow: f64,
    /// How the server responds.
    pub answering: ResponseMode,
    /// Address of the node on the same host, which takes the nested requests.
    pub node: Option<SocketAddr>,
    /// Requests a second that responses name as the limit.
    pub limit: Option<f64>,
    /// Whether responses say that the server is leaving.
    pub leaving: bool,
    /// Path segment of requests that end the server.
    pub deadly: Option<String>,
}

impl Default for Behavior {
    fn default() -> Self {
        Self {
            slots: 10,
            cold: 10,
            warm_ms: 0,
            service_ms: 5.0,
            slow: 1.0,
            answering: ResponseMode::Whole,
            node: None,
            limit: None,
            leaving: false,
            deadly: None,
        }
    }
}
