//! The server side of the proxy: connections to endpoints, query exchanges on them, and health checks.

mod attempt;
mod connection;
mod connection_limit;
mod exchange;
pub mod health_checks;
pub mod pool;
mod response;
mod sqlstate;
pub mod statement;
