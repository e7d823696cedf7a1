//! Typed reads of a file's tables. Each fault is noted and reading goes on.

use std::{borrow::Cow, ops::RangeInclusive};

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::{SourceFile, limits};
use crate::error::FileError;

type Value<'i> = Spanned<DeValue<'i>>;

/// A file and the faults found in it.
#[derive(Debug)]
pub(super) struct Checked<'a> {
    file: SourceFile<'a>,
    /// Where each line begins.
    lines: Vec<usize>,
    faults: Vec<FileError>,
}

impl<'a> Checked<'a> {
    pub(super) fn new(file: SourceFile<'a>) -> Self {
        let breaks = file.text.match_indices('\n').map(|(i, _)| i + 1);
        Self {
            file,
            lines: std::iter::once(0).chain(breaks).collect(),
            faults: Vec::new(),
        }
    }

    /// The line, from 1, of a place in the file.
    pub(super) fn line(&self, offset: usize) -> usize {
        self.lines.partition_point(|start| *start <= offset)
    }

    pub(super) fn fault(&mut self, line: usize, key: &str, message: impl Into<String>) {
        self.faults.push(FileError {
            path: self.file.path.to_owned(),
            line,
            key: key.to_owned(),
            message: message.into(),
        });
    }

    /// The faults in the order of their lines.
    pub(super) fn into_faults(mut self) -> Vec<FileError> {
        self.faults.sort_by_key(|fault| fault.line);
        self.faults
    }
}

/// A table whose keys are read one by one.
#[derive(Debug)]
pub(super) struct Table<'t, 'i> {
    values: &'t DeTable<'i>,
    /// The table's own key, which the keys in it are named after.
    name: String,
    pub(super) line: usize,
    /// The keys that were asked for.
    known: Vec<&'static str>,
}

impl<'t, 'i> Table<'t, 'i> {
    pub(super) fn new(name: &str, values: &'t DeTable<'i>, line: usize) -> Self {
        Self {
            values,
            name: name.to_owned(),
            line,
            known: Vec::new(),
        }
    }

