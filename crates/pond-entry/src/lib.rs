//! pond-entry.
