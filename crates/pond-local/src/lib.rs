//! pond-local.
