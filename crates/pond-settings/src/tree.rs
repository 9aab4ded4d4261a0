//! A YAML document as a tree in which every value knows its place.

use saphyr_parser::{Event, Parser, Span};

use crate::Findings;
use crate::finding::Place;

/// How deep lists and mappings may be nested.
const DEPTH_LIMIT: usize = 32;

/// One value with its place.
#[derive(Clone, Debug)]
pub struct Node {
    /// Where it starts.
    pub place: Place,
    /// What it is.
    pub value: Value,
}

/// The value of a node.
#[derive(Clone, Debug)]
pub enum Value {
    /// A scalar as it is written.
    Text(String),
    /// A list.
    List(Vec<Node>),
    /// A mapping, in the order of the file.
    Map(Vec<Pair>),
}

/// One key of a mapping and its value.
#[derive(Clone, Debug)]
pub struct Pair {
    /// The key.
    pub key: String,
    /// Where the key starts.
    pub place: Place,
    /// The value.
    pub node: Node,
}

/// Reads the first document of a text.
///
/// Duplicate keys, aliases and depth beyond the limit are findings. None if the text is not YAML
/// or holds no document.
pub fn parse(text: &str, findings: &Findings) -> Option<Node> {
    let mut builder = Builder::new(findings);
    let mut parser = Parser::new_from_str(text);
    while let Some(event) = parser.next_event() {
        match event {
            Ok((event, span)) => builder.take(event, span),
            Err(error) => {
                let mark = error.marker();
                let place = Place { line: mark.line(), column: mark.col() + 1 };
                findings.add(place, error.info(), "write valid YAML here");
                return None;
            }
        }
        if builder.stopped {
            return None;
        }
    }
    if builder.root.is_none() {
        findings.add(Place { line: 1, column: 1 }, "the file is empty", "write a document");
    }
    builder.root
}

/// A list or mapping that is still open.
enum Open {
    List { place: Place, items: Vec<Node> },
    Map { place: Place, pairs: Vec<Pair>, key: Option<(String, Place)> },
}

/// Builds the tree from the parser's events.
struct Builder<'a> {
    findings: &'a Findings,
    open: Vec<Open>,
    root: Option<Node>,
    stopped: bool,
}

impl<'a> Builder<'a> {
    fn new(findings: &'a Findings) -> Builder<'a> {
        Builder { findings, open: Vec::new(), root: None, stopped: false }
    }

    fn take(&mut self, event: Event<'_>, span: Span) {
        let place = Place { line: span.start.line(), column: span.start.col() + 1 };
        match event {
            Event::Scalar(text, ..) => self.text(text.into_owned(), place),
            Event::SequenceStart(..) => self.push(Open::List { place, items: Vec::new() }, place),
            Event::MappingStart(..) => {
                self.push(Open::Map { place, pairs: Vec::new(), key: None }, place);
            }
            Event::SequenceEnd | Event::MappingEnd => self.close(),
            Event::Alias(_) => {
                self.findings.add(place, "aliases are not supported", "write the value out");
                self.text(String::new(), place);
            }
            Event::DocumentStart(_) if self.root.is_some() => {
                self.findings.add(place, "a second document", "keep one document in a file");
                self.stopped = true;
            }
            _ => {}
        }
    }

    fn push(&mut self, open: Open, place: Place) {
        if self.open.len() >= DEPTH_LIMIT {
            self.findings.add(place, "nested too deep", "use fewer levels");
            self.stopped = true;
            return;
        }
        self.open.push(open);
    }

    fn text(&mut self, text: String, place: Place) {
        if let Some(Open::Map { key: key @ None, .. }) = self.open.last_mut() {
            *key = Some((text, place));
            return;
        }
        self.add(Node { place, value: Value::Text(text) });
    }

    fn close(&mut self) {
        let node = match self.open.pop() {
            Some(Open::List { place, items }) => Node { place, value: Value::List(items) },
            Some(Open::Map { place, pairs, .. }) => Node { place, value: Value::Map(pairs) },
            None => return,
        };
        self.add(node);
    }

    fn add(&mut self, node: Node) {
        match self.open.last_mut() {
            None => self.root = Some(node),
            Some(Open::List { items, .. }) => items.push(node),
            Some(Open::Map { pairs, key, .. }) => {
                let Some((key, place)) = key.take() else {
                    self.findings.add(node.place, "a key is not a word", "use a plain word as key");
                    self.stopped = true;
                    return;
                };
                if pairs.iter().any(|pair| pair.key == key) {
                    let message = format!("'{key}' is there twice");
                    self.findings.add(place, message, "keep one of them");
                }
                pairs.push(Pair { key, place, node });
            }
        }
    }
}
