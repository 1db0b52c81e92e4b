//! Suspects at several gates of one service that exchange updates and use a table with faults.

mod fingerprints;
mod support;
mod trials;
