//! Requests and answers with complete bodies.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};

/// A request with its complete body.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Address of the sender. `None` in a client, and in a server if the sender disconnected at once.
    pub peer: Option<SocketAddr>,
}

impl Call {
    /// Creates a request without headers.
    pub fn new(method: Method, path: &str, body: impl Into<Bytes>) -> Call {
        Call {
            method,
            path: path.to_owned(),
            headers: HeaderMap::new(),
            body: body.into(),
            peer: None,
        }
    }

    /// Sets the content type to JSON.
    pub fn with_json(mut self) -> Call {
        self.headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        self
    }

    /// Returns the value of a header, if it is there and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// An answer with its complete body.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl Reply {
    /// Creates an answer without headers.
    pub fn new(status: StatusCode, body: impl Into<Bytes>) -> Reply {
        Reply { status, headers: HeaderMap::new(), body: body.into() }
    }

    /// Creates an answer with a JSON body.
    pub fn json(status: StatusCode, value: &impl serde::Serialize) -> Reply {
        let body = serde_json::to_vec(value).unwrap_or_default();
        let json = HeaderValue::from_static("application/json");
        Reply::new(status, body).with_header(header::CONTENT_TYPE, json)
    }

    /// Adds a header.
    pub fn with_header(mut self, name: http::HeaderName, value: HeaderValue) -> Reply {
        self.headers.insert(name, value);
        self
    }

    /// Returns the value of a header, if it is there and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}
