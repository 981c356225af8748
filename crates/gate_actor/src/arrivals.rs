//! Attempts that arrive at the gate, whole or with their body to follow.

use attempt::{RequestIdentity, ServerRequest};
use gate::{Offer, Query};
use types::{AttemptId, Moment, Refusal, ServerId, Size};

use super::{BodyLost, DeliverBody, GateActor, OfferBody, RunAttempt, state::PendingAttempt};

impl GateActor {
    pub(super) fn run(&mut self, msg: RunAttempt) {
        let misplaced = self.misplaced(&msg.server);
        let now = self.board.clock.now();
        let suspect = self.suspect_refusal(&msg.request, msg.trial, now);
        let id = msg.offer.id;
        let offer = self.receive(msg, misplaced.or(suspect), now);
        let actions = self.gate.offer(offer, now);
        if actions.is_empty() {
            self.log_run("run_waits", id, "queued");
        }
        self.execute(actions);
    }

    /// Admits an attempt whose body follows. Whether its request is a suspect shows once the body is there.
    pub(super) fn offer_body(&mut self, msg: OfferBody) {
        let OfferBody {
            attempt,
            body,
            admitted,
        } = msg;
        let misplaced = self.misplaced(&attempt.server);
        let now = self.board.clock.now();
        let id = attempt.offer.id;
        let offer = self.receive(attempt, misplaced, now);
        let actions = self.gate.offer_body(offer, body, now);
        self.execute(actions);
        if self.attempts.contains_key(&id) {
            self.log_run("offer_admitted", id, "admitted");
            self.metrics.record_offer("admitted");
            let _ = admitted.send(());
        } else {
            self.metrics.record_offer("refused");
        }
    }

    /// Keeps the place of an attempt. Returns whether it has one.
    pub(super) fn extend_reservation(&mut self, id: AttemptId) -> bool {
        let now = self.board.clock.now();
        self.gate.extend_reservation(id, now);
        self.gate.awaits_body(id)
    }

    /// Gives up the place of an attempt whose body isn't whole and doesn't go on.
    pub(super) fn body_lost(&mut self, msg: &BodyLost) {
        let now = self.board.clock.now();
        if self.gate.awaits_body(msg.id) {
            self.metrics.record_offer("lost");
            let actions = self.gate.query(msg.id, Query::Withdraw, now);
            self.execute(actions);
        }
    }

    pub(super) fn deliver_body(&mut self, msg: DeliverBody) {
        let DeliverBody { id, body, reply } = msg;
        let now = self.board.clock.now();
        let size = Size(body.len() as u64);
        let is_awaited = self.gate.awaits_body(id);
        let queried = || PendingAttempt::queried(now);
        let attempt = self.attempts.entry(id).or_insert_with(queried);
        attempt.waiters.push(reply);
        let refusal = match attempt.request.take() {
            Some(request) if is_awaited => {
                let trial = attempt.trial;
                let request = ServerRequest { body, ..request };
                let refusal = self.suspect_refusal(&request, trial, now);
                self.put_request(id, request);
                refusal
            }
            request => {
                attempt.request = request;
                None
            }
        };
        let actions = self.gate.deliver(id, size, refusal, now);
        if actions.is_empty() {
            self.log_run("run_waits", id, "queued");
        }
        self.execute(actions);
    }

    fn put_request(&mut self, id: AttemptId, request: ServerRequest) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.request = Some(request);
        }
    }

    /// Why an attempt can't run here, if it is addressed to another backend server.
    fn misplaced(&mut self, server: &ServerId) -> Option<Refusal> {
        // The message that tells of a new view may be behind the attempt.
        if self.hosts_revision != self.board.view.borrow().revision {
            self.refresh();
        }
        (self.server_id() != Some(server)).then_some(Refusal::Misplaced)
    }

    /// Why a request isn't run at present, if it is a suspect.
    fn suspect_refusal(
        &mut self,
        request: &ServerRequest,
        trial: bool,
        now: Moment,
    ) -> Option<Refusal> {
        if let Some(server) = self.server_id().cloned() {
            let ends = self.evidence.conclude_trials(&server, &self.board, now);
            self.metrics.record_suspects("end", ends);
        }
        let identity = RequestIdentity::new(request);
        self.evidence.refusal(&identity, trial, &self.board, now)
    }

    /// Records an attempt that arrives. Returns what is to be offered to the gate.
    fn receive(&mut self, msg: RunAttempt, refusal: Option<Refusal>, now: Moment) -> Offer {
        if let Some(origin) = &msg.request.caller_service {
            self.routes.observe_origin(&msg.route, origin);
        }
        let offer = Offer {
            refusal,
            rank: self.routes.refine(&msg.route, msg.offer.rank),
            ..msg.offer
        };
        if let Some(known) = msg.known_limit
            && known.incarnation == self.incarnation()
        {
            let before = self.gate.named_limit(now);
            self.gate.learn_limit(known.rate, now);
            self.log_limit(before);
        }
        let arrived = || PendingAttempt {
            call: Some(msg.request.call.clone()),
            request: Some(msg.request),
            idempotent: msg.idempotent,
            trial: msg.trial,
            rank: offer.rank,
            route: msg.route,
            ..PendingAttempt::queried(now)
        };
        let attempt = self.attempts.entry(offer.id).or_insert_with(arrived);
        attempt.waiters.push(msg.reply);
        offer
    }
}
