//! How a process logs.

/// Form of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines for people.
    Text,
    /// One JSON object for each line.
    Json,
}

impl LogFormat {
    /// The words of the settings file.
    pub const WORDS: &[(&str, Self)] = &[("text", Self::Text), ("json", Self::Json)];
}

/// The least severe level that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogLevel {
    /// Faults that need an operator.
    Error,
    /// Faults that the system works around.
    Warn,
    /// Changes of state.
    Info,
    /// Decisions.
    Debug,
    /// Every message.
    Trace,
}

impl LogLevel {
    /// The words of the settings file.
    pub const WORDS: &[(&str, Self)] = &[
        ("error", Self::Error),
        ("warn", Self::Warn),
        ("info", Self::Info),
        ("debug", Self::Debug),
        ("trace", Self::Trace),
    ];

    /// Returns the word for the level, which is also a filter directive of `tracing`.
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
