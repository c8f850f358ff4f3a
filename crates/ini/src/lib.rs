//! Parses INI documents into typed values and reports every problem with its line.
//!
//! Bundles and settings files are INI text that operators may edit under time pressure, so all
//! mistakes are reported at once, with file and line. [`Document::parse`] splits a text into
//! [`Section`]s; a section returns typed values and collects a [`Problem`] for each invalid one.
//! No problem stops the check. The tables of fields ([`Field`]) of bundles and settings are also
//! compared with the pages in `docs/`.
//!
//! ```
//! use heatherhinge_ini::Document;
//! use heatherhinge_types::Name;
//!
//! let document = Document::parse(&Name::from("a.ini"), "[limits]\nslots = many\n");
//! let (mut sections, mut problems) = document.into_parts();
//! assert_eq!(sections[0].take_u64("slots", 1..=64), None);
//! problems.extend(sections.remove(0).finish());
//! assert_eq!(problems[0].to_string(), "a.ini:2: slots: 'many' is not a whole number");
//! ```

mod document;
mod field;
mod problem;
mod section;

pub use document::Document;
pub use field::{Field, FieldKind};
pub use problem::Problem;
pub use section::Section;
