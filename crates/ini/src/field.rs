//! Describes the fields of a section; the tables in `docs/` are compared with these descriptions.

use crate::Section;
use std::fmt;
use std::ops::RangeInclusive;

/// Type of a field's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FieldKind {
    /// A whole number within a range.
    Number {
        /// The smallest value.
        min: u64,
        /// The largest value.
        max: u64,
    },
    /// A name, as read by [`Section::take_name`].
    Name,
    /// Names separated by commas.
    Names,
    /// One of the listed words.
    Choice(&'static [&'static str]),
    /// An IP address with a port.
    Addr,
    /// IP addresses with ports, separated by commas.
    Addrs,
    /// A time in RFC 3339 and UTC.
    Time,
    /// Free text; [`Field::text`] describes what is allowed.
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

/// Description of one field of a section.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// Header of the section, without brackets; variable parts are in capitals.
    pub section: &'static str,
    /// Name of the field.
    pub name: &'static str,
    /// Type of the value.
    pub kind: FieldKind,
    /// The default value as written in a file; `None` if the field is required, and `Some("")` if
    /// it is optional and has no default.
    pub default: Option<&'static str>,
    /// Purpose of the field, as one sentence.
    pub text: &'static str,
}

impl Field {
    /// Returns the row of the field in the table of a page in `docs/`.
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

    /// Returns the range of a number; other kinds have the full range of `u64`.
    #[must_use]
    pub const fn range(&self) -> RangeInclusive<u64> {
        match self.kind {
            FieldKind::Number { min, max } => min..=max,
            _ => 0..=u64::MAX,
        }
    }

    /// Returns the default of a number, or the smallest allowed value if it has none.
    #[must_use]
    pub fn default_number(&self) -> u64 {
        let text = self.default.unwrap_or_default();
        text.parse().unwrap_or(*self.range().start())
    }

    /// Reads the field as a number within its range, or returns its default if it is absent.
    ///
    /// After a problem, returns the default or the smallest allowed value, so that the check can
    /// continue.
    pub fn take_number(&self, section: &mut Section) -> u64 {
        let take = |section: &mut Section, name: &str| section.take_u64(name, self.range());
        if self.default.is_some() {
            section.take_or(self.name, self.default_number(), take)
        } else {
            take(section, self.name).unwrap_or_else(|| self.default_number())
        }
    }

    /// Reads the field like [`Field::take_number`]; its range must fit into 32 bits.
    pub fn take_number_u32(&self, section: &mut Section) -> u32 {
        u32::try_from(self.take_number(section)).unwrap_or(u32::MAX)
    }
}
