//! Table of the fields of a settings file; a test compares `docs/settings.md` with it.

use heatherhinge_ini::{Field, FieldKind};

macro_rules! fields {
    ($($id:ident = $section:literal, $name:literal, $kind:expr, $default:expr, $text:literal;)*) => {
        $(pub(crate) const $id: Field = Field {
            section: $section,
            name: $name,
            kind: $kind,
            default: $default,
            text: $text,
        };)*

        /// Every field of the settings of an entry host, in the order of `docs/settings.md`.
        pub const FIELDS: &[Field] = &[$($id,)*];
    };
}

fields! {
    HOST_NAME = "host", "name", FieldKind::Name, None,
        "Name of the host, unique in the fleet and kept across restarts.";
    HOST_ZONE = "host", "zone", FieldKind::Name, None, "Availability zone of the host.";
    CALLER_ADDR = "host", "caller_addr", FieldKind::Addr, None,
        "Address for callers and for the admin endpoints, as others reach it.";
    PEER_ADDR = "host", "peer_addr", FieldKind::Addr, None,
        "Address of the protocol between entry hosts, as others reach it.";
    TABLE_ADDR = "platform", "table_addr", FieldKind::Addr, None,
        "Address of the platform's table service.";
    OBJECT_ADDR = "platform", "object_addr", FieldKind::Addr, None,
        "Address of the platform's object store.";
    HOST_LIST_ADDR = "platform", "host_list_addr", FieldKind::Addr, None,
        "Address of the platform's list of hosts and targets.";
    SEEDS = "peers", "seeds", FieldKind::Addrs, Some(""),
        "Peer addresses to ask first; the host's own address may be among them.";
    KEY_PUBLIC = "key ID", "public", FieldKind::Text, None,
        "Public Ed25519 key that bundles may be signed with, as base64 of 32 bytes; the section's \
         name is the key id, and at least one key is needed.";
    LOG_FORMAT = "log", "format", FieldKind::Choice(&["text", "json"]), Some("text"),
        "Form of log lines.";
    LOG_LEVEL = "log", "level", FieldKind::Choice(&["error", "warn", "info", "debug", "trace"]),
        Some("info"), "The least severe level that is logged.";
    METRICS_ADDR = "metrics", "udp_addr", FieldKind::Addr, Some(""),
        "Address that StatsD metrics are sent to over UDP; without it, none are sent.";
    THREADS = "runtime", "threads", FieldKind::Number { min: 1, max: 64 }, Some("4"),
        "Threads that serve requests.";
    DRAIN_LIMIT_MS = "runtime", "drain_limit_ms",
        FieldKind::Number { min: 1_000, max: 86_400_000 }, Some(""),
        "Longest time that a planned stop waits for requests in flight, in milliseconds; without \
         it, the stop waits until they end.";
    RECORD_LIMIT = "runtime", "record_limit", FieldKind::Number { min: 1_024, max: 1_048_576 },
        Some("32768"), "Most decision records that the host keeps in memory.";
}
