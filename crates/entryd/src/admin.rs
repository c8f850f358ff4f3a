//! Serves the endpoints for operators and for callers that look up host addresses;
//! `docs/design.md`, section 20.

use crate::bundle_store::{BundleStore, VerifiedBundle};
use crate::event::{EventSender, HostEvent};
use crate::host_record::{overhead_counts, phase_name};
use crate::move_store::MoveStore;
use crate::record_buffer::RecordBuffer;
use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use heatherhinge_blackboard::{Blackboard, ZonePhase};
use heatherhinge_bundle::Rejection;
use heatherhinge_controllers::{AddressBook, AddressResponse, BundleEvent};
use heatherhinge_platform::PlatformError;
use heatherhinge_proxy::Clock;
use heatherhinge_records::admin::{
    Accepted, BundleAccepted, ErrorBody, ExplainResponse, HostSummary, MoveReport, MoveSummary,
    ReportResponse, StatusResponse, ZoneSummary,
};
use heatherhinge_records::{Record, RecordBasis, RecordEvent, RecordSink, Subject};
use heatherhinge_types::{Code, Name, header};
use serde::Deserialize;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Largest request body: an envelope of 350 KB of text with its JSON escapes.
const ENVELOPE_BODY_BYTES: usize = 1_024 * 1_024;

/// State that the endpoints share.
#[derive(Debug)]
pub(crate) struct Admin<S> {
    pub(crate) board: Arc<Blackboard>,
    pub(crate) clock: Clock,
    pub(crate) bundles: Arc<BundleStore>,
    pub(crate) moves: Arc<MoveStore>,
    pub(crate) record_buffer: Arc<RecordBuffer>,
    pub(crate) records: S,
    pub(crate) events: EventSender,
    pub(crate) seed: AtomicU64,
}

/// An error response with the problems that caused it.
#[derive(Debug)]
struct AdminError {
    code: Code,
    problems: Vec<String>,
}

impl From<Code> for AdminError {
    fn from(code: Code) -> Self {
        Self {
            code,
            problems: Vec::new(),
        }
    }
}

impl From<Rejection> for AdminError {
    fn from(rejection: Rejection) -> Self {
        let problems = rejection.problems.iter().map(ToString::to_string).collect();
        Self {
            code: rejection.code,
            problems,
        }
    }
}

impl IntoResponse for AdminError {
    fn into_response(self) -> Response {
        let body = ErrorBody {
            problems: self.problems,
            ..ErrorBody::new(self.code, None)
        };
        let headers = [(header::CODE, self.code.number().to_string())];
        (self.code.status(), headers, Json(body)).into_response()
    }
}

#[derive(Debug, Deserialize)]
struct AddressQuery {
    zone: Option<String>,
}

impl<S: RecordSink> Admin<S> {
    /// Builds the router of all endpoints.
    pub(crate) fn router(self) -> Router {
        Router::new()
            .route("/heatherhinge/v1/addresses", get(addresses::<S>))
            .route("/heatherhinge/v1/status", get(status::<S>))
            .route("/heatherhinge/v1/report", get(report::<S>))
            .route(
                "/heatherhinge/v1/bundle",
                get(bundle::<S>).post(submit::<S>),
            )
            .route(
                "/heatherhinge/v1/explain/request/{id}",
                get(explain_request::<S>),
            )
            .route("/heatherhinge/v1/explain/move/{id}", get(explain_move::<S>))
            .layer(DefaultBodyLimit::max(ENVELOPE_BODY_BYTES))
            .with_state(Arc::new(self))
    }

    fn record(&self, event: RecordEvent) {
        let bundle = self.bundles.newest_version();
        self.records.record(Record {
            at_wall_ms: self.clock.now().wall_ms,
            host: self.board.host.clone(),
            subject: Subject::Bundle,
            basis: RecordBasis {
                bundle,
                ..RecordBasis::default()
            },
            event,
        });
    }

