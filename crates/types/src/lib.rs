//! Identifiers, sizes, rates, result codes and wire messages that every gaplock crate shares.
//!
//! This crate contains only data types, their text forms and their serialization. The terms for
//! machines, zones, customers and back ends follow `docs/GLOSSARY.md`.

pub mod api;
pub mod codes;
pub mod config;
pub mod ids;
pub mod sizes;
pub mod time;
pub mod wire;
