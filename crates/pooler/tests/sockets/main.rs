//! Tests of the pooler as a process on loopback sockets, with fake servers, fake discovery services and
//! scripted clients.

#[path = "../support/mod.rs"]
mod support;

mod cancellation;
mod client_disconnects;
mod configuration_errors;
mod connection_limits;
mod deadlines;
mod discovery;
mod flooding;
mod freshness;
mod malformed_input;
mod proxying;
mod reload;
mod repeated_ids;
mod server_connections;
mod shutdown;
mod status_report;
mod writes;
