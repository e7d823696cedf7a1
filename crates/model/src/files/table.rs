//! Typed access to the tables of a file. Errors are recorded, and reading continues.

use std::{borrow::Cow, ops::RangeInclusive};

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::{SourceFile, limits};
use crate::error::FileError;

type Value<'i> = Spanned<DeValue<'i>>;

/// A file and the errors found in it.
#[derive(Debug)]
pub(super) struct CheckedFile<'a> {
    file: SourceFile<'a>,
    /// The byte offset at which each line starts.
    lines: Vec<usize>,
    errors: Vec<FileError>,
}

impl<'a> CheckedFile<'a> {
    pub(super) fn new(file: SourceFile<'a>) -> Self {
        let breaks = file.text.match_indices('\n').map(|(i, _)| i + 1);
        Self {
            file,
            lines: std::iter::once(0).chain(breaks).collect(),
            errors: Vec::new(),
        }
    }

    /// Returns the line number, from 1, of a byte offset in the file.
    pub(super) fn line(&self, offset: usize) -> usize {
        self.lines.partition_point(|start| *start <= offset)
    }

    pub(super) fn report(&mut self, line: usize, key: &str, message: impl Into<String>) {
        self.errors.push(FileError {
            path: self.file.path.to_owned(),
            line,
            key: key.to_owned(),
            message: message.into(),
        });
    }

    /// Returns the errors in the order of their lines.
    pub(super) fn into_errors(mut self) -> Vec<FileError> {
        self.errors.sort_by_key(|error| error.line);
        self.errors
    }
}

/// A table whose keys are read one by one, so that unknown keys can be reported at the end.
#[derive(Debug)]
pub(super) struct Table<'t, 'i> {
    values: &'t DeTable<'i>,
    /// The full key of the table, which prefixes the keys in it. Empty for the root table.
    key: String,
    pub(super) line: usize,
    /// The keys that have been looked up.
    known_keys: Vec<&'static str>,
}

impl<'t, 'i> Table<'t, 'i> {
    pub(super) fn new(key: &str, values: &'t DeTable<'i>, line: usize) -> Self {
        Self {
            values,
            key: key.to_owned(),
            line,
            known_keys: Vec::new(),
        }
    }

