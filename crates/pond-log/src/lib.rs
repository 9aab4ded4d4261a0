//! pond-log.