    /// The full name of a key.
    pub(super) fn path(&self, key: &str) -> String {
        if self.name.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.name)
        }
    }

    /// A key's value, if it is there.
    pub(super) fn get(&mut self, key: &'static str) -> Option<&'t Value<'i>> {
        if !self.known.contains(&key) {
            self.known.push(key);
        }
        self.values.get(key)
    }

    /// The line of a key's value, or that of the table.
    pub(super) fn line_of(&self, checked: &Checked<'_>, key: &str) -> usize {
        self.values
            .get(key)
            .map_or(self.line, |value| checked.line(value.span().start))
    }

    fn required(
        &mut self,
        checked: &mut Checked<'_>,
        key: &'static str,
        expected: &str,
    ) -> Option<&'t Value<'i>> {
        let value = self.get(key);
        if value.is_none() {
            let message = format!("missing; expected {expected}");
            checked.fault(self.line, &self.path(key), message);
        }
        value
    }

    fn wrong(&self, checked: &mut Checked<'_>, key: &str, value: &Value<'_>, expected: &str) {
        let line = checked.line(value.span().start);
        let found = found(value.get_ref());
        let message = format!("expected {expected}, found {found}");
        checked.fault(line, &self.path(key), message);
    }

    /// A name of 1 to 40 letters, digits, `-`, `_` or `.`. Names become parts of table keys.
    pub(super) fn name(&mut self, checked: &mut Checked<'_>, key: &'static str) -> Option<String> {
        let expected = "a name of 1 to 40 ASCII letters, digits, `-`, `_` or `.`";
        let value = self.required(checked, key, expected)?;
        let valid = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
        let fits = |name: &&str| {
            (1..=limits::NAME_BYTES_MAX).contains(&name.len()) && name.bytes().all(valid)
        };
        let name = value.get_ref().as_str().filter(fits).map(str::to_owned);
        if name.is_none() {
            self.wrong(checked, key, value, expected);
        }
        name
    }

    /// The words of a command.
    pub(super) fn command(&mut self, checked: &mut Checked<'_>) -> Option<Vec<String>> {
        const KEY: &str = "command";
        let expected = "an array of 1 to 256 strings, the program first";
        let value = self.required(checked, KEY, expected)?;
        let Some(words) = value.get_ref().as_array() else {
            self.wrong(checked, KEY, value, expected);
            return None;
        };
        if words.is_empty() || words.len() > limits::COMMAND_WORDS_MAX {
            self.wrong(checked, KEY, value, expected);
            return None;
        }
        let mut command = Vec::new();
        for (i, word) in words.iter().enumerate() {
            match word.get_ref().as_str() {
                Some("") if i == 0 => self.wrong(checked, KEY, word, "the name of a program"),
                Some(text) if text.len() <= limits::COMMAND_WORD_BYTES_MAX => {
                    command.push(text.to_owned());
                }
                _ => self.wrong(checked, KEY, word, "a string of up to 4096 bytes"),
            }
        }
        (words.len() == command.len()).then_some(command)
    }

    /// One of a few words.
    pub(super) fn choice<T: Copy>(
        &mut self,
        checked: &mut Checked<'_>,
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
            self.wrong(checked, key, value, &expected);
        }
        choice.map(|(_, choice)| *choice)
    }

    /// A whole number that must be there.
    pub(super) fn whole(
        &mut self,
        checked: &mut Checked<'_>,
        key: &'static str,
        range: &RangeInclusive<u64>,
    ) -> Option<u64> {
        let expected = whole_expected(range);
        let value = self.required(checked, key, &expected)?;
        self.whole_value(checked, key, value, range)
    }

    /// A whole number that may be left out.
    pub(super) fn whole_or(
        &mut self,
        checked: &mut Checked<'_>,
        key: &'static str,
        range: &RangeInclusive<u64>,
        default: u64,
    ) -> Option<u64> {
        match self.get(key) {
            None => Some(default),
            Some(value) => self.whole_value(checked, key, value, range),
        }
    }

    fn whole_value(
        &self,
        checked: &mut Checked<'_>,
        key: &str,
        value: &Value<'_>,
        range: &RangeInclusive<u64>,
    ) -> Option<u64> {
        let integer = value.get_ref().as_integer();
        let number = integer.and_then(|n| i128::from_str_radix(n.as_str(), n.radix()).ok());
        let number = number.and_then(|n| u64::try_from(n).ok());
        let number = number.filter(|n| range.contains(n));
        if number.is_none() {
            self.wrong(checked, key, value, &whole_expected(range));
        }
        number
    }

    /// A number of processors, in thousandths.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the range is positive and far below 2^52 thousandths"
    )]
    pub(super) fn processors(
        &mut self,
        checked: &mut Checked<'_>,
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
            self.wrong(checked, KEY, value, &expected);
        }
        number.map(|number| (number * 1_000.0).round() as u64)
    }

    /// A table inside of this one.
    pub(super) fn table(
        &mut self,
        checked: &mut Checked<'_>,
        key: &'static str,
        expected: &str,
    ) -> Option<Table<'t, 'i>> {
        let value = self.required(checked, key, expected)?;
        let table = value.get_ref().as_table();
        if table.is_none() {
            self.wrong(checked, key, value, expected);
        }
        let line = checked.line(value.span().start);
        table.map(|table| Table::new(&self.path(key), table, line))
    }

    /// The tables of an array of tables; none where the key is left out.
    pub(super) fn tables(
        &mut self,
        checked: &mut Checked<'_>,
        key: &'static str,
    ) -> Vec<Table<'t, 'i>> {
        let Some(value) = self.get(key) else {
            return Vec::new();
        };
        let expected = format!("tables, each headed by `[[{key}]]`");
        let Some(array) = value.get_ref().as_array() else {
            self.wrong(checked, key, value, &expected);
            return Vec::new();
        };
        let mut tables = Vec::new();
        for item in array {
            let line = checked.line(item.span().start);
            match item.get_ref().as_table() {
                Some(table) => tables.push(Table::new(&self.path(key), table, line)),
                None => self.wrong(checked, key, item, &expected),
            }
        }
        tables
    }

    /// Notes each key that was not asked for.
    pub(super) fn finish(self, checked: &mut Checked<'_>) {
        for key in self.values.keys() {
            if !self.known.contains(&key.get_ref().as_ref()) {
                let line = checked.line(key.span().start);
                let message = format!("unknown key; expected one of {}", self.known.join(", "));
                checked.fault(line, &self.path(key.get_ref()), message);
            }
        }
    }
}

fn whole_expected(range: &RangeInclusive<u64>) -> String {
    format!("a whole number from {} to {}", range.start(), range.end())
}

/// A value as a fault names it.
fn found(value: &DeValue<'_>) -> String {
    match value {
        DeValue::String(text) if text.len() <= limits::NAME_BYTES_MAX * 2 => format!("{text:?}"),
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
