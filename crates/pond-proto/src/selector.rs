//! Selectors over labels.

use std::fmt;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::Labels;

/// How a term compares a label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
pub enum Operator {
    /// The label is there and its value is one of the term's.
    In,
    /// The label is missing or its value is none of the term's.
    NotIn,
    /// The label is there.
    Exists,
    /// The label is missing.
    DoesNotExist,
}

impl Operator {
    /// All operators, in the order of the documentation.
    pub const ALL: [Operator; 4] =
        [Operator::In, Operator::NotIn, Operator::Exists, Operator::DoesNotExist];

    /// The operator's name in unit files.
    pub fn as_str(self) -> &'static str {
        match self {
            Operator::In => "In",
            Operator::NotIn => "NotIn",
            Operator::Exists => "Exists",
            Operator::DoesNotExist => "DoesNotExist",
        }
    }

    /// Whether the operator compares values.
    pub fn takes_values(self) -> bool {
        matches!(self, Operator::In | Operator::NotIn)
    }
}

/// One condition on one label.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
pub struct Term {
    /// The label's key.
    pub key: String,
    /// How it is compared.
    pub operator: Operator,
    /// The values for `In` and `NotIn`; empty for the others.
    #[serde(default)]
    pub values: Vec<String>,
}

impl Term {
    /// Whether the labels meet the condition.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.matches_value(labels.get(&self.key).map(String::as_str))
    }

    /// Whether a label with that value, or none, meets the condition.
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

/// Conditions that must all hold; none at all matches everything.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
pub struct Selector {
    /// The conditions.
    pub terms: Vec<Term>,
}

impl Selector {
    /// A selector for one key with one value.
    pub fn equals(key: &str, value: &str) -> Selector {
        let term =
            Term { key: key.to_owned(), operator: Operator::In, values: vec![value.to_owned()] };
        Selector { terms: vec![term] }
    }

    /// Whether the labels meet every condition.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.terms.iter().all(|term| term.matches(labels))
    }

    /// Whether there is no condition.
    pub fn is_empty(&self) -> bool {
        self.terms.is_empty()
    }

    /// Reads the command line's form: `key=a|b,key!=c,key,!key`.
    ///
    /// # Errors
    /// The part that could not be read, with what was expected.
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
