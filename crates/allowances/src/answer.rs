//! Answers to questions of other nodes, as the owner of a team or on the way to it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use allowance::{GRANT_TERM, Probe, Question, Stand, Terms, owners};
use tokio::time::timeout;
use types::{Rate, Revision, TeamId};
use wire::peer::{DrawReply, DrawRequest};

use super::{ANSWER_TIMEOUT, Allowances, PASSED_TIMEOUT, draw_request, terms_of};

impl Allowances {
    /// Answers a question of another node, `None` if it is malformed.
    pub async fn serve(self: &Arc<Self>, request: DrawRequest) -> Option<DrawReply> {
        let node: Option<SocketAddr> = match request.node.as_str() {
            "" => None,
            node => Some(node.parse().ok()?),
        };
        let own = self.board.identity.node;
        match node.filter(|node| *node != own) {
            Some(_) if request.hops == 0 => Some(DrawReply::default()),
            Some(node) => {
                let hops = request.hops - 1;
                let passed = DrawRequest { hops, ..request };
                let reply = self.send(node, passed, ANSWER_TIMEOUT).await;
                Some(mark_passed(reply.unwrap_or_default()))
            }
            None if request.team.is_empty() => Some(DrawReply {
                reached: true,
                ..DrawReply::default()
            }),
            None => {
                let team: TeamId = request.team.parse().ok()?;
                let terms = Terms {
                    rate: Rate::new(request.rate).ok()?,
                    burst: request.burst,
                    revision: Revision(request.revision),
                };
                let question = Question {
                    wanted: request.wanted,
                    waiting: request.waiting,
                    refused: request.refused,
                };
                Some(self.answer(&team, terms, question, request.hops).await)
            }
        }
    }

    /// Answers as the owner of a team, or passes the question on.
    pub(super) async fn answer(
        self: &Arc<Self>,
        team: &TeamId,
        terms: Terms,
        question: Question,
        hops: u32,
    ) -> DrawReply {
        let view = self.board.view();
        let terms = match terms_of(&view, team) {
            Some(own) if own.revision >= terms.revision => own,
            _ => terms,
        };
        let now = self.board.clock.now();
        let (next, relays) = {
            let mut core = self.core();
            core.set_view(&view, now);
            let order = owners(team, core.reach.members());
            match core.reach.stand(&order, now) {
                Stand::Own { since } => {
                    let since = since.max(core.reach.owned_since(team));
                    let drawn = core.owner.draw(team, terms, question, since, now);
                    let Some(drawn) = drawn else {
                        return DrawReply::default();
                    };
                    return DrawReply {
                        reached: true,
                        granted: drawn.tokens,
                        expires: GRANT_TERM.0,
                        room_after: drawn.room_at.since(now).0,
                        retry_after: drawn.retry_at.since(now).0,
                        passed: false,
                    };
                }
                Stand::Pass(next) if hops > 0 => {
                    core.owner.forget(team);
                    (next, core.reach.relays(next))
                }
                Stand::Pass(_) | Stand::Unreached => return DrawReply::default(),
            }
        };
        let request = draw_request(team, terms, question, hops - 1);
        if let Some(reply) = self.send(next, request.clone(), ANSWER_TIMEOUT).await {
            return mark_passed(reply);
        }
        for relay in relays.into_iter().filter(|_| hops > 1) {
            let request = DrawRequest {
                node: next.to_string(),
                ..request.clone()
            };
            let reply = self.send(relay, request, PASSED_TIMEOUT).await;
            if let Some(reply) = reply.filter(|reply| reply.reached) {
                let now = self.board.clock.now();
                self.core().reach.answered(next, false, now);
                return mark_passed(reply);
            }
        }
        DrawReply::default()
    }

    /// Sends a question to a node and records whether it answers.
    pub(super) async fn send(
        &self,
        to: SocketAddr,
        request: DrawRequest,
        wait: Duration,
    ) -> Option<DrawReply> {
        self.metrics.record_control_message("draw");
        let sent_at = self.board.clock.now();
        let reply = timeout(wait, self.courier.draw(to, request)).await;
        let reply = reply.ok().flatten();
        let now = self.board.clock.now();
        let reach = &mut self.core().reach;
        match reply {
            Some(_) => reach.answered(to, true, sent_at),
            None => reach.failed(to, now),
        }
        reply
    }

    /// Sends a message whose answer shows that a member is reached.
    pub(super) async fn probe(self: Arc<Self>, probe: Probe) {
        let request = DrawRequest {
            node: probe.to.to_string(),
            hops: 1,
            ..DrawRequest::default()
        };
        let sent_at = self.board.clock.now();
        let Some(relay) = probe.via else {
            self.send(probe.to, request, PASSED_TIMEOUT).await;
            return;
        };
        let reply = self.send(relay, request, PASSED_TIMEOUT).await;
        if reply.is_some_and(|reply| reply.reached) {
            self.core().reach.answered(probe.to, false, sent_at);
        }
    }
}

fn mark_passed(reply: DrawReply) -> DrawReply {
    DrawReply {
        passed: true,
        ..reply
    }
}
