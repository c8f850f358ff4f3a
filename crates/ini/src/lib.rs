//! INI documents with line numbers.
//!
//! Bundles and settings files are INI text that people edit under pressure, so a reader must see
//! every mistake at once and with its place. [`Document::parse`] splits a text into [`Section`]s;
//! a section hands out typed values and collects a [`Problem`] for each one that does not pass.
//! No problem stops the check. The tables of fields ([`Field`]) that bundles and settings are made
//! of are also what the pages in `docs/` are checked against.
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
