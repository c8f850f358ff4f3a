//! Reads typed values from the fields of one section.

use crate::Problem;
use heatherhinge_types::Name;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// Longest name in bytes. Names are limited because they are keys of rows and parts of paths.
const NAME_LIMIT_BYTES: usize = 64;

#[derive(Clone, Debug)]
struct Entry {
    line: u32,
    value: Name,
    is_read: bool,
}

/// A section of a document: the words of its header and its fields.
///
/// Each `take_*` method reads one field, or collects a problem and returns `None`. A field
/// that is absent is a problem too, unless it is read through [`Section::take_optional`] or
/// [`Section::take_or`]. [`Section::finish`] reports the fields that were not read.
#[derive(Clone, Debug)]
pub struct Section {
    file: Name,
    line: u32,
    words: Vec<Name>,
    entries: BTreeMap<Name, Entry>,
    problems: Vec<Problem>,
}

impl Section {
    pub(crate) fn new(file: Name, line: u32, words: Vec<Name>) -> Self {
        Self {
            file,
            line,
            words,
            entries: BTreeMap::new(),
            problems: Vec::new(),
        }
    }

    pub(crate) fn insert(&mut self, line: u32, field: &str, value: &str) {
        if let Some(first) = self.entries.get(field) {
            let message = format!("the field was already given at line {}", first.line);
            self.report_at(line, field, message);
            return;
        }
        let entry = Entry {
            line,
            value: Name::new(value),
            is_read: false,
        };
        self.entries.insert(Name::new(field), entry);
    }

    /// Returns the line of the header.
    #[must_use]
    pub const fn line(&self) -> u32 {
        self.line
    }

    /// Returns the words of the header; there is at least one.
    #[must_use]
    pub fn words(&self) -> &[Name] {
        &self.words
    }

    /// Returns the header in brackets, as used in problems.
    #[must_use]
    pub fn title(&self) -> String {
        let words: Vec<&str> = self.words.iter().map(Name::as_str).collect();
        format!("[{}]", words.join(" "))
    }

    /// Returns whether the section has the field.
    #[must_use]
    pub fn has(&self, field: &str) -> bool {
        self.entries.contains_key(field)
    }

    /// Reports a problem with a field, at its line, or at the header if the field is absent.
    pub fn report(&mut self, field: &str, message: String) {
        let line = self
            .entries
            .get(field)
            .map_or(self.line, |entry| entry.line);
        self.report_at(line, field, message);
    }

    /// Reports a problem with the section itself, at its header.
    pub fn report_section(&mut self, message: String) {
        let title = self.title();
        self.report_at(self.line, &title, message);
    }

    fn report_at(&mut self, line: u32, field: &str, message: String) {
        self.problems.push(Problem {
            file: self.file.clone(),
            line,
            field: Name::new(field),
            message,
        });
    }

    /// Reads a field with `parse`, whose error is the message of the problem.
    pub fn take_with<T>(
        &mut self,
        field: &str,
        parse: impl FnOnce(&str) -> Result<T, String>,
    ) -> Option<T> {
        let Some(entry) = self.entries.get_mut(field) else {
            let title = self.title();
            self.report(field, format!("the field is missing in {title}"));
            return None;
        };
        entry.is_read = true;
        let value = entry.value.clone();
        match parse(&value) {
            Ok(value) => Some(value),
            Err(message) => {
                self.report(field, message);
                None
            }
        }
    }

    /// Reads a field with `take` if it is present; an absent field is not a problem.
    pub fn take_optional<T>(
        &mut self,
        field: &str,
        take: impl FnOnce(&mut Self, &str) -> Option<T>,
    ) -> Option<T> {
        if self.has(field) {
            take(self, field)
        } else {
            None
        }
    }

    /// Reads a field, or returns the default if it is absent or invalid; an invalid one is reported.
    pub fn take_or<T>(
        &mut self,
        field: &str,
        default: T,
        take: impl FnOnce(&mut Self, &str) -> Option<T>,
    ) -> T {
        self.take_optional(field, take).unwrap_or(default)
    }

