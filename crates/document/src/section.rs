//! INI texts that are read section by section and key by key.
//!
//! The reader takes the sections and keys that it knows. `finish` then fails on those that
//! are left, so that a misspelled name is an error and not ignored.

use error_stack::Report;
use ini::{Ini, ParseOption};

use crate::{Category, Error, HashMap, HashSet, Name, Result, ValueFormat};

/// The sections of an INI text that have not been taken yet, in order.
#[derive(Debug)]
pub struct Sections {
    file: Name,
    sections: Vec<Section>,
}

/// A section and its entries that have not been taken yet.
///
/// The header is `[kind name]`, or `[kind]` for a section without a name.
#[derive(Debug)]
pub struct Section {
    file: Name,
    kind: Name,
    name: Option<Name>,
    line: u32,
    entries: Vec<Entry>,
}

#[derive(Debug)]
struct Entry {
    key: Name,
    value: Name,
    line: u32,
}

/// Some editors put this mark at the start of a file; it is not part of the text.
const BYTE_ORDER_MARK: char = '\u{feff}';

impl Sections {
    /// Parses an INI text; errors name `file`.
    ///
    /// # Errors
    ///
    /// Fails when the text is not INI, when an entry precedes the first section, or when
    /// two sections have the same header.
    pub fn from_ini(file: &str, text: &str) -> Result<Self> {
        let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text);
        let options =
            ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, options).map_err(|error| {
            let line = u32::try_from(error.line + 1).unwrap_or(u32::MAX);
            let message = format!("{}, expected [section] or key = value", error.msg);
            Report::new(Error::new(Category::Syntax, file, line, message))
        })?;
        let lines = LineIndex::from_text(text);
        let mut sections: Vec<Section> = Vec::new();
        let mut seen: HashSet<&str> = HashSet::default();
        for (header, properties) in &ini {
            let Some(header) = header else {
                if let Some((key, _)) = properties.iter().next() {
                    let message = format!("{key} stands before the first section");
                    return fail(Category::Structure, file, lines.key_line(None, key, 0), message);
                }
                continue;
            };
            let line = lines.header_line(header, 0);
            if !seen.insert(header) {
                let message = format!("section [{header}] stands twice, expected it once");
                return fail(Category::Structure, file, lines.header_line(header, 1), message);
            }
            sections.push(Section::from_properties(file, &lines, header, line, properties));
        }
        Ok(Self { file: Name::from(file), sections })
    }

    /// Returns the file name that errors use.
    #[must_use]
    pub fn file(&self) -> &Name {
        &self.file
    }

    /// Removes and returns the section `[kind]`.
    ///
    /// # Errors
    ///
    /// Fails when the text has no such section.
    pub fn take_required(&mut self, kind: &str) -> Result<Section> {
        self.take_optional(kind).ok_or_else(|| {
            let message = format!("section [{kind}] is missing, expected it once");
            Report::new(Error::new(Category::Structure, &self.file, 0, message))
        })
    }

    /// Removes and returns the section `[kind]`, if the text has one.
    pub fn take_optional(&mut self, kind: &str) -> Option<Section> {
        let index = self.sections.iter().position(|s| s.kind == kind && s.name.is_none())?;
        Some(self.sections.remove(index))
    }

    /// Removes and returns all sections `[kind name]` with their names, in order.
    pub fn take_named(&mut self, kind: &str) -> Vec<(Name, Section)> {
        let mut taken = Vec::new();
        let mut rest = Vec::new();
        for section in self.sections.drain(..) {
            match &section.name {
                Some(name) if section.kind == kind => taken.push((name.clone(), section)),
                _ => rest.push(section),
            }
        }
        self.sections = rest;
        taken
    }

    /// Checks that every section was taken; `expected` lists the known ones for the error.
    ///
    /// # Errors
    ///
    /// Fails when a section is left.
    pub fn finish(self, expected: &str) -> Result<()> {
        match self.sections.first() {
            None => Ok(()),
            Some(section) => {
                let message =
                    format!("unknown section [{}], expected {expected}", section.header());
                fail(Category::Structure, &self.file, section.line, message)
            }
        }
    }
}

impl Section {
    /// Returns the line of the section header, counted from 1.
    #[must_use]
    pub fn line(&self) -> u32 {
        self.line
    }

