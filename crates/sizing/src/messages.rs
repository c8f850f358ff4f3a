//! Measures the encoded size of single messages and of the parts of a host's record.

use crate::memory::{Part, claim_request};
use crate::{CALL_BYTES, framed_bytes, synthetic};
use heatherhinge_blackboard::{
    DigestEntry, Evidence, MoveState, MoveVerdict, Quarantine, RecordVersion, WarmTarget,
};
use heatherhinge_bundle::BundleVersion;
use heatherhinge_claims::{ClaimResponse, Outcome, SettleResponse, Settlement, StoredResponse};
use heatherhinge_types::{Digest, Name, StartId};
use serde::Serialize;
use std::io;

/// Size of the stored response body in a settlement, in bytes.
const RESPONSE_BODY_BYTES: usize = 400;

/// Returns the encoded bytes of each message and of each part of a record.
///
/// # Errors
///
/// Returns the encoder's error.
pub(crate) fn measure() -> io::Result<Vec<Part>> {
    Ok(vec![
        part("record without announcements", &synthetic::record(1))?,
        part("digest entry of one host", &digest_entry())?,
        part("warm announcement of one target", &warm_target())?,
        part("move evidence of one route and version", &evidence())?,
        part("verdict on one move", &verdict())?,
        part("quarantine of one digest", &quarantine())?,
        Part {
            name: "claim and settlement, four framed messages",
            bytes: claim_bytes()? as f64,
        },
    ])
}

fn part<T: Serialize>(name: &'static str, value: &T) -> io::Result<Part> {
    let bytes = framed_bytes(value)? - CALL_BYTES;
    Ok(Part {
        name,
        bytes: bytes as f64,
    })
}

fn digest_entry() -> DigestEntry {
    DigestEntry {
        host: synthetic::host_name(1),
        version: RecordVersion {
            incarnation: synthetic::START_WALL_MS.0,
            sequence: 5_000,
        },
        beat: 70_000,
    }
}

fn warm_target() -> WarmTarget {
    WarmTarget {
        target: Name::new("10.2.12.117:8080"),
        start_id: StartId(0x9E37_79B9_7F4A_7C15),
        zone_since: BundleVersion(0),
    }
}

fn evidence() -> Evidence {
    Evidence {
        move_id: Name::new("service-007-42"),
        route: Name::new("change"),
        is_new: true,
        good: 100_000,
        failed: 1_000,
        slow: 5_000,
    }
}

fn verdict() -> MoveVerdict {
    MoveVerdict {
        service: Name::new("service-007"),
        move_id: Name::new("service-007-42"),
        state: MoveState::Raising,
        share_permille: 500,
        step: 4,
    }
}

fn quarantine() -> Quarantine {
    Quarantine {
        digest: Digest(u128::MAX),
        until_wall_ms: synthetic::START_WALL_MS,
    }
}

/// Returns the total bytes of a claim, its grant, its settlement with a stored response, and the
/// response to the settlement.
fn claim_bytes() -> io::Result<u64> {
    let request = claim_request(1);
    let granted = ClaimResponse::Granted {
        not_after_wall_ms: synthetic::START_WALL_MS,
    };
    let settlement = Settlement {
        key: request.key,
        digest: request.digest,
        sender: request.sender.clone(),
        attempt: request.attempt,
        outcome: Outcome::Completed(Some(StoredResponse {
            status: 201,
            headers: vec![("content-type".to_owned(), b"application/json".to_vec())],
            body: vec![0; RESPONSE_BODY_BYTES],
        })),
    };
    Ok(framed_bytes(&request)?
        + framed_bytes(&granted)?
        + framed_bytes(&settlement)?
        + framed_bytes(&SettleResponse::Settled)?)
}
