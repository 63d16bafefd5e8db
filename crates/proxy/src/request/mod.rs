//! Serves requests, from their submission to the router to their one final response. Independent of the wire
//! protocol, which an [`AttemptTransport`] implements.

mod attempt;
mod client_request;
mod final_response;
mod serve;

pub use attempt::{AttemptContext, AttemptResult, AttemptTransport};
pub use client_request::{AbortReason, ClientRequest};
pub use final_response::FinalResponse;
pub use serve::serve;