    /// Removes and returns the value of a key that must be present.
    ///
    /// # Errors
    ///
    /// Fails when the key is missing or duplicated, or when its value has a wrong format.
    pub fn required<T>(&mut self, key: &str, format: &ValueFormat<T>) -> Result<T> {
        if let Some(value) = self.optional(key, format)? {
            Ok(value)
        } else {
            let message =
                format!("{key} is missing in [{}], expected {}", self.header(), format.expected);
            fail(Category::Structure, &self.file, self.line, message)
        }
    }

    /// Removes and returns the value of a key, or `None` when the key is absent.
    ///
    /// # Errors
    ///
    /// Fails when the key is duplicated or its value has a wrong format.
    pub fn optional<T>(&mut self, key: &str, format: &ValueFormat<T>) -> Result<Option<T>> {
        let Some(index) = self.entries.iter().position(|entry| entry.key == key) else {
            return Ok(None);
        };
        let entry = self.entries.remove(index);
        if let Some(duplicate) = self.entries.iter().find(|entry| entry.key == key) {
            let message = format!("{key} stands twice in [{}], expected it once", self.header());
            return fail(Category::Structure, &self.file, duplicate.line, message);
        }
        if let Some(value) = (format.parse)(&entry.value) {
            Ok(Some(value))
        } else {
            let message = format!("{key} = {}, expected {}", entry.value, format.expected);
            fail(Category::Value, &self.file, entry.line, message)
        }
    }

    /// Checks that every key was taken; `expected` lists the known ones for the error.
    ///
    /// # Errors
    ///
    /// Fails when a key is left.
    pub fn finish(self, expected: &str) -> Result<()> {
        match self.entries.first() {
            None => Ok(()),
            Some(entry) => {
                let message = format!(
                    "unknown key {} in [{}], expected one of {expected}",
                    entry.key,
                    self.header()
                );
                fail(Category::Structure, &self.file, entry.line, message)
            }
        }
    }

    fn from_properties(
        file: &str,
        lines: &LineIndex<'_>,
        header: &str,
        line: u32,
        properties: &ini::Properties,
    ) -> Self {
        let (kind, name) = match header.split_once(' ') {
            Some((kind, name)) => (kind, Some(Name::from(name.trim()))),
            None => (header, None),
        };
        let mut entries: Vec<Entry> = Vec::new();
        for (key, value) in properties {
            let seen = entries.iter().filter(|entry| entry.key == key).count();
            let line = lines.key_line(Some(header), key, seen);
            entries.push(Entry { key: Name::from(key), value: Name::from(value.trim()), line });
        }
        Self { file: Name::from(file), kind: Name::from(kind), name, line, entries }
    }

    fn header(&self) -> String {
        match &self.name {
            Some(name) => format!("{} {name}", self.kind),
            None => self.kind.to_string(),
        }
    }
}

fn fail<T>(category: Category, file: &str, line: u32, message: String) -> Result<T> {
    Err(Report::new(Error::new(category, file, line, message)))
}

/// The line numbers of the headers and keys of a text, counted from 1.
///
/// The INI parser reports no line numbers for sections and entries.
struct LineIndex<'a> {
    headers: HashMap<&'a str, Vec<u32>>,
    keys: HashMap<(Option<&'a str>, &'a str), Vec<u32>>,
}

impl<'a> LineIndex<'a> {
    fn from_text(text: &'a str) -> Self {
        let mut lines = Self { headers: HashMap::default(), keys: HashMap::default() };
        let mut section = None;
        for (line_number, line) in (1..).zip(text.lines().map(str::trim)) {
            if let Some(header) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
                section = Some(header.trim());
                lines.headers.entry(header.trim()).or_default().push(line_number);
            } else if let Some(key) = parse_key(line) {
                lines.keys.entry((section, key)).or_default().push(line_number);
            }
        }
        lines
    }

    /// Returns the line of the nth occurrence of a header, or 0 if there is none.
    fn header_line(&self, header: &str, nth: usize) -> u32 {
        self.headers.get(header).and_then(|lines| lines.get(nth)).copied().unwrap_or(0)
    }

    /// Returns the line of the nth occurrence of a key in a section, or 0 if there is none.
    fn key_line(&self, header: Option<&str>, key: &str, nth: usize) -> u32 {
        self.keys.get(&(header, key)).and_then(|lines| lines.get(nth)).copied().unwrap_or(0)
    }
}

fn parse_key(line: &str) -> Option<&str> {
    line.split_once(['=', ':']).map(|(key, _)| key.trim())
}
