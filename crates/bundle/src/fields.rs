//! Table of the fields of a bundle; a test compares `docs/bundle.md` with it.

use heatherhinge_ini::{Field, FieldKind};

const ZONE_STATES: &[&str] = &["in", "out"];
const ROUTE_CLASSES: &[&str] = &["interactive", "bulk"];
const YES_NO: &[&str] = &["yes", "no"];

const fn field(
    section: &'static str,
    name: &'static str,
    kind: FieldKind,
    default: Option<&'static str>,
    text: &'static str,
) -> Field {
    Field {
        section,
        name,
        kind,
        default,
        text,
    }
}

const fn number(min: u64, max: u64) -> FieldKind {
    FieldKind::Number { min, max }
}

macro_rules! fields {
    ($($id:ident = $section:literal, $name:literal, $kind:expr, $default:expr, $text:literal;)*) => {
        $(pub(crate) const $id: Field = field($section, $name, $kind, $default, $text);)*

        /// Every field of a bundle, in the order of `docs/bundle.md`.
        pub const FIELDS: &[Field] = &[$($id,)*];
    };
}

fields! {
    VERSION = "bundle", "version", number(1, 1_000_000_000_000), None,
        "Version; must be one above the version in force.";
    ZONE_STATE = "zone NAME", "state", FieldKind::Choice(ZONE_STATES), Some("in"),
        "Whether the availability zone takes new work.";
    SERVICE_ZONES = "service NAME", "zones", FieldKind::Names, None,
        "Availability zones whose targets serve the service; at least one must be in.";
    SERVICE_VERSION = "service NAME", "version", FieldKind::Name, None,
        "Version that takes the traffic outside a move.";
    SLOTS = "service NAME", "slots", number(1, 1_024), None,
        "Requests that one target runs at once.";
    CONNECTIONS = "service NAME", "connections", number(1, 100_000), Some("200"),
        "Connections that one target accepts, from all entry hosts.";
    WARM_MS = "service NAME", "warm_ms", number(0, 3_600_000), Some("30000"),
        "Uptime after which a target that started cold is warm, in milliseconds.";
    QUEUE_MS = "service NAME", "queue_ms", number(0, 60_000), Some("1000"),
        "Longest wait of a request for a target, in milliseconds.";
    QUEUE_LEN = "service NAME", "queue_len", number(0, 100_000), Some("1000"),
        "Most requests that wait on one entry host.";
    PREFIX = "route SERVICE NAME", "prefix", FieldKind::Text, None,
        "Path prefix behind the service segment, of whole segments, starting with a slash.";
    METHODS = "route SERVICE NAME", "methods", FieldKind::Names, Some(""),
        "Methods in upper case; every method if it is left out.";
    IDEMPOTENT = "route SERVICE NAME", "idempotent", FieldKind::Choice(YES_NO), Some(""),
        "Whether a second run does no harm; if it is left out, POST and PATCH count as no.";
    CLASS = "route SERVICE NAME", "class", FieldKind::Choice(ROUTE_CLASSES), Some("interactive"),
        "Class of work; bulk gets a bounded share of the slots.";
    URGENCY = "route SERVICE NAME", "urgency", number(0, 7), Some("3"),
        "Urgency of requests that state none; 0 is served first.";
    BODY_LIMIT_BYTES = "route SERVICE NAME", "body_limit_bytes", number(0, 1_073_741_824),
        Some("1048576"), "Largest request body, in bytes.";
    DEADLINE_MS = "route SERVICE NAME", "deadline_ms", number(1, 3_600_000), Some("10000"),
        "Deadline of requests that state none, in milliseconds.";
    MOVE_ID = "move SERVICE", "id", FieldKind::Name, None,
        "Name of the move, never used again for another one.";
    MOVE_FROM = "move SERVICE", "from", FieldKind::Name, None,
        "Version that traffic leaves; must be the version of the service.";
    MOVE_TO = "move SERVICE", "to", FieldKind::Name, None, "Version that traffic goes to.";
    MOVE_END = "move SERVICE", "end", FieldKind::Time, None,
        "Time by which the move must be done; each step takes at least 10 s.";
    CAP_PERMILLE = "move SERVICE", "cap_permille", number(1, 100), Some("10"),
        "Largest share of the new version while it is unproven, in thousandths.";
    MIN_SAMPLES = "move SERVICE", "min_samples", number(1, 1_000_000), Some("200"),
        "Answers of the new version needed before each step, over all entry hosts.";
    PROBES_PER_S = "budget", "probes_per_s", number(0, 5_000), Some("100"),
        "Active probes per second, over all entry hosts.";
    RETRY_PERMILLE = "budget", "retry_permille", number(0, 200), Some("100"),
        "Retries per thousand successes of a service.";
    LEASE_MS = "budget", "lease_ms", number(10_000, 600_000), Some("120000"),
        "Length of the lease of an entry host, in milliseconds.";
    REVOKED = "signing", "revoked", FieldKind::Names, Some(""),
        "Ids of signing keys that must no longer be accepted.";
}
