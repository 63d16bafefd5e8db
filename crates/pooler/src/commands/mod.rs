//! The commands, one module each.

pub mod check;
pub mod list_endpoints;
pub mod run;
