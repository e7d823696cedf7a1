//! Tests of a domain of lease machines.

mod explorer;
mod sessions;
mod single;
mod world;
