//! Codecs: bytes and text in, typed values out, however the input is split.

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
