//! Decoding and encoding of protocol messages, HTTP responses, configurations and statements. Where
//! input arrives in parts, the result must not depend on where it is split.

#[path = "../common/limited_writer.rs"]
mod limited_writer;

mod configuration;
mod endpoint_responses;
mod http_responses;
mod message_bodies;
mod message_chain;
mod message_framing;
mod message_types;
mod rollout_status;
mod statements;
mod votes;
