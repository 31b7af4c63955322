//! HTTP/1.1 connections of callers, whose idempotent requests run concurrently and are answered in
//! order. The order is decided by `foxtailgauge_core::Pipeline`.

pub(crate) mod body_reader;
pub(crate) mod connection;
pub(crate) mod function_responder;
pub(crate) mod request;
pub(crate) mod request_head;
pub(crate) mod response_writer;
