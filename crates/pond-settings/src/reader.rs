//! Reads typed values out of a tree and reports what does not fit.
//!
//! A method returns a usable stand-in value when it has reported a finding, so that reading goes
//! on and the other findings come in the same report.

use std::cell::RefCell;
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use crate::finding::Place;
use crate::tree::Pair;
use crate::{Findings, Node, Value};

/// Reads one mapping.
pub struct Reader<'a> {
    place: Place,
    pairs: &'a [Pair],
    findings: &'a Findings,
    asked: RefCell<Vec<&'static str>>,
}

impl<'a> Reader<'a> {
    /// A reader of a mapping; anything else is a finding and reads as an empty mapping.
    pub fn new(node: &'a Node, findings: &'a Findings) -> Reader<'a> {
        let pairs: &[Pair] = match &node.value {
            Value::Map(pairs) => pairs,
            _ => {
                findings.add(node.place, "a mapping is needed here", "write 'key: value' lines");
                &[]
            }
        };
        Reader { place: node.place, pairs, findings, asked: RefCell::default() }
    }

    /// Where the mapping starts.
    pub fn place(&self) -> Place {
        self.place
    }

    /// The findings that this reader reports to.
    pub fn findings(&self) -> &'a Findings {
        self.findings
    }

    /// Whether the key is there.
    pub fn has(&self, key: &str) -> bool {
        self.pairs.iter().any(|pair| pair.key == key)
    }

    /// The value of a key, if it is there; from now on the key is known.
    pub fn get(&self, key: &'static str) -> Option<&'a Node> {
        self.asked.borrow_mut().push(key);
        self.pairs.iter().find(|pair| pair.key == key).map(|pair| &pair.node)
    }

    fn need(&self, key: &'static str, help: &str) -> Option<&'a Node> {
        let node = self.get(key);
        if node.is_none() {
            self.findings.add(self.place, format!("'{key}' is missing"), help);
        }
        node
    }

    fn scalar(&self, key: &str, node: &'a Node, help: &str) -> Option<&'a str> {
        match &node.value {
            Value::Text(text) => Some(text),
            _ => {
                self.findings.add(node.place, format!("'{key}' is not a single value"), help);
                None
            }
        }
    }

    /// A text that must be there and not be empty.
    pub fn text(&self, key: &'static str) -> String {
        let help = format!("write '{key}: text'");
        let Some(node) = self.need(key, &help) else { return String::new() };
        let text = self.scalar(key, node, &help).unwrap_or_default();
        if text.is_empty() && matches!(node.value, Value::Text(_)) {
            self.findings.add(node.place, format!("'{key}' is empty"), help);
        }
        text.to_owned()
    }

    /// A text, or none where the key is missing.
    pub fn text_opt(&self, key: &'static str) -> Option<String> {
        self.has(key).then(|| self.text(key))
    }

    /// A name: letters, digits, '-', '_' and '.', at most 63 of them.
    pub fn name(&self, key: &'static str) -> String {
        let text = self.text(key);
        let fits = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if !text.is_empty() && (text.len() > 63 || !text.chars().all(fits)) {
            let place = self.get(key).map_or(self.place, |node| node.place);
            let help = "use at most 63 letters, digits, '-', '_' and '.'";
            self.findings.add(place, format!("'{text}' is no name"), help);
        }
        text
    }

    /// A whole number in a range that must be there.
    pub fn number(&self, key: &'static str, range: RangeInclusive<u64>) -> u64 {
        let help = format!("write a whole number from {} to {}", range.start(), range.end());
        let Some(node) = self.need(key, &help) else { return *range.start() };
        let start = *range.start();
        self.number_at(key, node, range).unwrap_or(start)
    }

    /// A whole number in a range, or `default` where the key is missing.
    pub fn number_or(&self, key: &'static str, range: RangeInclusive<u64>, default: u64) -> u64 {
        let Some(node) = self.get(key) else { return default };
        self.number_at(key, node, range).unwrap_or(default)
    }

    /// A whole number in a range, or none where the key is missing.
    pub fn number_opt(&self, key: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let node = self.get(key)?;
        self.number_at(key, node, range)
    }

    fn number_at(&self, key: &str, node: &'a Node, range: RangeInclusive<u64>) -> Option<u64> {
        let help = format!("write a whole number from {} to {}", range.start(), range.end());
        let text = self.scalar(key, node, &help)?;
        match text.replace('_', "").parse::<u64>() {
            Ok(number) if range.contains(&number) => Some(number),
            Ok(number) => {
                self.findings.add(node.place, format!("'{key}' is {number}"), help);
                None
            }
            Err(_) => {
                self.findings.add(node.place, format!("'{key}' is '{text}'"), help);
                None
            }
        }
    }

    /// A decimal number in a range, or `default` where the key is missing.
    pub fn decimal_or(&self, key: &'static str, range: RangeInclusive<f64>, default: f64) -> f64 {
        let Some(node) = self.get(key) else { return default };
        let help = format!("write a number from {} to {}", range.start(), range.end());
        let Some(text) = self.scalar(key, node, &help) else { return default };
        match text.parse::<f64>() {
            Ok(number) if range.contains(&number) => number,
            _ => {
                self.findings.add(node.place, format!("'{key}' is '{text}'"), help);
                default
            }
        }
    }

    /// A whole number that may be negative, or `default` where the key is missing.
    pub fn signed_or(&self, key: &'static str, range: RangeInclusive<i64>, default: i64) -> i64 {
        let Some(node) = self.get(key) else { return default };
        let help = format!("write a whole number from {} to {}", range.start(), range.end());
        let Some(text) = self.scalar(key, node, &help) else { return default };
        match text.parse::<i64>() {
            Ok(number) if range.contains(&number) => number,
            _ => {
                self.findings.add(node.place, format!("'{key}' is '{text}'"), help);
                default
            }
        }
    }

    /// An address `ip:port` that must be there.
    pub fn address(&self, key: &'static str) -> SocketAddr {
        let help = "write ip:port, such as 127.0.0.1:7101";
        let node = self.need(key, help);
        node.and_then(|node| self.address_at(key, node)).unwrap_or(([127, 0, 0, 1], 0).into())
    }

    /// An address `ip:port`, or none where the key is missing.
    pub fn address_opt(&self, key: &'static str) -> Option<SocketAddr> {
        let node = self.get(key)?;
        self.address_at(key, node)
    }

    fn address_at(&self, key: &str, node: &'a Node) -> Option<SocketAddr> {
        let help = "write ip:port, such as 127.0.0.1:7101";
        let text = self.scalar(key, node, help)?;
        let address = text.parse().ok();
        if address.is_none() {
            self.findings.add(node.place, format!("'{key}' is '{text}', no address"), help);
        }
        address
    }

    /// One of some words that must be there; the first stands in after a finding.
    pub fn choice<T: Copy>(&self, key: &'static str, choices: &[(&str, T)]) -> T {
        let help = choice_help(choices);
        let node = self.need(key, &help);
        node.and_then(|node| self.choice_at(key, node, choices)).unwrap_or(choices[0].1)
    }

    /// One of some words, or `default` where the key is missing.
    pub fn choice_or<T: Copy>(&self, key: &'static str, choices: &[(&str, T)], default: T) -> T {
        let node = self.get(key);
        node.and_then(|node| self.choice_at(key, node, choices)).unwrap_or(default)
    }

    fn choice_at<T: Copy>(&self, key: &str, node: &'a Node, choices: &[(&str, T)]) -> Option<T> {
        let help = choice_help(choices);
        let text = self.scalar(key, node, &help)?;
        let found = choices.iter().find(|(word, _)| *word == text).map(|(_, value)| *value);
        if found.is_none() {
            self.findings.add(node.place, format!("'{key}' is '{text}'"), help);
        }
        found
    }

    /// The items of a list; none where the key is missing.
    pub fn list(&self, key: &'static str) -> &'a [Node] {
        let Some(node) = self.get(key) else { return &[] };
        match &node.value {
            Value::List(items) => items,
            _ => {
                let message = format!("'{key}' is not a list");
                self.findings.add(node.place, message, "write '- item' lines or [a, b]");
                &[]
            }
        }
    }

    /// The items of a list that must be there and not be empty.
    pub fn list_needed(&self, key: &'static str) -> &'a [Node] {
        if self.need(key, "write it with at least one '- item'").is_none() {
            return &[];
        }
        let items = self.list(key);
        if items.is_empty() {
            let message = format!("'{key}' has no item");
            self.findings.add(self.place, message, "write at least one '- item'");
        }
        items
    }

    /// The texts of a list; none where the key is missing.
    pub fn texts(&self, key: &'static str) -> Vec<String> {
        let nodes = self.list(key).iter();
        nodes
            .filter_map(|node| self.scalar(key, node, "write a list of words"))
            .map(str::to_owned)
            .collect()
    }

    /// A mapping that must be there.
    pub fn map(&self, key: &'static str) -> Option<Reader<'a>> {
        let node = self.need(key, "write it as a mapping")?;
        Some(Reader::new(node, self.findings))
    }

    /// A mapping, or none where the key is missing.
    pub fn map_opt(&self, key: &'static str) -> Option<Reader<'a>> {
        self.get(key).map(|node| Reader::new(node, self.findings))
    }

    /// The keys and texts of a mapping of free keys, such as labels.
    pub fn words(&self, key: &'static str) -> Vec<(String, String)> {
        let Some(node) = self.get(key) else { return Vec::new() };
        let reader = Reader::new(node, self.findings);
        let help = "write 'key: value' with a single value";
        let texts = reader.pairs.iter().filter_map(|pair| {
            let text = reader.scalar(&pair.key, &pair.node, help)?;
            Some((pair.key.clone(), text.to_owned()))
        });
        texts.collect()
    }

    /// Reports every key that nothing has asked for.
    pub fn finish(&self) {
        let asked = self.asked.borrow();
        for pair in self.pairs {
            if asked.contains(&pair.key.as_str()) {
                continue;
            }
            let message = format!("unknown key '{}'", pair.key);
            self.findings.add(pair.place, message, unknown_help(&pair.key, &asked));
        }
    }
}

fn choice_help<T>(choices: &[(&str, T)]) -> String {
    let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
    format!("write one of {}", words.join(", "))
}

fn unknown_help(key: &str, known: &[&str]) -> String {
    let nearest = known.iter().min_by_key(|word| distance(key, word));
    match nearest {
        Some(word) if distance(key, word) <= 2 => format!("did you mean '{word}'?"),
        _ => {
            let mut words = known.to_vec();
            words.sort_unstable();
            words.dedup();
            format!("remove it, or use one of {}", words.join(", "))
        }
    }
}

/// The edit distance of two words.
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

/// Reads a value with `parse` and reports what it says at the value's place.
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
            reader.findings.add(node.place, error.to_string(), help);
            None
        }
    }
}
