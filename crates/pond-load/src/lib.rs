//! pond-load.
