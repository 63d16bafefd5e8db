//! The server side: connections to endpoints, the exchanges on them, and health checks.

pub mod health_checks;
pub mod pool;
