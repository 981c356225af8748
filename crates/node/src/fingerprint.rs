//! Fingerprints of requests to backend servers.

use board::Board;
use bytes::Bytes;
use fleet::Verdict;
use sha2::{Digest, Sha256};
use smol_str::SmolStr;
use types::{Fingerprint, Moment, ServiceId};

use crate::backend::ServerRequest;

/// What equal requests have in common. The call id and other headers don't count, as they differ.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct RequestIdentity {
    pub(crate) service: ServiceId,
    method: SmolStr,
    /// Path and query.
    target: SmolStr,
    body: Bytes,
}

impl RequestIdentity {
    /// Returns the identity of a request to a service.
    pub(crate) fn new(service: &ServiceId, request: &ServerRequest) -> Self {
        Self {
            service: service.clone(),
            method: request.method.clone(),
            target: request.path.clone(),
            body: request.body.clone(),
        }
    }

    /// What may be done with the request. The fingerprint is only computed if there are suspects.
    pub(crate) fn verdict(&self, board: &Board, now: Moment) -> Verdict {
        let quarantine = board.quarantine.borrow();
        match quarantine.has_suspects(now) {
            true => quarantine.verdict(self.fingerprint(), now),
            false => Verdict::Clear,
        }
    }

    /// Computes the fingerprint.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        let parts = [
            self.service.as_str().as_bytes(),
            self.method.as_bytes(),
            self.target.as_bytes(),
            &self.body,
        ];
        let hash = parts.iter().fold(Sha256::new(), |hash, part| {
            // The lengths keep apart requests whose parts only join to the same bytes.
            hash.chain_update((part.len() as u64).to_be_bytes())
                .chain_update(part)
        });
        let digest = hash.finalize();
        let half = digest[..16].try_into().expect("a digest of 32 bytes");
        Fingerprint(u128::from_be_bytes(half))
    }
}
