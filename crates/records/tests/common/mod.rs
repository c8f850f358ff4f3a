//! Constructors of records for the tests.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use heatherhinge_records::{Record, RecordBasis, RecordEvent, Subject};
use heatherhinge_types::{Name, WallMs};

/// 2027-01-31T06:00:00Z.
pub(crate) const START_WALL_MS: u64 = 1_801_375_200_000;

/// Returns a record at `at_ms` milliseconds after [`START_WALL_MS`].
pub(crate) fn record(at_ms: u64, host: &str, subject: Subject, event: RecordEvent) -> Record {
    Record {
        at_wall_ms: WallMs(START_WALL_MS + at_ms),
        host: Name::new(host),
        subject,
        basis: RecordBasis {
            bundle: 7,
            owners: 12,
            warmth: 30,
            moves: 2,
            zones: 1,
            quarantine: 4,
        },
        event,
    }
}

pub(crate) fn request(id: &str) -> Subject {
    Subject::Request(Name::new(id))
}

pub(crate) fn chosen(target: &str, attempt: u32) -> RecordEvent {
    RecordEvent::Chosen {
        service: "orders".into(),
        route: "book".into(),
        target: target.into(),
        zone: "north".into(),
        version: "v1".into(),
        attempt,
        is_cold: false,
        own_in_flight: 1,
        reported_in_flight: 3,
        candidates: 2,
    }
}

pub(crate) fn answered(status: u16, attempts: u32) -> RecordEvent {
    RecordEvent::Answered {
        status,
        attempts,
        total_us: 41_200,
        added_us: 810,
    }
}

pub(crate) fn waited(waited_ms: u64) -> RecordEvent {
    RecordEvent::Waited {
        service: "orders".into(),
        waited_ms,
        urgency: 0,
    }
}
