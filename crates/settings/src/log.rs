//! Format and level of logging.

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable lines.
    Text,
    /// One JSON object per line.
    Json,
}

impl LogFormat {
    /// The values in a settings file with their meanings.
    pub const WORDS: &[(&str, Self)] = &[("text", Self::Text), ("json", Self::Json)];
}

/// The least severe level that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogLevel {
    /// Faults that need the attention of an operator.
    Error,
    /// Faults that the system handles without an operator.
    Warn,
    /// Changes of state.
    Info,
    /// Decisions.
    Debug,
    /// Every message.
    Trace,
}

impl LogLevel {
    /// The values in a settings file with their meanings.
    pub const WORDS: &[(&str, Self)] = &[
        ("error", Self::Error),
        ("warn", Self::Warn),
        ("info", Self::Info),
        ("debug", Self::Debug),
        ("trace", Self::Trace),
    ];

    /// Returns the name of the level, which is also a filter directive of `tracing`.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        }
    }
}
