//! Defines the numbered result codes; the table for operators is `docs/result-codes.md`.

use http::StatusCode;
use std::fmt;

/// Whether a refused request ran. `No` is a guarantee.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ran {
    /// The request did not run and will not run later.
    No,
    /// The request may have run, or an earlier attempt with the same key may have.
    Unknown,
    /// The request ran.
    Yes,
}

impl Ran {
    /// Returns the value of the `heatherhinge-ran` header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
            Self::Yes => "yes",
        }
    }
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:ident, $ran:ident, $text:literal;)*) => {
        /// Result of a request, a bundle, a settings file or a message, with a fixed number.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Code {
            $(#[doc = $text] $(#[$doc])* $name = $number,)*
        }

        impl Code {
            /// All codes in the order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the HTTP status that carries the code.
            #[must_use]
            pub const fn status(self) -> StatusCode {
                match self { $(Self::$name => StatusCode::$status,)* }
            }

            /// Returns whether the refused request ran.
            #[must_use]
            pub const fn ran(self) -> Ran {
                match self { $(Self::$name => Ran::$ran,)* }
            }

            /// Returns a sentence that describes the result.
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// Returns the code with this number, or `None` for an unassigned one.
            #[must_use]
            pub const fn from_number(number: u16) -> Option<Self> {
                match number { $($number => Some(Self::$name),)* _ => None }
            }
        }
    };
}

codes! {
    UnknownService = 1001, NOT_FOUND, No, "No service of the bundle in force has this name.";
    UnknownRoute = 1002, NOT_FOUND, No, "The service has no route for this method and path.";
    BadDeadline = 1003, BAD_REQUEST, No, "The deadline header is not a number of milliseconds.";
    BodyTooLarge = 1004, PAYLOAD_TOO_LARGE, No, "The request body is larger than the route allows.";
    SlowRequestBody = 1005, REQUEST_TIMEOUT, No, "The request body did not arrive in time.";
    BadRequestHead = 1006, BAD_REQUEST, No, "The request head is malformed or its lengths conflict.";
    HeadTooLarge = 1007, REQUEST_HEADER_FIELDS_TOO_LARGE, No, "The request head is larger than allowed.";
    BrokenRequestBody = 1008, BAD_REQUEST, No, "The request body ended before its stated length.";
    RequestBodyCut = 1009, BAD_REQUEST, Unknown, "The request body broke off while a target was reading it.";
    BadKey = 1101, BAD_REQUEST, No, "The idempotency key is not a UUID of version 7.";
    KeyFromFuture = 1102, BAD_REQUEST, Unknown, "The idempotency key was issued in the future by this host's clock.";
    KeyTooOld = 1103, CONFLICT, Unknown, "The idempotency key is older than claims are kept.";
    KeyBeforeTenure = 1104, CONFLICT, Unknown, "The idempotency key was issued before the owner of its partition took over.";
    KeyRunning = 1105, CONFLICT, Unknown, "A request with this idempotency key is running or its outcome is unknown.";
    KeyReused = 1106, UNPROCESSABLE_ENTITY, Unknown, "The idempotency key was used with another request.";
    KeyCompleted = 1107, CONFLICT, Yes, "The request with this idempotency key ran; its answer was not kept.";
    OwnerUnreachable = 1108, SERVICE_UNAVAILABLE, Unknown, "The owner of the key's partition cannot be reached.";
    NoOwner = 1109, SERVICE_UNAVAILABLE, Unknown, "No host owns the key's partition at the moment.";
    LeaseEnded = 1110, SERVICE_UNAVAILABLE, No, "The lease of the key's owner ended before the request was sent.";
    ClaimsFull = 1111, SERVICE_UNAVAILABLE, No, "The owner cannot keep more claims.";
    DeadlineTooShort = 1201, SERVICE_UNAVAILABLE, No, "The deadline cannot be met by the targets that have room.";
    QueueFull = 1202, SERVICE_UNAVAILABLE, No, "Too many requests of the same or higher urgency are waiting.";
    NoTarget = 1203, SERVICE_UNAVAILABLE, No, "No target of the service may take new work.";
    TargetShed = 1301, SERVICE_UNAVAILABLE, No, "The target shed the request before starting it.";
    TargetExpired = 1302, GATEWAY_TIMEOUT, No, "The target let the request expire before starting it.";
    TargetUnreachable = 1303, BAD_GATEWAY, No, "No connection to a target could be opened.";
    TargetBroke = 1304, BAD_GATEWAY, Unknown, "The connection to the target broke before its answer was whole.";
    DeadlinePassed = 1305, GATEWAY_TIMEOUT, Unknown, "The deadline passed while a target had the request.";
    BadAnswer = 1306, BAD_GATEWAY, Unknown, "The target's answer is malformed.";
    UnconfirmedRefusal = 1307, BAD_GATEWAY, Unknown, "The target refused the request without stating that it did not run.";
    Quarantined = 1409, CONFLICT, Unknown, "Requests like this one crashed several targets and are held back.";
    HeldBack = 1410, SERVICE_UNAVAILABLE, No, "Requests like this one crash targets; this one was not sent.";
    NotFresh = 1502, SERVICE_UNAVAILABLE, No, "This host cannot tell whether its bundle is the newest.";
    NoBundle = 1503, SERVICE_UNAVAILABLE, No, "This host has no bundle yet.";
    Leaving = 1504, SERVICE_UNAVAILABLE, No, "This host is leaving.";
    BundleMalformed = 2101, BAD_REQUEST, No, "The bundle does not pass its check.";
    BundleConflict = 2102, CONFLICT, No, "Another bundle was accepted first.";
    BundleBadSignature = 2103, FORBIDDEN, No, "The signature does not match the bundle.";
    BundleUnknownKey = 2104, FORBIDDEN, No, "The signing key is not trusted.";
    BundleRevokedKey = 2105, FORBIDDEN, No, "The signing key is revoked.";
    BundleBadEnvelope = 2106, BAD_REQUEST, No, "The bundle envelope cannot be read.";
    BundleOutcomeUnknown = 2107, GATEWAY_TIMEOUT, Unknown, "The answer to the write was lost; ask for the status.";
    BundleVersion = 2108, CONFLICT, No, "The bundle's version is not the one after the version in force.";
    SettingsMalformed = 2201, BAD_REQUEST, No, "The settings file does not pass its check.";
    StoreUnavailable = 2301, SERVICE_UNAVAILABLE, Unknown, "The platform's store cannot be reached.";
    StoreConflict = 2302, CONFLICT, No, "The condition of a write did not hold.";
    StoreMalformed = 2303, BAD_GATEWAY, Unknown, "The platform's answer cannot be read.";
    StoreOutcomeUnknown = 2304, GATEWAY_TIMEOUT, Unknown, "The answer to a write was lost; the write may have taken effect.";
    StoreEpochInvalid = 2305, BAD_GATEWAY, Unknown, "The store's epoch is missing, cannot be read or goes back.";
    StoreEpochChanged = 2306, BAD_GATEWAY, Unknown, "The store returned from an older copy during a read.";
    PeerMalformed = 2401, BAD_REQUEST, No, "A message from another host cannot be read.";
    PeerUnavailable = 2402, SERVICE_UNAVAILABLE, Unknown, "Another host cannot be reached.";
    RecordNotFound = 2501, NOT_FOUND, No, "No record of this request or move was found.";
}

impl Code {
    /// Returns the number of the code.
    #[must_use]
    pub const fn number(self) -> u16 {
        self as u16
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.number(), self.text())
    }
}

impl std::error::Error for Code {}
