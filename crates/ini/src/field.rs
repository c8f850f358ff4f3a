//! What a field may hold; the source of the tables in `docs/`.

use crate::Section;
use std::fmt;

/// What the value of a field must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FieldKind {
    /// A whole number within a range.
    Number {
        /// The smallest value.
        min: u64,
        /// The largest value.
        max: u64,
    },
    /// A name.
    Name,
    /// Names separated by commas.
    Names,
    /// One of several words.
    Choice(&'static [&'static str]),
    /// An IP address with a port.
    Addr,
    /// IP addresses with ports, separated by commas.
    Addrs,
    /// A time in RFC 3339 and UTC.
    Time,
    /// Free text, which the description narrows.
    Text,
}

impl fmt::Display for FieldKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Number { min, max } => write!(f, "{min} to {max}"),
            Self::Name => f.write_str("name"),
            Self::Names => f.write_str("names"),
            Self::Choice(words) => f.write_str(&words.join(", ")),
            Self::Addr => f.write_str("address"),
            Self::Addrs => f.write_str("addresses"),
            Self::Time => f.write_str("time"),
            Self::Text => f.write_str("text"),
        }
    }
}

/// One field of a section.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// Header of the section, without brackets; names that vary are in capitals.
    pub section: &'static str,
    /// Name of the field.
    pub name: &'static str,
    /// What the value must be.
    pub kind: FieldKind,
    /// The value if the field is absent, as operators would write it; `None` if the field must be
    /// given, and `Some("")` if it may be left out and has no value then.
    pub default: Option<&'static str>,
    /// What the field is for, as one sentence.
    pub text: &'static str,
}

impl Field {
    /// Returns the row of the field in a page of `docs/`.
    #[must_use]
    pub fn row(&self) -> String {
        let default = match self.default {
            None => "required",
            Some("") => "none",
            Some(value) => value,
        };
        format!(
            "| `[{}]` | `{}` | {} | {} | {} |",
            self.section, self.name, self.kind, default, self.text
        )
    }

    /// Reads the field as a number within its range, or takes its default.
    ///
    /// The smallest allowed value stands in after a problem, so that the check can go on.
    pub fn take_number(&self, section: &mut Section) -> u64 {
        let (min, max) = match self.kind {
            FieldKind::Number { min, max } => (min, max),
            _ => (0, u64::MAX),
        };
        match self.default {
            None => section.take_u64(self.name, min..=max).unwrap_or(min),
            Some(text) => {
                let default = text.parse().unwrap_or(min);
                section.take_or(self.name, default, |section, name| {
                    section.take_u64(name, min..=max)
                })
            }
        }
    }

    /// Reads the field as a number that fits 32 bits; the range must say so.
    pub fn take_number_u32(&self, section: &mut Section) -> u32 {
        u32::try_from(self.take_number(section)).unwrap_or(u32::MAX)
    }
}
