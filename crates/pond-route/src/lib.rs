//! pond-route.