    /// Returns the full path of a key.
    pub(super) fn path(&self, key: &str) -> String {
        if self.key.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.key)
        }
    }

    /// Returns the value of a key, if present, and records the key as known.
    pub(super) fn get(&mut self, key: &'static str) -> Option<&'t Value<'i>> {
        if !self.known_keys.contains(&key) {
            self.known_keys.push(key);
        }
        self.values.get(key)
    }

    /// Returns the line number of a key's value, or that of the table if the key is missing.
    pub(super) fn line_of(&self, checked: &CheckedFile<'_>, key: &str) -> usize {
        self.values
            .get(key)
            .map_or(self.line, |value| checked.line(value.span().start))
    }

    fn required(
        &mut self,
        checked: &mut CheckedFile<'_>,
        key: &'static str,
        expected: &str,
    ) -> Option<&'t Value<'i>> {
        let value = self.get(key);
        if value.is_none() {
            let message = format!("missing; expected {expected}");
            checked.report(self.line, &self.path(key), message);
        }
        value
    }

    /// Reports a value that differs from what was expected.
    fn mismatch(
        &self,
        checked: &mut CheckedFile<'_>,
        key: &str,
        value: &Value<'_>,
        expected: &str,
    ) {
        let line = checked.line(value.span().start);
        let found = describe(value.get_ref());
        let message = format!("expected {expected}, found {found}");
        checked.report(line, &self.path(key), message);
    }

    /// Reads a name of 1 to 40 ASCII letters, digits, `-`, `_` or `.`. The characters are restricted
    /// because names become parts of keys in the platform's table.
    pub(super) fn name(
        &mut self,
        checked: &mut CheckedFile<'_>,
        key: &'static str,
    ) -> Option<String> {
        let expected = "a name of 1 to 40 ASCII letters, digits, `-`, `_` or `.`";
        let value = self.required(checked, key, expected)?;
        let valid = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
        let fits = |name: &&str| {
            (1..=limits::MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(valid)
        };
        let name = value.get_ref().as_str().filter(fits).map(str::to_owned);
        if name.is_none() {
            self.mismatch(checked, key, value, expected);
        }
        name
    }

    /// Reads the words of a command.
    pub(super) fn command(&mut self, checked: &mut CheckedFile<'_>) -> Option<Vec<String>> {
        const KEY: &str = "command";
        let expected = "an array of 1 to 256 strings, the program first";
        let value = self.required(checked, KEY, expected)?;
        let Some(words) = value.get_ref().as_array() else {
            self.mismatch(checked, KEY, value, expected);
            return None;
        };
        if words.is_empty() || words.len() > limits::MAX_COMMAND_WORDS {
            self.mismatch(checked, KEY, value, expected);
            return None;
        }
        let mut command = Vec::new();
        for (i, word) in words.iter().enumerate() {
            match word.get_ref().as_str() {
                Some("") if i == 0 => self.mismatch(checked, KEY, word, "the name of a program"),
                Some(text) if text.len() <= limits::MAX_COMMAND_WORD_BYTES => {
                    command.push(text.to_owned());
                }
                _ => self.mismatch(checked, KEY, word, "a string of up to 4096 bytes"),
            }
        }
        (words.len() == command.len()).then_some(command)
    }

    /// Reads a value that must be one of the words in `choices`.
    pub(super) fn choice<T: Copy>(
        &mut self,
        checked: &mut CheckedFile<'_>,
        key: &'static str,
        choices: &[(&str, T)],
    ) -> Option<T> {
        let words: Vec<String> = choices
            .iter()
            .map(|(word, _)| format!("`{word}`"))
            .collect();
        let expected = words.join(", ");
        let value = self.required(checked, key, &expected)?;
        let word = value.get_ref().as_str();
        let choice = choices.iter().find(|(name, _)| Some(*name) == word);
        if choice.is_none() {
            self.mismatch(checked, key, value, &expected);
        }
        choice.map(|(_, choice)| *choice)
    }

    /// Reads a required integer.
    pub(super) fn integer(
        &mut self,
        checked: &mut CheckedFile<'_>,
        key: &'static str,
        range: &RangeInclusive<u64>,
    ) -> Option<u64> {
        let expected = expected_integer(range);
        let value = self.required(checked, key, &expected)?;
        self.parse_integer(checked, key, value, range)
    }

    /// Reads an optional integer.
    pub(super) fn integer_or(
        &mut self,
        checked: &mut CheckedFile<'_>,
        key: &'static str,
        range: &RangeInclusive<u64>,
        default: u64,
    ) -> Option<u64> {
        match self.get(key) {
            None => Some(default),
            Some(value) => self.parse_integer(checked, key, value, range),
        }
    }

    fn parse_integer(
        &self,
        checked: &mut CheckedFile<'_>,
        key: &str,
        value: &Value<'_>,
        range: &RangeInclusive<u64>,
    ) -> Option<u64> {
        let integer = value.get_ref().as_integer();
        let number = integer.and_then(|n| i128::from_str_radix(n.as_str(), n.radix()).ok());
        let number = number.and_then(|n| u64::try_from(n).ok());
        let number = number.filter(|n| range.contains(n));
        if number.is_none() {
            self.mismatch(checked, key, value, &expected_integer(range));
        }
        number
    }

    /// Reads a number of processors and returns it in thousandths.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the range is positive and far below 2^52 thousandths"
    )]
    pub(super) fn processors(
        &mut self,
        checked: &mut CheckedFile<'_>,
        range: &RangeInclusive<f64>,
    ) -> Option<u64> {
        const KEY: &str = "processors";
        let expected = format!("a number from {} to {}", range.start(), range.end());
        let value = self.required(checked, KEY, &expected)?;
        let text = match value.get_ref() {
            DeValue::Float(number) => Some(Cow::Borrowed(number.as_str())),
            DeValue::Integer(number) if number.radix() == 10 => {
                Some(Cow::Borrowed(number.as_str()))
            }
            _ => None,
        };
        let number = text.and_then(|text| text.parse::<f64>().ok());
        let number = number.filter(|number| range.contains(number));
        if number.is_none() {
            self.mismatch(checked, KEY, value, &expected);
        }
        number.map(|number| (number * 1_000.0).round() as u64)
    }

    /// Reads a required nested table.
    pub(super) fn table(
        &mut self,
        checked: &mut CheckedFile<'_>,
        key: &'static str,
        expected: &str,
    ) -> Option<Table<'t, 'i>> {
        let value = self.required(checked, key, expected)?;
        let table = value.get_ref().as_table();
        if table.is_none() {
            self.mismatch(checked, key, value, expected);
        }
        let line = checked.line(value.span().start);
        table.map(|table| Table::new(&self.path(key), table, line))
    }

    /// Reads an array of tables, which is empty if the key is missing.
    pub(super) fn tables(
        &mut self,
        checked: &mut CheckedFile<'_>,
        key: &'static str,
    ) -> Vec<Table<'t, 'i>> {
        let Some(value) = self.get(key) else {
            return Vec::new();
        };
        let expected = format!("tables, each headed by `[[{key}]]`");
        let Some(array) = value.get_ref().as_array() else {
            self.mismatch(checked, key, value, &expected);
            return Vec::new();
        };
        let mut tables = Vec::new();
        for item in array {
            let line = checked.line(item.span().start);
            match item.get_ref().as_table() {
                Some(table) => tables.push(Table::new(&self.path(key), table, line)),
                None => self.mismatch(checked, key, item, &expected),
            }
        }
        tables
    }

    /// Reports each key that was not looked up as unknown.
    pub(super) fn finish(self, checked: &mut CheckedFile<'_>) {
        for key in self.values.keys() {
            if !self.known_keys.contains(&key.get_ref().as_ref()) {
                let line = checked.line(key.span().start);
                let message = format!(
                    "unknown key; expected one of {}",
                    self.known_keys.join(", ")
                );
                checked.report(line, &self.path(key.get_ref()), message);
            }
        }
    }
}

fn expected_integer(range: &RangeInclusive<u64>) -> String {
    format!("a whole number from {} to {}", range.start(), range.end())
}

/// Describes a value for an error message.
fn describe(value: &DeValue<'_>) -> String {
    match value {
        DeValue::String(text) if text.len() <= limits::MAX_NAME_BYTES * 2 => format!("{text:?}"),
        DeValue::String(text) => format!("a string of {} bytes", text.len()),
        DeValue::Integer(number) => number.to_string(),
        DeValue::Float(number) => number.to_string(),
        DeValue::Boolean(value) => value.to_string(),
        DeValue::Array(array) if array.is_empty() => "an empty array".to_owned(),
        DeValue::Datetime(_) | DeValue::Array(_) | DeValue::Table(_) => {
            format!("a value of type {}", value.type_str())
        }
    }
}
