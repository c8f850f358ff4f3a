//! Splits an INI text into sections.

use crate::{Problem, Section};
use heatherhinge_types::Name;
use ini_core::{Item, Parser};
use std::collections::BTreeMap;

/// The sections of a text and the problems of its lines.
#[derive(Clone, Debug)]
pub struct Document {
    file: Name,
    sections: Vec<Section>,
    problems: Vec<Problem>,
}

impl Document {
    /// Splits a text into sections. `file` is its name in problems.
    ///
    /// Problems are lines that are neither a section, a field, a comment (`;`) nor blank, fields
    /// before the first section, and repeated fields and sections, of which the first is kept.
    #[must_use]
    pub fn parse(file: &Name, text: &str) -> Self {
        let mut document = Self {
            file: file.clone(),
            sections: Vec::new(),
            problems: Vec::new(),
        };
        let mut line = 0;
        // The parser returns one item per line, and `SectionEnd` between sections.
        for item in Parser::new(text).auto_trim(true) {
            if item != Item::SectionEnd {
                line += 1;
                document.add_item(line, &item);
            }
        }
        document.drop_repeated_sections();
        document
    }

    /// Returns the sections in the order of the text, and the problems of the lines.
    #[must_use]
    pub fn into_parts(self) -> (Vec<Section>, Vec<Problem>) {
        (self.sections, self.problems)
    }

    fn add_item(&mut self, line: u32, item: &Item<'_>) {
        match *item {
            Item::Section(header) => self.add_section(line, header),
            Item::Property(field, Some(value)) => self.add_field(line, field, value),
            Item::Property(text, None) | Item::Error(text) => {
                let message = format!(
                    "'{text}' is neither a section in brackets, a 'field = value' nor a comment \
                     that starts with ';'"
                );
                self.report(line, "", message);
            }
            Item::Comment(_) | Item::Blank | Item::SectionEnd => {}
        }
    }

    fn add_section(&mut self, line: u32, header: &str) {
        let words: Vec<Name> = header.split_whitespace().map(Name::from).collect();
        if words.is_empty() {
            self.report(line, "[]", "the section has no name".to_owned());
        }
        // A section without a name is kept, so that its fields are not added to the previous one.
        self.sections
            .push(Section::new(self.file.clone(), line, words));
    }

    fn add_field(&mut self, line: u32, field: &str, value: &str) {
        if field.is_empty() {
            self.report(line, "", "the line has a value but no field".to_owned());
            return;
        }
        match self.sections.last_mut() {
            None => self.report(line, field, "the field is before any section".to_owned()),
            Some(section) => section.insert(line, field, value),
        }
    }

    fn drop_repeated_sections(&mut self) {
        let mut first_lines: BTreeMap<Vec<Name>, u32> = BTreeMap::new();
        let mut kept = Vec::with_capacity(self.sections.len());
        for section in std::mem::take(&mut self.sections) {
            let words = section.words().to_vec();
            if words.is_empty() {
                continue;
            }
            if let Some(first) = first_lines.get(&words) {
                let message = format!("the section was already given at line {first}");
                self.report(section.line(), &section.title(), message);
            } else {
                first_lines.insert(words, section.line());
                kept.push(section);
            }
        }
        self.sections = kept;
    }

    fn report(&mut self, line: u32, field: &str, message: String) {
        self.problems.push(Problem {
            file: self.file.clone(),
            line,
            field: Name::new(field),
            message,
        });
    }
}
