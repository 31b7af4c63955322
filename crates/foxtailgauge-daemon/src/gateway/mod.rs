//! Accepts callers' requests, chooses backend servers and makes the attempts.

pub(crate) mod action_reader;
pub(crate) mod authentication;
pub(crate) mod call_gateway;
pub(crate) mod caller_http;
pub(crate) mod caller_response;
pub(crate) mod forward_attempt;
pub(crate) mod forward_gateway;
pub(crate) mod forward_refusal;
pub(crate) mod forward_request;
pub(crate) mod front;
mod keys_in_flight;
pub(crate) mod ledger_client;
mod retry_budgets;
pub(crate) mod route_view;
