//! The commands of the command line, one module for each.

pub mod check;
pub mod list_endpoints;
pub mod run;
