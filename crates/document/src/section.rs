//! Checked reading of INI sections.

use error_stack::Report;
use ini::{Ini, ParseOption};

use crate::{Category, Error, Form, HashMap, HashSet, Name, Result};

/// The sections of one INI text, in order.
#[derive(Debug)]
pub struct Sections {
    file: Name,
    sections: Vec<Section>,
}

/// One section whose entries are taken one by one, so that unknown ones are found.
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

const BYTE_ORDER_MARK: char = '\u{feff}';

impl Sections {
    /// Reads an INI text.
    ///
    /// # Errors
    ///
    /// Fails when the text is not INI, when an entry stands before the first
    /// section, or when a section stands twice.
    pub fn from_ini(file: &str, text: &str) -> Result<Self> {
        // Some editors begin a file with this mark; it is no part of the text.
        let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text);
        let options =
            ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, options).map_err(|error| {
            let line = u32::try_from(error.line + 1).unwrap_or(u32::MAX);
            let message = format!("{}, expected [section] or key = value", error.msg);
            Report::new(Error::new(Category::Syntax, file, line, message))
        })?;
        let lines = Lines::from_text(text);
        let mut sections: Vec<Section> = Vec::new();
        let mut seen: HashSet<&str> = HashSet::default();
        for (header, properties) in &ini {
            let Some(header) = header else {
                if let Some((key, _)) = properties.iter().next() {
                    let message = format!("{key} stands before the first section");
                    return fail(Category::Structure, file, lines.of_key(None, key, 0), message);
                }
                continue;
            };
            let line = lines.of_section(header, 0);
            if !seen.insert(header) {
                let message = format!("section [{header}] stands twice, expected it once");
                return fail(Category::Structure, file, lines.of_section(header, 1), message);
            }
            sections.push(Section::from_properties(file, &lines, header, line, properties));
        }
        Ok(Self { file: Name::from(file), sections })
    }

    /// Returns the name of the text that was read.
    #[must_use]
    pub fn file(&self) -> &Name {
        &self.file
    }

    /// Takes the only section of a kind that has no name.
    ///
    /// # Errors
    ///
    /// Fails when there is none.
    pub fn take_one(&mut self, kind: &str) -> Result<Section> {
        self.take_optional(kind).ok_or_else(|| {
            let message = format!("section [{kind}] is missing, expected it once");
            Report::new(Error::new(Category::Structure, &self.file, 0, message))
        })
    }

    /// Takes the only section of a kind that has no name, if there is one.
    pub fn take_optional(&mut self, kind: &str) -> Option<Section> {
        let at = self.sections.iter().position(|s| s.kind == kind && s.name.is_none())?;
        Some(self.sections.remove(at))
    }

    /// Takes every section of a kind that has a name, in order.
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

    /// Ends the reading.
    ///
    /// # Errors
    ///
    /// Fails when a section is left that nobody took.
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
    /// Returns the line of the section's header.
    #[must_use]
    pub fn line(&self) -> u32 {
        self.line
    }

    /// Takes a value that must be there.
    ///
    /// # Errors
    ///
    /// Fails when the key is missing, stands twice, or has a value of another form.
    pub fn required<T>(&mut self, key: &str, form: &Form<T>) -> Result<T> {
        if let Some(value) = self.optional(key, form)? {
            Ok(value)
        } else {
            let message =
                format!("{key} is missing in [{}], expected {}", self.header(), form.expected);
            fail(Category::Structure, &self.file, self.line, message)
        }
    }

    /// Takes a value that may be left out.
    ///
    /// # Errors
    ///
    /// Fails when the key stands twice or has a value of another form.
    pub fn optional<T>(&mut self, key: &str, form: &Form<T>) -> Result<Option<T>> {
        let Some(at) = self.entries.iter().position(|entry| entry.key == key) else {
            return Ok(None);
        };
        let entry = self.entries.remove(at);
        if let Some(again) = self.entries.iter().find(|entry| entry.key == key) {
            let message = format!("{key} stands twice in [{}], expected it once", self.header());
            return fail(Category::Structure, &self.file, again.line, message);
        }
        if let Some(value) = (form.read)(&entry.value) {
            Ok(Some(value))
        } else {
            let message = format!("{key} = {}, expected {}", entry.value, form.expected);
            fail(Category::Value, &self.file, entry.line, message)
        }
    }

    /// Ends the reading of this section.
    ///
    /// # Errors
    ///
    /// Fails when a key is left that nobody took.
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
        lines: &Lines<'_>,
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
            let line = lines.of_key(Some(header), key, seen);
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

/// Where the headers and keys of a text stand.
struct Lines<'a> {
    headers: HashMap<&'a str, Vec<u32>>,
    keys: HashMap<(Option<&'a str>, &'a str), Vec<u32>>,
}

impl<'a> Lines<'a> {
    fn from_text(text: &'a str) -> Self {
        let mut lines = Self { headers: HashMap::default(), keys: HashMap::default() };
        let mut section = None;
        for (number, line) in (1..).zip(text.lines().map(str::trim)) {
            if let Some(header) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
                section = Some(header.trim());
                lines.headers.entry(header.trim()).or_default().push(number);
            } else if let Some(key) = key_of(line) {
                lines.keys.entry((section, key)).or_default().push(number);
            }
        }
        lines
    }

    /// Returns the line of a section's nth header, or 0 for none.
    fn of_section(&self, header: &str, nth: usize) -> u32 {
        self.headers.get(header).and_then(|lines| lines.get(nth)).copied().unwrap_or(0)
    }

    /// Returns the line of a key's nth place in a section, or 0 for none.
    fn of_key(&self, header: Option<&str>, key: &str, nth: usize) -> u32 {
        self.keys.get(&(header, key)).and_then(|lines| lines.get(nth)).copied().unwrap_or(0)
    }
}

fn key_of(line: &str) -> Option<&str> {
    line.split_once(['=', ':']).map(|(key, _)| key.trim())
}
