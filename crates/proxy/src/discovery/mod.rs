//! Discovery: watching the platform's endpoint list, and the directory of all endpoints by all sources.

pub mod endpoint_directory;
pub mod http;
pub mod watch;
