//! Fingerprints of requests to backend servers.

use board::Board;
use bytes::Bytes;
use fleet::Verdict;
use sha2::{Digest, Sha256};
use smol_str::SmolStr;
use types::{Fingerprint, Moment, ServiceId};

use crate::backend::ServerRequest;

/// What equal requests have in common: the service that the caller belongs to, method, host, path,
/// query and body. The service that runs the request doesn't count, as a route may have several and may
/// change. Nor do the call id and other headers, as they differ each time.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct RequestIdentity {
    caller: Option<ServiceId>,
    method: SmolStr,
    /// Host name that the caller asked for. Empty if it used the address of a node.
    host: SmolStr,
    /// Path and query.
    target: SmolStr,
    body: Bytes,
}

impl RequestIdentity {
    pub(crate) fn new(request: &ServerRequest) -> Self {
        Self {
            caller: request.caller_service.clone(),
            method: request.method.clone(),
            host: host_name(request),
            target: request.path.clone(),
            body: request.body.clone(),
        }
    }

    /// What may be done with the request. The body is only hashed if another request that differs at most
    /// in its body has evidence.
    pub(crate) fn verdict(&self, board: &Board, now: Moment) -> Verdict {
        let quarantine = board.quarantine.borrow();
        match quarantine.is_empty() || !quarantine.has_head(self.head()) {
            true => Verdict::Clear,
            false => quarantine.verdict(self.fingerprint(), now),
        }
    }

    /// Hash of everything but the body.
    fn head(&self) -> u32 {
        let digest = self.head_hash().finalize();
        u32::from_be_bytes(digest[..4].try_into().expect("a digest of 32 bytes"))
    }

    fn head_hash(&self) -> Sha256 {
        let parts = [
            self.caller.as_ref().map_or("", ServiceId::as_str),
            &self.method,
            &self.host,
            &self.target,
        ];
        let hash = Sha256::new();
        parts
            .iter()
            .fold(hash, |hash, part| add(hash, part.as_bytes()))
    }

    /// Computes the fingerprint.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        let digest = add(self.head_hash(), &self.body).finalize();
        let rest = digest[..12].try_into().expect("a digest of 32 bytes");
        Fingerprint::new(self.head(), rest)
    }
}

/// Adds a part to a hash. Its length keeps apart requests whose parts only join to the same bytes.
fn add(hash: Sha256, part: &[u8]) -> Sha256 {
    hash.chain_update((part.len() as u64).to_be_bytes())
        .chain_update(part)
}

/// The host of a request without the port, empty if it is an address.
fn host_name(request: &ServerRequest) -> SmolStr {
    let header = request.headers.iter().find(|h| h.name == "host");
    let host = header.and_then(|h| std::str::from_utf8(&h.value).ok());
    let host = host.unwrap_or_default();
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    match name.trim_matches(['[', ']']).parse::<std::net::IpAddr>() {
        Ok(_) => SmolStr::default(),
        Err(_) => SmolStr::new(name.to_ascii_lowercase()),
    }
}
