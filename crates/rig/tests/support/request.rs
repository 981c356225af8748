//! Requests of scenarios.

use reqwest::Method;
use rig::{process::client, server::Echo};

/// How a request ended, as a scenario prints it.
#[derive(Debug, Clone)]
pub(crate) struct Ended {
    pub(crate) text: String,
}

/// A request of a scenario.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) method: String,
    pub(crate) service: String,
    pub(crate) via: usize,
    pub(crate) deadline: u64,
    pub(crate) depth: u32,
    pub(crate) to: Option<String>,
}

impl Request {
    pub(crate) fn new(method: &str, service: &str, via: usize) -> Self {
        Self {
            method: method.to_owned(),
            service: service.to_owned(),
            via,
            deadline: 20_000,
            depth: 0,
            to: None,
        }
    }

    pub(crate) async fn send(self, target: String, id: String) -> Ended {
        let to = self
            .to
            .map(|service| format!("&to={service}"))
            .unwrap_or_default();
        let url = format!(
            "http://{target}/{}/item?depth={}{to}",
            self.service, self.depth
        );
        let method: Method = self.method.parse().expect("a method");
        let request = client()
            .request(method, url)
            .header("x-request-id", &id)
            .header("x-deadline-ms", self.deadline);
        let Ok(answer) = request.send().await else {
            return Ended {
                text: "no answer".to_owned(),
            };
        };
        let status = answer.status().as_u16();
        let header = |name| {
            answer
                .headers()
                .get(name)
                .and_then(|v| v.to_str().ok())
                .map(str::to_owned)
        };
        let outcome = header("x-outcome");
        let back = header("retry-after").map(|_| ", says when to come back");
        let body = answer.bytes().await.unwrap_or_default();
        let own = serde_json::from_slice::<Echo>(&body).is_ok_and(|echo| echo.id == id);
        let what = match (status, outcome) {
            (200, _) if own => "whole answer".to_owned(),
            (_, Some(outcome)) => outcome,
            _ => "no echo".to_owned(),
        };
        Ended {
            text: format!("{status} {what}{}", back.unwrap_or_default()),
        }
    }
}
