//! Discovery: the watch on the platform's endpoint list, and the directory of the endpoints from all sources.

pub mod address;
pub mod backoff;
pub mod endpoint_directory;
pub mod endpoint_list;
pub mod http;
pub mod json_stream;
pub mod repeated_call;
pub mod watch;
mod watch_connection;
