//! Configuration reload on SIGHUP: reads the configuration again, and switches the streams of the
//! endpoint list and the rollout status, and the connection for votes, to its addresses.
//!
//! Only addresses change. The endpoint list and the rollout status are kept, and an invalid
//! configuration changes nothing.

use std::path::Path;

use crate::config;
use crate::context::IoContext;
use crate::discovery::Discovery;
use crate::log_lines::{self, AddressChanges};
use crate::rollout_status::RolloutStatusStream;
use crate::votes::Votes;

/// The components whose addresses a new configuration can change.
pub struct ReloadTargets<'a> {
    /// The stream of the endpoint list.
    pub discovery: &'a mut Discovery,
    /// The stream of the rollout status.
    pub rollout_status: &'a mut RolloutStatusStream,
    /// The connection for votes.
    pub votes: &'a mut Votes,
}

/// Applies the addresses of the configuration file at `path` if the file is valid.
pub fn reload(path: &Path, targets: ReloadTargets<'_>, context: &mut IoContext) {
    let config = match config::read_file(path) {
        Ok(config) => config,
        Err(error) => {
            log_lines::configuration_rejected(&context.log, &error);
            return;
        }
    };
    let changes = AddressChanges {
        discovery: targets.discovery.change_address(config.discovery, context),
        platform: targets
            .rollout_status
            .change_address(config.platform, context),
    };
    targets.votes.change_address(config.platform, context);
    log_lines::configuration_reloaded(&context.log, changes);
}
