//! Conversions between messages on the wire and the types of the state machines.

use std::{fmt, net::SocketAddr, sync::Arc};

use attempt::{KnownLimit, OpenedSession, Reply, ServerRequest};
use call::SessionAttempt;
use gate::{Load, Rank};
use types::{
    Answer, Boot, Header, IdError, Moment, Outcome, Rate, Refusal, Revision, Seq, SessionId, Span,
};
use wire::peer;

use super::Attempt;

/// Why a message from another node is invalid.
#[derive(Debug)]
pub(crate) enum ConvertError {
    /// A required field is missing.
    MissingField,
    /// An identifier is malformed.
    InvalidId(IdError),
    /// An address is malformed.
    InvalidAddress,
}

impl fmt::Display for ConvertError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MissingField => f.write_str("a field is missing"),
            Self::InvalidId(error) => write!(f, "a name {error}"),
            Self::InvalidAddress => f.write_str("an address is malformed"),
        }
    }
}

pub(crate) fn from_open_reply(reply: peer::OpenReply) -> OpenedSession {
    OpenedSession {
        boot: Boot(reply.boot),
        session: SessionId(reply.session),
        gate_time: Moment(reply.clock),
    }
}

pub(crate) fn to_run_request(attempt: Attempt) -> peer::RunRequest {
    let Attempt {
        registered,
        server,
        idempotent,
        fail_fast,
        rank,
        route,
        known_limit,
        trial,
        handover: _,
        request,
        revision,
        node,
    } = attempt;
    peer::RunRequest {
        attempt: Some(registered.id.into()),
        floor: registered.floor.0,
        deadline: registered.deadline.0,
        revision: revision.0,
        call: request.call.to_string(),
        server: server.to_string(),
        method: request.method.to_string(),
        path: request.path.to_string(),
        headers: to_headers(&request.headers),
        body: request.body,
        idempotent,
        depth: request.depth,
        repeat: request.is_retry,
        node: node.to_string(),
        choosy: fail_fast,
        origin: request
            .caller_service
            .map_or(String::new(), |id| id.to_string()),
        objective: rank.objective.0,
        priority: rank.priority,
        expected: rank.service_time.0,
        nested: rank.nested,
        route: route.to_string(),
        limit: known_limit.map(|known| known.rate.per_second()),
        incarnation: known_limit.map_or(0, |known| known.incarnation.0),
        trial,
    }
}

pub(crate) fn from_run_request(request: peer::RunRequest) -> Result<Attempt, ConvertError> {
    let id = request.attempt.ok_or(ConvertError::MissingField)?.into();
    let caller_service = match request.origin.as_str() {
        "" => None,
        name => Some(name.parse().map_err(ConvertError::InvalidId)?),
    };
    let rate = request.limit.and_then(|limit| Rate::new(limit).ok());
    let node: SocketAddr = request
        .node
        .parse()
        .map_err(|_| ConvertError::InvalidAddress)?;
    Ok(Attempt {
        registered: SessionAttempt {
            id,
            floor: Seq(request.floor),
            deadline: Moment(request.deadline),
        },
        server: request.server.parse().map_err(ConvertError::InvalidId)?,
        idempotent: request.idempotent,
        fail_fast: request.choosy,
        rank: Rank {
            objective: Moment(request.objective),
            service_time: Span(request.expected),
            priority: request.priority,
            nested: request.nested,
        },
        route: request.route.into(),
        known_limit: rate.map(|rate| KnownLimit {
            rate,
            incarnation: Boot(request.incarnation),
        }),
        trial: request.trial,
        handover: None,
        request: ServerRequest {
            call: request.call.parse().map_err(ConvertError::InvalidId)?,
            method: request.method.into(),
            path: request.path.into(),
            headers: from_headers(request.headers),
            body: request.body,
            depth: request.depth,
            is_retry: request.repeat,
            caller_service,
        },
        revision: Revision(request.revision),
        node,
    })
}

pub(crate) fn to_outcome(reply: Reply) -> peer::Outcome {
    use peer::outcome::Result as R;
    let result = match reply.outcome {
        Outcome::Unknown => R::Unknown(peer::Unknown { late: false }),
        Outcome::Expired => R::Unknown(peer::Unknown { late: true }),
        Outcome::NotRun {
            refusal,
            retry_after,
        } => R::NotRun(peer::NotRun {
            refusal: to_refusal(refusal).into(),
            after_ms: u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX),
            limited: refusal == Refusal::Limited,
        }),
        Outcome::Answer(answer) => R::Answer(peer::Answer {
            status: u32::from(answer.status),
            headers: to_headers(&answer.headers),
            body: answer.body.clone(),
        }),
    };
    peer::Outcome {
        result: Some(result),
        load: Some(peer::Load {
            running: reply.load.running,
            waiting: reply.load.waiting,
            allowed: reply.load.allowed,
            typical: u32::try_from(reply.load.mean_latency.0).unwrap_or(u32::MAX),
            pace: reply.load.slowdown_percent,
            limit: reply.load.limit.map(Rate::per_second),
            room_after: reply.load.room_after.0,
        }),
        revision: reply.revision.0,
        boot: reply.boot.0,
        clock: reply.gate_time.0,
        ran: reply.service_time.0,
        incarnation: reply.incarnation.0,
        leaving: reply.leaving,
    }
}

