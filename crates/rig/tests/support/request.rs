//! Requests that scripts send, and their results.

use reqwest::Method;
use rig::{process::client, server::Echo};

/// Result of a request, as a script prints it.
#[derive(Debug, Clone)]
pub(crate) struct RequestResult {
    pub(crate) text: String,
}

/// Request of a script.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) method: String,
    pub(crate) service: String,
    /// Index of the node that receives the request.
    pub(crate) via: usize,
    pub(crate) deadline_ms: u64,
    /// Levels of nested requests.
    pub(crate) depth: u32,
    /// Service that the nested requests go to.
    pub(crate) nested_service: Option<String>,
}

impl Request {
    pub(crate) fn new(method: &str, service: &str, via: usize) -> Self {
        Self {
            method: method.to_owned(),
            service: service.to_owned(),
            via,
            deadline_ms: 20_000,
            depth: 0,
            nested_service: None,
        }
    }

    pub(crate) async fn send(self, target: String, id: String) -> RequestResult {
        let nested = self
            .nested_service
            .map(|service| format!("&to={service}"))
            .unwrap_or_default();
        let url = format!(
            "http://{target}/{}/item?depth={}{nested}",
            self.service, self.depth
        );
        let method: Method = self.method.parse().expect("invalid HTTP method in script");
        let request = client()
            .request(method, url)
            .header("x-request-id", &id)
            .header("x-deadline-ms", self.deadline_ms);
        let Ok(response) = request.send().await else {
            return RequestResult {
                text: "no answer".to_owned(),
            };
        };
        let status = response.status().as_u16();
        let header = |name| {
            response
                .headers()
                .get(name)
                .and_then(|v| v.to_str().ok())
                .map(str::to_owned)
        };
        let outcome = header("x-outcome");
        let retry_after = header("retry-after").map(|_| ", says when to come back");
        let body = response.bytes().await.unwrap_or_default();
        let matches_id = serde_json::from_slice::<Echo>(&body).is_ok_and(|echo| echo.id == id);
        let summary = match (status, outcome) {
            (200, _) if matches_id => "whole answer".to_owned(),
            (_, Some(outcome)) => outcome,
            _ => "no echo".to_owned(),
        };
        RequestResult {
            text: format!("{status} {summary}{}", retry_after.unwrap_or_default()),
        }
    }
}
