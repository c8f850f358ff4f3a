//! Measures the resident memory of the parts of one host.
//!
//! Each part is created in several copies that all stay alive, and the growth of the resident size
//! is divided by their number. A counting allocator would need unsafe code, which the workspace
//! forbids.

use crate::{Fleet, Size, synthetic};
use heatherhinge_blackboard::{Blackboard, WarmthTable};
use heatherhinge_claims::{
    ClaimLimits, ClaimRequest, ClaimTable, Outcome, Settlement, StoredResponse, Tenure,
};
use heatherhinge_controllers::{Controller, TargetController, TargetEvent};
use heatherhinge_records::{
    Record, RecordBasis, RecordEvent, RecordRing, Sampler, Subject, json_lines,
};
use heatherhinge_types::{Digest, IdempotencyKey, MonoNs, Name, Now, WallMs};
use serde::Serialize;
use std::sync::Arc;

/// Bytes of a page in `/proc/self/statm`.
const PAGE_BYTES: u64 = 4_096;
/// Records that a host keeps in memory; the default of `record_limit`.
const RECORDS: u64 = 32_768;
/// Claims in the measured table.
const CLAIMS: u64 = 200_000;

/// Size of one part.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Part {
    /// Name used in reports.
    pub name: &'static str,
    /// Resident bytes of one part, or encoded bytes of one message.
    pub bytes: f64,
}

fn resident_bytes() -> eyre::Result<u64> {
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split_whitespace().nth(1).unwrap_or_default();
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}

fn measure_growth<T>(
    name: &'static str,
    copies: u64,
    make: impl Fn(u64) -> eyre::Result<T>,
) -> eyre::Result<(Part, Vec<T>)> {
    let before = resident_bytes()?;
    let copies_made = (0..copies).map(make).collect::<eyre::Result<Vec<_>>>()?;
    let bytes = resident_bytes()?.saturating_sub(before) as f64 / copies as f64;
    Ok((Part { name, bytes }, copies_made))
}

/// Measures the memory of each part at one size, and the encoded size of single messages.
///
/// # Errors
///
/// Fails when `/proc/self/statm` cannot be read or the synthetic bundle is not valid.
pub fn measure(size: Size) -> eyre::Result<Vec<Part>> {
    let (claim, claims) = measure_growth(
        "claim, half of them with a stored answer of 400 bytes",
        1,
        |_| Ok(claim_table()),
    )?;
    let (ring, rings) = measure_growth("record in memory", 1, |_| Ok(record_ring()))?;
    let (bundle, bundles) = measure_growth("bundle", 20, |_| synthetic::bundle(size, 1))?;
    let (envelope, envelopes) =
        measure_growth("envelope", 20, |_| Ok(synthetic::envelope(size, 1)))?;
    let shared = Arc::new(synthetic::bundle(size, 1)?);
    let (routing, routings) = measure_growth("routing snapshot with list and cells", 10, |_| {
        Ok(routing(size, &shared))
    })?;
    let (fleet, fleets) = measure_growth("whole fleet", 1, |_| settled_fleet(size))?;
    let per_host = fleet.bytes / size.hosts as f64;
    // All parts stay alive until here, so that none is created in the freed memory of another.
    drop((claims, rings, bundles, envelopes, routings, fleets));
    let mut parts = vec![
        Part {
            bytes: claim.bytes / CLAIMS as f64,
            ..claim
        },
        Part {
            bytes: ring.bytes / RECORDS as f64,
            ..ring
        },
        bundle,
        envelope,
        routing,
        Part {
            name: "host table, membership and ownership of one host",
            bytes: per_host,
        },
        Part {
            name: "JSON line of a record",
            bytes: record_line_bytes()?,
        },
    ];
    parts.extend(crate::messages::measure()?);
    Ok(parts)
}

fn settled_fleet(size: Size) -> eyre::Result<Fleet> {
    // Few targets, so that the local controllers of host 0 add little to the memory of all hosts.
    let mut fleet = Fleet::new(Size {
        targets: 10,
        services: 10,
        ..size
    })?;
    fleet.run(30)?;
    Ok(fleet)
}

