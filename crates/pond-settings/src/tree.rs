//! A YAML document as a tree whose nodes keep their positions.

use saphyr_parser::{Event, Parser, Span};

use crate::Findings;
use crate::finding::Position;

/// Maximum nesting depth of lists and mappings.
const MAX_DEPTH: usize = 32;

/// A value with its position.
#[derive(Clone, Debug)]
pub struct Node {
    /// Position where it starts.
    pub position: Position,
    /// Value.
    pub value: Value,
}

/// The value of a node.
#[derive(Clone, Debug)]
pub enum Value {
    /// A scalar in its written form.
    Text(String),
    /// A list.
    List(Vec<Node>),
    /// A mapping, in the order of the file.
    Map(Vec<Pair>),
}

/// A key-value pair of a mapping.
#[derive(Clone, Debug)]
pub struct Pair {
    /// Key.
    pub key: String,
    /// Position where the key starts.
    pub position: Position,
    /// Value.
    pub node: Node,
}

/// Parses a text with a single document.
///
/// Duplicate keys, aliases, a second document and excessive depth are findings. Returns `None` if
/// the text is not valid YAML, exceeds the depth or contains no document.
pub fn parse(text: &str, findings: &Findings) -> Option<Node> {
    let mut builder = Builder::new(findings);
    let mut parser = Parser::new_from_str(text);
    while let Some(event) = parser.next_event() {
        match event {
            Ok((event, span)) => builder.handle(event, span),
            Err(error) => {
                let mark = error.marker();
                let position = Position { line: mark.line(), column: mark.col() + 1 };
                findings.add(position, error.info(), "write valid YAML here");
                return None;
            }
        }
        if builder.stopped {
            return None;
        }
    }
    if builder.root.is_none() {
        findings.add(Position { line: 1, column: 1 }, "the file is empty", "write a document");
    }
    builder.root
}

/// A list or mapping whose end has not been parsed yet.
enum OpenNode {
    List { position: Position, items: Vec<Node> },
    Map { position: Position, pairs: Vec<Pair>, key: Option<(String, Position)> },
}

/// Builds the tree from parser events.
struct Builder<'a> {
    findings: &'a Findings,
    open: Vec<OpenNode>,
    root: Option<Node>,
    stopped: bool,
}

impl<'a> Builder<'a> {
    fn new(findings: &'a Findings) -> Builder<'a> {
        Builder { findings, open: Vec::new(), root: None, stopped: false }
    }

    fn handle(&mut self, event: Event<'_>, span: Span) {
        let position = Position { line: span.start.line(), column: span.start.col() + 1 };
        match event {
            Event::Scalar(text, ..) => self.text(text.into_owned(), position),
            Event::SequenceStart(..) => {
                self.push(OpenNode::List { position, items: Vec::new() }, position)
            }
            Event::MappingStart(..) => {
                self.push(OpenNode::Map { position, pairs: Vec::new(), key: None }, position);
            }
            Event::SequenceEnd | Event::MappingEnd => self.close(),
            Event::Alias(_) => {
                self.findings.add(position, "aliases are not supported", "repeat the value");
                self.text(String::new(), position);
            }
            Event::DocumentStart(_) if self.root.is_some() => {
                self.findings.add(
                    position,
                    "second document in the file",
                    "keep one document per file",
                );
                self.stopped = true;
            }
            _ => {}
        }
    }

    fn push(&mut self, open: OpenNode, position: Position) {
        if self.open.len() >= MAX_DEPTH {
            self.findings.add(position, "nested too deeply", "use fewer levels");
            self.stopped = true;
            return;
        }
        self.open.push(open);
    }

    fn text(&mut self, text: String, position: Position) {
        if let Some(OpenNode::Map { key: key @ None, .. }) = self.open.last_mut() {
            *key = Some((text, position));
            return;
        }
        self.add(Node { position, value: Value::Text(text) });
    }

    fn close(&mut self) {
        let node = match self.open.pop() {
            Some(OpenNode::List { position, items }) => {
                Node { position, value: Value::List(items) }
            }
            Some(OpenNode::Map { position, pairs, .. }) => {
                Node { position, value: Value::Map(pairs) }
            }
            None => return,
        };
        self.add(node);
    }

    fn add(&mut self, node: Node) {
        match self.open.last_mut() {
            None => self.root = Some(node),
            Some(OpenNode::List { items, .. }) => items.push(node),
            Some(OpenNode::Map { pairs, key, .. }) => {
                let Some((key, position)) = key.take() else {
                    self.findings.add(
                        node.position,
                        "a key must be a scalar",
                        "use a plain string as key",
                    );
                    self.stopped = true;
                    return;
                };
                if pairs.iter().any(|pair| pair.key == key) {
                    let message = format!("duplicate key '{key}'");
                    self.findings.add(position, message, "keep one of them");
                }
                pairs.push(Pair { key, position, node });
            }
        }
    }
}
