//! Reads typed values from a document tree and reports invalid ones as findings.
//!
//! A method that reports a finding returns a placeholder value, so that reading continues and one
//! report contains all findings.

use std::cell::RefCell;
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use crate::finding::Position;
use crate::tree::Pair;
use crate::{Findings, Node, Value};

/// Reads a mapping.
pub struct Reader<'a> {
    position: Position,
    pairs: &'a [Pair],
    findings: &'a Findings,
    known_keys: RefCell<Vec<&'static str>>,
}

impl<'a> Reader<'a> {
    /// Creates a reader of a mapping. Any other node is a finding and reads as an empty mapping.
    pub fn new(node: &'a Node, findings: &'a Findings) -> Reader<'a> {
        let pairs: &[Pair] = match &node.value {
            Value::Map(pairs) => pairs,
            _ => {
                findings.add(node.position, "expected a mapping", "write 'key: value' lines");
                &[]
            }
        };
        Reader { position: node.position, pairs, findings, known_keys: RefCell::default() }
    }

    /// Returns the position where the mapping starts.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the findings this reader reports to.
    pub fn findings(&self) -> &'a Findings {
        self.findings
    }

    /// Returns whether the key is present.
    pub fn has(&self, key: &str) -> bool {
        self.pairs.iter().any(|pair| pair.key == key)
    }

    /// Returns the value of a key, if present, and marks the key as known.
    pub fn get(&self, key: &'static str) -> Option<&'a Node> {
        self.known_keys.borrow_mut().push(key);
        self.pairs.iter().find(|pair| pair.key == key).map(|pair| &pair.node)
    }

    fn required(&self, key: &'static str, help: &str) -> Option<&'a Node> {
        let node = self.get(key);
        if node.is_none() {
            self.findings.add(self.position, format!("'{key}' is missing"), help);
        }
        node
    }

    fn scalar(&self, key: &str, node: &'a Node, help: &str) -> Option<&'a str> {
        match &node.value {
            Value::Text(text) => Some(text),
            _ => {
                self.findings.add(node.position, format!("'{key}' must be a single value"), help);
                None
            }
        }
    }

    /// Reads a required, non-empty string.
    pub fn text(&self, key: &'static str) -> String {
        let help = format!("write '{key}: text'");
        let Some(node) = self.required(key, &help) else { return String::new() };
        let text = self.scalar(key, node, &help).unwrap_or_default();
        if text.is_empty() && matches!(node.value, Value::Text(_)) {
            self.findings.add(node.position, format!("'{key}' is empty"), help);
        }
        text.to_owned()
    }

    /// Reads an optional string.
    pub fn optional_text(&self, key: &'static str) -> Option<String> {
        self.has(key).then(|| self.text(key))
    }

    /// Reads a required name: at most 63 letters, digits, '-', '_' and '.'.
    pub fn name(&self, key: &'static str) -> String {
        let text = self.text(key);
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if !text.is_empty() && (text.len() > 63 || !text.chars().all(is_allowed)) {
            let position = self.get(key).map_or(self.position, |node| node.position);
            let help = "use at most 63 letters, digits, '-', '_' and '.'";
            self.findings.add(position, format!("'{text}' is not a valid name"), help);
        }
        text
    }

    /// Reads a required whole number in a range.
    pub fn number(&self, key: &'static str, range: RangeInclusive<u64>) -> u64 {
        let help = format!("write a whole number from {} to {}", range.start(), range.end());
        let Some(node) = self.required(key, &help) else { return *range.start() };
        let start = *range.start();
        self.number_at(key, node, range).unwrap_or(start)
    }

    /// Reads a whole number in a range, or returns `default` if the key is missing.
    pub fn number_or(&self, key: &'static str, range: RangeInclusive<u64>, default: u64) -> u64 {
        let Some(node) = self.get(key) else { return default };
        self.number_at(key, node, range).unwrap_or(default)
    }

    /// Reads an optional whole number in a range.
    pub fn optional_number(&self, key: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let node = self.get(key)?;
        self.number_at(key, node, range)
    }

    fn number_at(&self, key: &str, node: &'a Node, range: RangeInclusive<u64>) -> Option<u64> {
        let help = format!("write a whole number from {} to {}", range.start(), range.end());
        let text = self.scalar(key, node, &help)?;
        match text.replace('_', "").parse::<u64>() {
            Ok(number) if range.contains(&number) => Some(number),
            Ok(number) => {
                self.findings.add(node.position, format!("'{key}' is {number}"), help);
                None
            }
            Err(_) => {
                self.findings.add(node.position, format!("'{key}' is '{text}'"), help);
                None
            }
        }
    }

    /// Reads a decimal number in a range, or returns `default` if the key is missing.
    pub fn decimal_or(&self, key: &'static str, range: RangeInclusive<f64>, default: f64) -> f64 {
        let Some(node) = self.get(key) else { return default };
        let help = format!("write a number from {} to {}", range.start(), range.end());
        let Some(text) = self.scalar(key, node, &help) else { return default };
        match text.parse::<f64>() {
            Ok(number) if range.contains(&number) => number,
            _ => {
                self.findings.add(node.position, format!("'{key}' is '{text}'"), help);
                default
            }
        }
    }

    /// Reads a whole number that may be negative, or returns `default` if the key is missing.
    pub fn signed_or(&self, key: &'static str, range: RangeInclusive<i64>, default: i64) -> i64 {
        let Some(node) = self.get(key) else { return default };
        let help = format!("write a whole number from {} to {}", range.start(), range.end());
        let Some(text) = self.scalar(key, node, &help) else { return default };
        match text.parse::<i64>() {
            Ok(number) if range.contains(&number) => number,
            _ => {
                self.findings.add(node.position, format!("'{key}' is '{text}'"), help);
                default
            }
        }
    }

    /// Reads a required address `ip:port`.
    pub fn address(&self, key: &'static str) -> SocketAddr {
        let help = "write ip:port, such as 127.0.0.1:7101";
        let node = self.required(key, help);
        node.and_then(|node| self.address_at(key, node)).unwrap_or(([127, 0, 0, 1], 0).into())
    }

    /// Reads an optional address `ip:port`.
    pub fn optional_address(&self, key: &'static str) -> Option<SocketAddr> {
        let node = self.get(key)?;
        self.address_at(key, node)
    }

    fn address_at(&self, key: &str, node: &'a Node) -> Option<SocketAddr> {
        let help = "write ip:port, such as 127.0.0.1:7101";
        let text = self.scalar(key, node, help)?;
        let address = text.parse().ok();
        if address.is_none() {
            self.findings.add(node.position, format!("'{key}' is '{text}', not an address"), help);
        }
        address
    }

    /// Reads a required choice; the first choice is the placeholder after a finding.
    pub fn choice<T: Copy>(&self, key: &'static str, choices: &[(&str, T)]) -> T {
        let help = choice_help(choices);
        let node = self.required(key, &help);
        node.and_then(|node| self.choice_at(key, node, choices)).unwrap_or(choices[0].1)
    }

    /// Reads a choice, or returns `default` if the key is missing.
    pub fn choice_or<T: Copy>(&self, key: &'static str, choices: &[(&str, T)], default: T) -> T {
        let node = self.get(key);
        node.and_then(|node| self.choice_at(key, node, choices)).unwrap_or(default)
    }

    fn choice_at<T: Copy>(&self, key: &str, node: &'a Node, choices: &[(&str, T)]) -> Option<T> {
        let help = choice_help(choices);
        let text = self.scalar(key, node, &help)?;
        let found = choices.iter().find(|(name, _)| *name == text).map(|(_, value)| *value);
        if found.is_none() {
            self.findings.add(node.position, format!("'{key}' is '{text}'"), help);
        }
        found
    }

    /// Returns the items of a list, or none if the key is missing.
    pub fn list(&self, key: &'static str) -> &'a [Node] {
        let Some(node) = self.get(key) else { return &[] };
        match &node.value {
            Value::List(items) => items,
            _ => {
                let message = format!("'{key}' must be a list");
                self.findings.add(node.position, message, "write '- item' lines or [a, b]");
                &[]
            }
        }
    }

    /// Returns the items of a required, non-empty list.
    pub fn required_list(&self, key: &'static str) -> &'a [Node] {
        if self.required(key, "add it with at least one '- item'").is_none() {
            return &[];
        }
        let items = self.list(key);
        if items.is_empty() {
            let message = format!("'{key}' is an empty list");
            self.findings.add(self.position, message, "write at least one '- item'");
        }
        items
    }

    /// Reads a list of strings, or returns none if the key is missing.
    pub fn strings(&self, key: &'static str) -> Vec<String> {
        let nodes = self.list(key).iter();
        nodes
            .filter_map(|node| self.scalar(key, node, "write a list of strings"))
            .map(str::to_owned)
            .collect()
    }

    /// Reads a required mapping.
    pub fn map(&self, key: &'static str) -> Option<Reader<'a>> {
        let node = self.required(key, "write it as a mapping")?;
        Some(Reader::new(node, self.findings))
    }

    /// Reads an optional mapping.
    pub fn optional_map(&self, key: &'static str) -> Option<Reader<'a>> {
        self.get(key).map(|node| Reader::new(node, self.findings))
    }

    /// Reads a mapping with arbitrary keys and string values, such as labels.
    pub fn string_map(&self, key: &'static str) -> Vec<(String, String)> {
        let Some(node) = self.get(key) else { return Vec::new() };
        let reader = Reader::new(node, self.findings);
        let help = "write 'key: value' with a single value";
        let texts = reader.pairs.iter().filter_map(|pair| {
            let text = reader.scalar(&pair.key, &pair.node, help)?;
            Some((pair.key.clone(), text.to_owned()))
        });
        texts.collect()
    }

    /// Reports every key that has not been read as unknown.
    pub fn finish(&self) {
        let known = self.known_keys.borrow();
        for pair in self.pairs {
            if known.contains(&pair.key.as_str()) {
                continue;
            }
            let message = format!("unknown key '{}'", pair.key);
            self.findings.add(pair.position, message, unknown_key_help(&pair.key, &known));
        }
    }
}

fn choice_help<T>(choices: &[(&str, T)]) -> String {
    let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
    format!("write one of {}", names.join(", "))
}

fn unknown_key_help(key: &str, known: &[&str]) -> String {
    let nearest = known.iter().min_by_key(|candidate| distance(key, candidate));
    match nearest {
        Some(nearest) if distance(key, nearest) <= 2 => format!("did you mean '{nearest}'?"),
        _ => {
            let mut names = known.to_vec();
            names.sort_unstable();
            names.dedup();
            format!("remove it, or use one of {}", names.join(", "))
        }
    }
}

/// Returns the Levenshtein distance of two strings.
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, ca) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, cb) in b.iter().enumerate() {
            let replace = diagonal + usize::from(ca != *cb);
            diagonal = row[j + 1];
            row[j + 1] = replace.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}

/// Reads an optional value with `parse`; an error of `parse` becomes a finding at the value.
pub fn parsed<T, E: Display>(
    reader: &Reader<'_>,
    key: &'static str,
    parse: impl Fn(&str) -> Result<T, E>,
    help: &str,
) -> Option<T> {
    let node = reader.get(key)?;
    let text = reader.scalar(key, node, help)?;
    match parse(text) {
        Ok(value) => Some(value),
        Err(error) => {
            reader.findings.add(node.position, error.to_string(), help);
            None
        }
    }
}
