//! Parses structured log lines, which are `key=value` pairs separated by spaces.

/// A log line of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Line<'a> {
    /// The Unix time in milliseconds.
    pub(crate) at_ms: u64,
    pub(crate) node: &'a str,
    pub(crate) event: &'a str,
    text: &'a str,
}

impl<'a> Line<'a> {
    /// Parses a line. Text before the first field, such as the prefix of a log collector, is skipped. Returns `None` if
    /// the line has no time, node or event.
    pub(crate) fn parse(text: &'a str) -> Option<Self> {
        Some(Self {
            at_ms: find(text, "t")?.parse().ok()?,
            node: find(text, "node")?,
            event: find(text, "event")?,
            text,
        })
    }

    /// Returns the value of a field, without its quotes.
    pub(crate) fn field(&self, name: &str) -> Option<&'a str> {
        find(self.text, name)
    }

    /// Returns the value of a field that is a number.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.field(name)?.parse().ok()
    }
}

fn find<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    fields(text)
        .find(|(field, _)| *field == name)
        .map(|(_, value)| value)
}

/// Returns the names and values of the fields. A quoted value may contain spaces and escaped quotes.
fn fields(text: &str) -> impl Iterator<Item = (&str, &str)> {
    let mut rest = text;
    std::iter::from_fn(move || {
        loop {
            rest = rest.trim_start();
            if rest.is_empty() {
                return None;
            }
            let word_end = rest.find(char::is_whitespace).unwrap_or(rest.len());
            let Some((name, after)) = rest[..word_end]
                .find('=')
                .map(|at| (&rest[..at], &rest[at + 1..]))
            else {
                rest = &rest[word_end..];
                continue;
            };
            let (value, tail) = match after.strip_prefix('"') {
                Some(quoted) => split_quoted(quoted),
                None => after.split_at(after.find(char::is_whitespace).unwrap_or(after.len())),
            };
            rest = tail;
            return Some((name, value));
        }
    })
}

/// Splits the text after an opening quote at the closing one.
fn split_quoted(text: &str) -> (&str, &str) {
    let mut is_escaped = false;
    for (at, c) in text.char_indices() {
        match c {
            '"' if !is_escaped => return (&text[..at], &text[at + 1..]),
            _ => is_escaped = c == '\\' && !is_escaped,
        }
    }
    (text, "")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn fields_are_read_with_and_without_quotes_and_prefix() {
        let text = r#"  4.25 n1 t=77 level=INFO node=n1 part=a::b event=refused reason="no \"room\" = x" ms=5"#;
        let line = Line::parse(text).unwrap();
        assert_eq!((line.at_ms, line.node, line.event), (77, "n1", "refused"));
        assert_eq!(line.field("reason"), Some(r#"no \"room\" = x"#));
        assert_eq!(line.number("ms"), Some(5));
        assert_eq!(line.field("x"), None);
    }

    #[test]
    fn other_lines_are_not_taken_for_events() {
        for text in [
            "",
            "day  score",
            "t=x node=n1 event=start",
            "t=1 event=start",
            "t=1 node=n1",
            "reason=\"open",
        ] {
            assert_eq!(Line::parse(text), None, "{text}");
        }
    }
}
