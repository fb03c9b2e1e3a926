//! The wire format of votes and of the responses to them. No I/O.

use tidescale_policy::types::{Ballot, Vote, VoteResult};

use crate::rollout_status::StatusMessage;

/// A response to a vote.
#[derive(Clone, Debug, PartialEq)]
pub struct VoteResponse {
    /// The result of the vote.
    pub result: VoteResult,
    /// The rollout status, which the response to an accepted vote contains.
    pub rollout_status: Option<StatusMessage>,
}

impl VoteResponse {
    fn without_status(result: VoteResult) -> VoteResponse {
        VoteResponse {
            result,
            rollout_status: None,
        }
    }
}

/// Encodes a vote as a URL-encoded form.
pub(super) fn encode_form(ballot: Ballot) -> String {
    let Ballot { build, stage, vote } = ballot;
    let vote_name = match vote {
        Vote::Abstain => "clear",
        Vote::Advance => "approve",
        Vote::Hold => "wait",
        Vote::RollBack => "reject",
    };
    form_urlencoded::Serializer::new(String::new())
        .append_pair("Action", "RecordOpinion")
        .append_pair("version", &build.to_string())
        .append_pair("step", &stage.to_string())
        .append_pair("vote", vote_name)
        .finish()
}

/// Parses a response from its HTTP status code and its XML body; `None` if it is invalid.
pub fn parse_response(status: u16, body: &[u8]) -> Option<VoteResponse> {
    let text = std::str::from_utf8(body).ok()?;
    let document = roxmltree::Document::parse(text).ok()?;
    let text_of = |name: &str| {
        document
            .descendants()
            .find(|node| node.has_tag_name(name))
            .and_then(|node| node.text())
    };
    match (status, text_of("Code")) {
        (200, _) => Some(VoteResponse {
            result: VoteResult::Accepted,
            rollout_status: Some(StatusMessage::from_fields(text_of)?),
        }),
        (400, Some("Throttling")) => Some(VoteResponse::without_status(VoteResult::Busy)),
        (400, Some("ConditionFailed")) => {
            Some(VoteResponse::without_status(VoteResult::Superseded))
        }
        (500, Some("InternalFailure")) | (400, Some("ValidationError")) => {
            Some(VoteResponse::without_status(VoteResult::Failed))
        }
        _ => None,
    }
}
