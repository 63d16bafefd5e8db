//! The life of a request, from when it is submitted to the router to its one final response. The protocol is the
//! [`AttemptTransport`]'s concern.

mod attempt;
mod client_request;
mod final_response;
mod serve;

pub use attempt::{AttemptContext, AttemptResult, AttemptTransport};
pub use client_request::{AbortReason, ClientRequest};
pub use final_response::FinalResponse;
pub use serve::serve;
