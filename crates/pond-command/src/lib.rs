//! pond-command.