fn routing(
    size: Size,
    bundle: &Arc<heatherhinge_bundle::Bundle>,
) -> (Arc<Blackboard>, TargetController) {
    let (board, mut writers) = Blackboard::new(synthetic::host_name(0), synthetic::zone(0));
    writers.bundle.publish(Some(Arc::clone(bundle)));
    let warm = synthetic::warm_by_partition(size).into_values().flatten();
    let targets = warm
        .map(|warm| {
            let start_id = warm.start_id;
            (
                warm.target,
                heatherhinge_blackboard::Warmth::Warm { start_id },
            )
        })
        .collect();
    writers.warmth.publish(WarmthTable { targets });
    let mut controller = TargetController::new(writers.routing);
    let listed = synthetic::targets(size, 0);
    controller.step(&board, TargetEvent::Listed(listed), Now::default());
    (board, controller)
}

fn claim_table() -> ClaimTable {
    let mut table = ClaimTable::new(ClaimLimits {
        max_claims: 1_000_000,
        max_stored_bytes: usize::MAX,
    });
    let now = Now {
        mono_ns: MonoNs::from_ms(10_000),
        wall_ms: synthetic::START_WALL_MS,
    };
    let tenure = Tenure {
        lease_until_wall_ms: synthetic::START_WALL_MS.plus_ms(120_000),
        lease_until_ns: now.mono_ns.plus_ms(120_000),
        from_wall_ms: synthetic::START_WALL_MS.minus_ms(600_000),
        has_earlier_claims: true,
    };
    for number in 0..CLAIMS {
        let request = claim_request(number);
        table.claim(&request, &tenure, now);
        // Half of the claims are settled with a stored response, which is kept for resends.
        if number.is_multiple_of(2) {
            continue;
        }
        let response = StoredResponse {
            status: 201,
            headers: Vec::new(),
            body: vec![0; 400],
        };
        let settlement = Settlement {
            key: request.key,
            digest: request.digest,
            sender: request.sender,
            attempt: request.attempt,
            outcome: Outcome::Completed(Some(response)),
        };
        table.settle(settlement, now);
    }
    table
}

/// Returns a claim request with a key and a digest derived from `number`.
#[must_use]
pub fn claim_request(number: u64) -> ClaimRequest {
    let bytes = (u128::from(number).wrapping_mul(0x9E37_79B9_7F4A_7C15_F39C_0C17)).to_le_bytes();
    let mut random = [0; 10];
    random.copy_from_slice(&bytes[..10]);
    ClaimRequest {
        key: IdempotencyKey::new(synthetic::START_WALL_MS, random),
        digest: Digest(u128::from(number)),
        sender: synthetic::host_name(1),
        attempt: heatherhinge_claims::AttemptId {
            incarnation: synthetic::START_WALL_MS.0,
            sequence: number,
        },
    }
}

fn record(number: u64) -> Record {
    Record {
        at_wall_ms: WallMs(synthetic::START_WALL_MS.0 + number),
        host: synthetic::host_name(0),
        subject: Subject::Request(Name::from(format!("{number:032x}"))),
        basis: RecordBasis {
            bundle: 12_345,
            owners: 1_234,
            warmth: 12_345,
            moves: 12,
            zones: 3,
            quarantine: 4,
        },
        event: RecordEvent::Chosen {
            service: Name::new("service-007"),
            route: Name::new("change"),
            target: Name::new("10.2.12.117:8080"),
            zone: synthetic::zone(7),
            version: Name::new("v1"),
            attempt: 2,
            is_cold: false,
            own_in_flight: 3,
            reported_in_flight: 3,
            candidates: 17,
        },
    }
}

fn record_ring() -> RecordRing {
    let limit = usize::try_from(RECORDS).unwrap_or(usize::MAX);
    let mut ring = RecordRing::new(synthetic::host_name(0), Sampler::new(0), limit);
    (0..RECORDS).for_each(|number| ring.push(record(number)));
    ring
}

fn record_line_bytes() -> eyre::Result<f64> {
    Ok(json_lines::encode(&[record(1)])?.len() as f64)
}