/// Converts a reply. An outcome that isn't understood counts as unknown.
pub(crate) fn from_outcome(message: peer::Outcome) -> Reply {
    use peer::outcome::Result as R;
    let outcome = match message.result {
        Some(R::NotRun(not_run)) => match from_refusal(not_run.refusal()) {
            Some(Refusal::Busy) if not_run.limited => Outcome::NotRun {
                refusal: Refusal::Limited,
                retry_after: Span::from_millis(not_run.after_ms.into()),
            },
            Some(refusal) => Outcome::NotRun {
                refusal,
                retry_after: Span::from_millis(not_run.after_ms.into()),
            },
            None => Outcome::Unknown,
        },
        Some(R::Answer(answer)) => from_answer(answer),
        Some(R::Unknown(peer::Unknown { late: true })) => Outcome::Expired,
        Some(R::Unknown(_)) | None => Outcome::Unknown,
    };
    let load = message.load.unwrap_or_default();
    Reply {
        outcome,
        load: Load {
            running: load.running,
            waiting: load.waiting,
            allowed: load.allowed,
            mean_latency: Span(load.typical.into()),
            slowdown_percent: load.pace,
            limit: load.limit.and_then(|limit| Rate::new(limit).ok()),
            room_after: Span(load.room_after),
        },
        revision: Revision(message.revision),
        boot: Boot(message.boot),
        gate_time: Moment(message.clock),
        service_time: Span(message.ran),
        incarnation: Boot(message.incarnation),
        leaving: message.leaving,
    }
}

/// Converts an answer. One whose status isn't that of a final response counts as unknown.
fn from_answer(answer: peer::Answer) -> Outcome {
    match u16::try_from(answer.status) {
        Ok(status) if Answer::is_final(status) => Outcome::Answer(Arc::new(Answer {
            status,
            headers: from_headers(answer.headers),
            body: answer.body,
        })),
        _ => Outcome::Unknown,
    }
}

fn to_headers(headers: &[Header]) -> Vec<peer::Header> {
    let convert = |h: &Header| peer::Header {
        name: h.name.to_string(),
        value: h.value.clone(),
    };
    headers.iter().map(convert).collect()
}

fn from_headers(headers: Vec<peer::Header>) -> Vec<Header> {
    headers
        .into_iter()
        .map(|h| Header {
            name: h.name.into(),
            value: h.value,
        })
        .collect()
}

fn to_refusal(refusal: Refusal) -> peer::Refusal {
    match refusal {
        // A node of an earlier version doesn't know a refusal of its own for this.
        Refusal::Busy | Refusal::Limited => peer::Refusal::Busy,
        Refusal::Slow => peer::Refusal::Slow,
        Refusal::Failing => peer::Refusal::Failing,
        Refusal::Late => peer::Refusal::Late,
        Refusal::Leaving => peer::Refusal::Leaving,
        Refusal::Stopping => peer::Refusal::Stopping,
        Refusal::Stale => peer::Refusal::Stale,
        Refusal::Barred => peer::Refusal::Barred,
        Refusal::Session => peer::Refusal::Session,
        Refusal::Misplaced => peer::Refusal::Misplaced,
        Refusal::Misdirected => peer::Refusal::Misdirected,
        Refusal::Down => peer::Refusal::Down,
        Refusal::Shed => peer::Refusal::Shed,
        Refusal::Cancelled => peer::Refusal::Cancelled,
        Refusal::Quarantined => peer::Refusal::Quarantined,
    }
}

fn from_refusal(refusal: peer::Refusal) -> Option<Refusal> {
    Some(match refusal {
        peer::Refusal::Unspecified => return None,
        peer::Refusal::Busy => Refusal::Busy,
        peer::Refusal::Slow => Refusal::Slow,
        peer::Refusal::Failing => Refusal::Failing,
        peer::Refusal::Late => Refusal::Late,
        peer::Refusal::Leaving => Refusal::Leaving,
        peer::Refusal::Stopping => Refusal::Stopping,
        peer::Refusal::Stale => Refusal::Stale,
        peer::Refusal::Barred => Refusal::Barred,
        peer::Refusal::Session => Refusal::Session,
        peer::Refusal::Misplaced => Refusal::Misplaced,
        peer::Refusal::Misdirected => Refusal::Misdirected,
        peer::Refusal::Down => Refusal::Down,
        peer::Refusal::Shed => Refusal::Shed,
        peer::Refusal::Cancelled => Refusal::Cancelled,
        peer::Refusal::Quarantined => Refusal::Quarantined,
    })
}
