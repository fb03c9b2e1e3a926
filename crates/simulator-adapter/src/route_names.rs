//! The names of an instance's routes.

use tidescale_policy::settings::Settings;
use tidescale_policy::types::RouteIndex;

use crate::error::AdapterError;

/// The names of the routes, by index.
pub struct RouteNames(Vec<String>);

impl RouteNames {
    /// Takes the names from the settings of an instance.
    pub fn from_settings(settings: &Settings) -> Self {
        let names = settings.routes.iter().map(|route| route.name.clone());
        RouteNames(names.collect())
    }

    /// Returns the index of the route with this name.
    pub fn index_of(&self, name: &str) -> Result<RouteIndex, AdapterError> {
        self.0
            .iter()
            .position(|route_name| route_name == name)
            .map(RouteIndex::new)
            .ok_or_else(|| AdapterError::UnknownRoute {
                name: name.to_string(),
            })
    }
}
