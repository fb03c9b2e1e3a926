//! Machines, builds, the platform, the list and clients in virtual time, at the module's own interface. Ranges are
//! this model's own; nothing in it is read off any deployment. The same seed gives the same trial, and the same
//! seed with another truth of the build is a paired one.

pub mod chance;
pub mod digest;
pub mod fleet;
pub mod trial;
