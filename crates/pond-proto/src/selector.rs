//! Label selectors.

use std::fmt;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::Labels;

/// The comparison that a term applies to a label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
pub enum Operator {
    /// The label is present and its value is one of the term's values.
    In,
    /// The label is absent or its value is none of the term's values.
    NotIn,
    /// The label is present.
    Exists,
    /// The label is absent.
    DoesNotExist,
}

impl Operator {
    /// All operators, in the order of the documentation.
    pub const ALL: [Operator; 4] =
        [Operator::In, Operator::NotIn, Operator::Exists, Operator::DoesNotExist];

    /// Returns the operator's name in unit files.
    pub fn as_str(self) -> &'static str {
        match self {
            Operator::In => "In",
            Operator::NotIn => "NotIn",
            Operator::Exists => "Exists",
            Operator::DoesNotExist => "DoesNotExist",
        }
    }

    /// Returns whether the operator compares values.
    pub fn takes_values(self) -> bool {
        matches!(self, Operator::In | Operator::NotIn)
    }
}

/// A condition on one label.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
pub struct Term {
    /// Key of the label.
    pub key: String,
    /// Comparison to apply.
    pub operator: Operator,
    /// Values for `In` and `NotIn`; empty for the other operators.
    #[serde(default)]
    pub values: Vec<String>,
}

impl Term {
    /// Returns whether the labels satisfy the condition.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.matches_value(labels.get(&self.key).map(String::as_str))
    }

    /// Returns whether a label with the given value, or an absent label for `None`, satisfies the
    /// condition.
    pub fn matches_value(&self, value: Option<&str>) -> bool {
        let among = |value: &str| self.values.iter().any(|other| other == value);
        match self.operator {
            Operator::In => value.is_some_and(among),
            Operator::NotIn => !value.is_some_and(among),
            Operator::Exists => value.is_some(),
            Operator::DoesNotExist => value.is_none(),
        }
    }
}

/// A conjunction of conditions; an empty selector matches everything.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
pub struct Selector {
    /// Conditions that must all hold.
    pub terms: Vec<Term>,
}

impl Selector {
    /// Creates a selector that requires one value for one key.
    pub fn equals(key: &str, value: &str) -> Selector {
        let term =
            Term { key: key.to_owned(), operator: Operator::In, values: vec![value.to_owned()] };
        Selector { terms: vec![term] }
    }

    /// Returns whether the labels satisfy every condition.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.terms.iter().all(|term| term.matches(labels))
    }

    /// Returns whether the selector has no conditions.
    pub fn is_empty(&self) -> bool {
        self.terms.is_empty()
    }

    /// Parses the command-line syntax: `key=a|b,key!=c,key,!key`.
    ///
    /// # Errors
    /// Returns a message with the part that could not be parsed and the expected syntax.
    pub fn parse(text: &str) -> Result<Selector, String> {
        let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
        let terms = parts.map(parse_term).collect::<Result<Vec<_>, _>>()?;
        Ok(Selector { terms })
    }
}

fn parse_term(part: &str) -> Result<Term, String> {
    let (key, operator, values) = if let Some((key, values)) = part.split_once("!=") {
        (key, Operator::NotIn, values)
    } else if let Some((key, values)) = part.split_once('=') {
        (key, Operator::In, values)
    } else if let Some(key) = part.strip_prefix('!') {
        (key, Operator::DoesNotExist, "")
    } else {
        (part, Operator::Exists, "")
    };
    let values: Vec<String> =
        values.split('|').filter(|v| !v.is_empty()).map(str::to_owned).collect();
    if key.is_empty() || (operator.takes_values() && values.is_empty()) {
        return Err(format!("'{part}' is not key=value, key!=value, key or !key"));
    }
    Ok(Term { key: key.to_owned(), operator, values })
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.terms.is_empty() {
            return f.write_str("everything");
        }
        for (i, term) in self.terms.iter().enumerate() {
            if i > 0 {
                f.write_str(",")?;
            }
            match term.operator {
                Operator::In => write!(f, "{}={}", term.key, term.values.join("|"))?,
                Operator::NotIn => write!(f, "{}!={}", term.key, term.values.join("|"))?,
                Operator::Exists => f.write_str(&term.key)?,
                Operator::DoesNotExist => write!(f, "!{}", term.key)?,
            }
        }
        Ok(())
    }
}
