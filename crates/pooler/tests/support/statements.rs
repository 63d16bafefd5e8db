//! Statements with their request comments, as clients write them.

use pooler_proxy::protocol::write;

/// The deadline field in the comments of these statements: 8 s.
pub const DEADLINE_FIELD: &str = "d=8000";

/// An amount of pipelined requests, in bytes, that exceeds every read buffer of the pooler.
pub const BEYOND_READ_AHEAD_BYTES: usize = 600 * 1024;

/// A read that any replica may serve.
pub fn read_statement(id: &str) -> String {
    format!("SELECT content FROM kv WHERE name = 'm1' /* id={id},c=bundle-menu,{DEADLINE_FIELD},cluster=2 */")
}

/// A write of the class `top-up`, which is not retryable: the write must not run twice.
pub fn write_statement(id: &str) -> String {
    format!(
        "INSERT INTO kv (name, content) VALUES ('a1', '\\x9f03') RETURNING content \
         /* id={id},c=top-up,{DEADLINE_FIELD},cluster=2 */"
    )
}

/// Replaces the deadline of a statement that a function of this module has built.
pub fn with_deadline(statement: &str, milliseconds: u32) -> String {
    statement.replace(DEADLINE_FIELD, &format!("d={milliseconds}"))
}

/// The bytes of one Query message for each of these statements.
pub fn query_bytes(statements: impl IntoIterator<Item = impl AsRef<str>>) -> Vec<u8> {
    let mut out = Vec::new();
    for statement in statements {
        write::query(&mut out, statement.as_ref());
    }
    out
}

/// The bytes of a startup message, followed by `pipelined`.
pub fn startup_bytes(pipelined: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    write::startup_message(&mut out, "backend", "store");
    out.extend_from_slice(pipelined);
    out
}
