//! The pooler as a process on real sockets, against fake servers, fake discovery and scripted clients.

#[path = "../support/mod.rs"]
mod support;

mod cancellation;
mod client_disconnects;
mod configuration_errors;
mod connection_limits;
mod deadlines;
mod discovery;
mod freshness;
mod malformed_input;
mod proxying;
mod reload;
mod server_connections;
mod shutdown;
mod writes;