    /// Reads a whole number within a range.
    pub fn take_u64(&mut self, field: &str, range: RangeInclusive<u64>) -> Option<u64> {
        self.take_with(field, |text| {
            let number: u64 = text
                .parse()
                .map_err(|_| format!("'{text}' is not a whole number"))?;
            if range.contains(&number) {
                Ok(number)
            } else {
                let (low, high) = (range.start(), range.end());
                Err(format!("{number} is not within {low} to {high}"))
            }
        })
    }

    /// Reads a name: letters, digits, `-`, `_` and `.`, at most 64 bytes, starting with a letter or
    /// digit. A name is therefore never `.` or `..` where it becomes part of a path.
    pub fn take_name(&mut self, field: &str) -> Option<Name> {
        self.take_with(field, check_name)
    }

    /// Reads text that is not empty.
    pub fn take_text(&mut self, field: &str) -> Option<Name> {
        self.take_with(field, |text| {
            if text.is_empty() {
                Err("the value is empty".to_owned())
            } else {
                Ok(Name::new(text))
            }
        })
    }

    /// Reads names separated by commas, in the order of the text. An empty value is an empty list.
    pub fn take_list(&mut self, field: &str) -> Option<Vec<Name>> {
        self.take_list_with(field, check_name)
    }

    /// Reads values separated by commas with `parse`. A repeated value is a problem.
    pub fn take_list_with<T: PartialEq>(
        &mut self,
        field: &str,
        parse: impl Fn(&str) -> Result<T, String>,
    ) -> Option<Vec<T>> {
        self.take_with(field, |text| {
            let mut values = Vec::new();
            for part in text.split(',').map(str::trim) {
                if part.is_empty() && text.is_empty() {
                    break;
                }
                let value = parse(part)?;
                if values.contains(&value) {
                    return Err(format!("'{part}' is listed twice"));
                }
                values.push(value);
            }
            Ok(values)
        })
    }

    /// Reads one of the words in `choices` and returns its value.
    pub fn take_enum<T: Copy>(&mut self, field: &str, choices: &[(&str, T)]) -> Option<T> {
        self.take_with(field, |text| {
            let chosen = choices.iter().find(|(word, _)| *word == text);
            chosen.map(|(_, value)| *value).ok_or_else(|| {
                let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
                format!("'{text}' is not one of: {}", words.join(", "))
            })
        })
    }

    /// Reads `yes` or `no`.
    pub fn take_bool(&mut self, field: &str) -> Option<bool> {
        self.take_enum(field, &[("yes", true), ("no", false)])
    }

    /// Reads an IP address with a port. Host names are not accepted.
    pub fn take_addr(&mut self, field: &str) -> Option<SocketAddr> {
        self.take_with(field, check_addr)
    }

    /// Reads IP addresses with ports, separated by commas.
    pub fn take_addrs(&mut self, field: &str) -> Option<Vec<SocketAddr>> {
        self.take_list_with(field, check_addr)
    }

    /// Returns a word of the header if it is a name, or reports a problem. Word 0 is the kind of
    /// section.
    pub fn header_name(&mut self, index: usize) -> Option<Name> {
        let word = self.words.get(index)?.clone();
        match check_name(&word) {
            Ok(name) => Some(name),
            Err(message) => {
                self.report_section(message);
                None
            }
        }
    }

    /// Reports every field that was not read and returns all problems of the section.
    #[must_use]
    pub fn finish(mut self) -> Vec<Problem> {
        let title = self.title();
        let unknown: Vec<(u32, Name)> = self
            .entries
            .iter()
            .filter(|(_, entry)| !entry.is_read)
            .map(|(field, entry)| (entry.line, field.clone()))
            .collect();
        for (line, field) in unknown {
            self.report_at(line, &field, format!("{title} has no such field"));
        }
        self.problems
    }
}

fn check_name(text: &str) -> Result<Name, String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if text.is_empty() {
        Err("a name is empty".to_owned())
    } else if text.len() > NAME_LIMIT_BYTES {
        Err(format!("the name is longer than {NAME_LIMIT_BYTES} bytes"))
    } else if text.chars().all(is_allowed) && text.starts_with(|c: char| c.is_alphanumeric()) {
        Ok(Name::new(text))
    } else {
        Err(format!(
            "'{text}' is not a name of letters, digits, '-', '_' and '.' that starts with a \
             letter or digit"
        ))
    }
}

fn check_addr(text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| format!("'{text}' is not an IP address with a port"))
}
