//! pond-control.
