//! Fingerprints of requests to backend servers.

use std::net::IpAddr;

use board::Board;
use bytes::Bytes;
use fleet::Verdict;
use route::host_name;
use sha2::{Digest, Sha256};
use smol_str::{SmolStr, StrExt};
use types::{Fingerprint, Moment, ServiceId};

use super::request::ServerRequest;

/// What equal requests have in common: the service that the caller belongs to, method, host, path,
/// query and body. The service that runs the request doesn't count, as a route may have several and may
/// change. Nor do the call id and other headers, as they differ each time.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestIdentity {
    caller: Option<ServiceId>,
    method: SmolStr,
    /// Host name that the caller asked for. Empty if it used the address of a node.
    host: SmolStr,
    /// Path and query.
    target: SmolStr,
    body: Bytes,
}

impl RequestIdentity {
    /// Returns the identity of a request.
    pub fn new(request: &ServerRequest) -> Self {
        Self {
            caller: request.caller_service.clone(),
            method: request.method.clone(),
            host: requested_host(request),
            target: request.path.clone(),
            body: request.body.clone(),
        }
    }

    /// What may be done with the request. The body is only hashed if another request that differs at most
    /// in its body has evidence.
    pub fn verdict(&self, board: &Board, now: Moment) -> Verdict {
        let quarantine = board.quarantine.borrow();
        match quarantine.is_empty() || !quarantine.has_head(first(self.head_hash())) {
            true => Verdict::Clear,
            false => quarantine.verdict(self.fingerprint(), now),
        }
    }

    /// Hash of everything but the body.
    fn head_hash(&self) -> Sha256 {
        let parts = [
            self.caller.as_ref().map_or("", ServiceId::as_str),
            &self.method,
            &self.host,
            &self.target,
        ];
        let add_part = |hash, part: &&str| add(hash, part.as_bytes());
        parts.iter().fold(Sha256::new(), add_part)
    }

    /// Computes the fingerprint.
    pub fn fingerprint(&self) -> Fingerprint {
        let head = self.head_hash();
        let whole = add(head.clone(), &self.body);
        Fingerprint::new(first(head), first(whole))
    }
}

/// The first bytes of a hash.
fn first<const N: usize>(hash: Sha256) -> [u8; N] {
    let digest = hash.finalize();
    digest[..N].try_into().expect("a digest of 32 bytes")
}

/// Adds a part to a hash. Its length keeps apart requests whose parts only join to the same bytes.
fn add(hash: Sha256, part: &[u8]) -> Sha256 {
    hash.chain_update((part.len() as u64).to_be_bytes())
        .chain_update(part)
}

/// The host name that a request asks for, empty if it is an address.
fn requested_host(request: &ServerRequest) -> SmolStr {
    let header = request.headers.iter().find(|h| h.name == "host");
    let host = header.and_then(|h| std::str::from_utf8(&h.value).ok());
    let name = host_name(host.unwrap_or_default());
    match name.trim_matches(['[', ']']).parse::<IpAddr>() {
        Ok(_) => SmolStr::default(),
        Err(_) => name.to_ascii_lowercase_smolstr(),
    }
}
