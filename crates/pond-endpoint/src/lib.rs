//! pond-endpoint.