    /// Checks a submitted envelope against the accepted bundle in the store.
    async fn check(&self, json: &[u8]) -> Result<VerifiedBundle, AdminError> {
        self.sync_with_store().await?;
        let now_wall_ms = self.clock.now().wall_ms;
        let verified = self.bundles.check_submitted(json, now_wall_ms)?;
        let accepted = self.bundles.newest_version();
        if verified.bundle.version.0 != accepted + 1 {
            return Err(Code::BundleVersion.into());
        }
        Ok(verified)
    }

    /// Fetches the accepted bundle from the store if it is newer, so that a host that lags does not
    /// reject the next bundle.
    async fn sync_with_store(&self) -> Result<(), AdminError> {
        let row = self
            .bundles
            .read_current()
            .await
            .map_err(|error| error.code())?;
        let Some(row) = row else { return Ok(()) };
        if self
            .bundles
            .newest()
            .is_some_and(|newest| newest.bundle.version >= row.version)
        {
            return Ok(());
        }
        let json = self
            .bundles
            .read_envelope(row.version.0)
            .await
            .map_err(|e| e.code())?;
        self.bundles.verify_accepted(&json)?;
        Ok(())
    }

    async fn accept(&self, json: &[u8]) -> Result<BundleAccepted, AdminError> {
        let verified = Arc::new(self.check(json).await?);
        let version = verified.bundle.version.0;
        let nonce = format!("{}-{}", self.board.host, verified.digest);
        match self.bundles.accept(&verified, nonce).await {
            Ok(()) => {}
            Err(PlatformError::Conflict) => return Err(Code::BundleConflict.into()),
            Err(PlatformError::OutcomeUnknown) => return Err(Code::BundleOutcomeUnknown.into()),
            Err(error) => return Err(error.code().into()),
        }
        let (digest, key_id) = (verified.digest, verified.envelope.key_id.clone());
        self.record(RecordEvent::BundleAccepted {
            version,
            digest,
            key_id,
        });
        let bundle = Arc::clone(&verified.bundle);
        let event = BundleEvent::Fetched {
            bundle,
            digest: verified.digest,
        };
        self.events.send(HostEvent::Bundle(event));
        Ok(BundleAccepted {
            outcome: Accepted::Accepted,
            version,
        })
    }

    /// Returns the acceptance if the envelope is that of this host's newest bundle, so that a
    /// retried submission, or one pushed to every host, is not reported as a conflict.
    fn already_accepted(&self, json: &[u8]) -> Option<BundleAccepted> {
        let envelope = heatherhinge_bundle::Envelope::from_json(json).ok()?;
        let newest = self.bundles.newest()?;
        (newest.digest == envelope.digest()).then(|| BundleAccepted {
            outcome: Accepted::Accepted,
            version: newest.bundle.version.0,
        })
    }
}

async fn addresses<S: RecordSink>(
    State(admin): State<Arc<Admin<S>>>,
    Query(query): Query<AddressQuery>,
) -> Json<AddressResponse> {
    let (hosts, zones, owners) = (
        admin.board.hosts.read(),
        admin.board.zones.read(),
        admin.board.owners.read(),
    );
    let book = AddressBook {
        hosts: &hosts.value,
        zones: &zones.value,
        owners: &owners.value,
    };
    let zone = query.zone.as_deref().map(Name::from);
    let seed = admin.seed.fetch_add(1, Ordering::Relaxed);
    Json(book.answer(zone.as_ref(), seed, admin.clock.now().wall_ms))
}

