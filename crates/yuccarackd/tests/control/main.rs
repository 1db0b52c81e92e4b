//! Control planes in this process that use one platform and exchange updates.

mod admin;
mod directory;
mod lookups;
mod membership;
mod peers;
mod removal;
mod rules;
mod urgent;