async fn status<S: RecordSink>(State(admin): State<Arc<Admin<S>>>) -> Json<StatusResponse> {
    let board = &admin.board;
    let now = admin.clock.now();
    let (hosts, zones, moves) = (board.hosts.read(), board.zones.read(), board.moves.read());
    let newest = admin.bundles.newest();
    let in_force = board.bundle_version().0;
    let digest = newest.filter(|newest| newest.bundle.version.0 == in_force);
    Json(StatusResponse {
        host: board.host.clone(),
        zone: board.zone.clone(),
        phase: phase_name(board.counters.status.phase()),
        is_fresh: board.counters.status.is_fresh(now.mono_ns),
        bundle_version: in_force,
        bundle_digest: Name::from(digest.map_or(String::new(), |d| d.digest.to_string())),
        hosts: hosts
            .value
            .hosts
            .values()
            .map(|entry| HostSummary {
                host: entry.record.host.clone(),
                zone: entry.record.zone.clone(),
                caller_addr: Some(entry.record.caller_addr),
                live: entry.is_live,
                bundle_version: entry.record.bundle_version.0,
                takes_callers: entry.record.takes_callers,
            })
            .collect(),
        moves: moves
            .value
            .services
            .iter()
            .map(|(service, entry)| MoveSummary {
                service: service.clone(),
                id: entry.id.clone(),
                state: entry.state,
                share_permille: entry.share_permille,
            })
            .collect(),
        zones: zones
            .value
            .zones
            .iter()
            .map(|(zone, entry)| ZoneSummary {
                zone: zone.clone(),
                phase: zone_phase_name(entry.phase),
            })
            .collect(),
        partitions_owned: u32::try_from(board.owners.read().value.count(&board.host))
            .unwrap_or(u32::MAX),
        spend: overhead_counts(board),
    })
}

async fn report<S: RecordSink>(
    State(admin): State<Arc<Admin<S>>>,
) -> Result<Json<ReportResponse>, AdminError> {
    let reports = admin.moves.reports().await.map_err(|error| error.code())?;
    let moves = reports.into_iter().map(|report| MoveReport {
        service: report.service,
        move_id: report.move_id,
        state: report.state,
        at_wall_ms: report.at_wall_ms,
        evidence: report.reason.to_string(),
    });
    Ok(Json(ReportResponse {
        moves: moves.collect(),
    }))
}

async fn bundle<S: RecordSink>(State(admin): State<Arc<Admin<S>>>) -> Result<Response, AdminError> {
    let newest = admin.bundles.newest().ok_or(Code::NoBundle)?;
    let json = newest.envelope.to_json()?;
    Ok((StatusCode::OK, [("content-type", "application/json")], json).into_response())
}

async fn submit<S: RecordSink>(
    State(admin): State<Arc<Admin<S>>>,
    body: Bytes,
) -> Result<Json<BundleAccepted>, AdminError> {
    if let Some(accepted) = admin.already_accepted(&body) {
        return Ok(Json(accepted));
    }
    match admin.accept(&body).await {
        Ok(accepted) => Ok(Json(accepted)),
        // The submission may be a push of a bundle that another host has just accepted.
        Err(error) if may_have_lost_race(error.code) => match admin.already_accepted(&body) {
            Some(accepted) => Ok(Json(accepted)),
            None => Err(admin.record_rejection(&body, error)),
        },
        Err(error) => Err(admin.record_rejection(&body, error)),
    }
}

impl<S: RecordSink> Admin<S> {
    fn record_rejection(&self, json: &[u8], error: AdminError) -> AdminError {
        let key_id = heatherhinge_bundle::Envelope::from_json(json).map(|e| e.key_id);
        let key_id = key_id.unwrap_or_else(|_| Name::from("unknown"));
        tracing::warn!(
            "bundle: rejected a submission signed with key {key_id}: {}",
            error.code
        );
        self.record(RecordEvent::BundleRefused {
            code: error.code.number(),
            key_id,
        });
        error
    }
}

async fn explain_request<S: RecordSink>(
    State(admin): State<Arc<Admin<S>>>,
    Path(id): Path<String>,
) -> Json<ExplainResponse> {
    Json(ExplainResponse {
        records: admin.record_buffer.find(&Subject::Request(Name::from(id))),
    })
}

async fn explain_move<S: RecordSink>(
    State(admin): State<Arc<Admin<S>>>,
    Path(id): Path<String>,
) -> Json<ExplainResponse> {
    Json(ExplainResponse {
        records: admin.record_buffer.find(&Subject::Move(Name::from(id))),
    })
}

/// Returns whether a submission may have failed because another host accepted the same bundle.
fn may_have_lost_race(code: Code) -> bool {
    matches!(code, Code::BundleConflict | Code::BundleVersion)
}

fn zone_phase_name(phase: ZonePhase) -> Name {
    Name::from(match phase {
        ZonePhase::In => "in",
        ZonePhase::Out => "out",
        ZonePhase::Returning => "returning",
    })
}
