//! Encoding of a route in messages and stored state.

use crate::config::Route;
use crate::ids::ServiceName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Bit of [`StoredRoute::flags`]: an attempt with unknown outcome may be repeated.
const IDEMPOTENT: u8 = 1;
/// Bit of [`StoredRoute::flags`]: callers need no key.
const PUBLIC: u8 = 2;

/// A route as it is encoded.
///
/// Invariant: a route that is not public has the encoding of the releases before public routes, which
/// had a boolean in place of `flags`. Those releases reject a public route.
#[derive(Serialize, Deserialize)]
pub(crate) struct StoredRoute {
    prefix: String,
    methods: BTreeSet<String>,
    service: ServiceName,
    deadline_ms: u64,
    billable: bool,
    flags: u8,
}

impl Route {
    /// The flags as one byte.
    pub(crate) fn flags(&self) -> u8 {
        let idempotent = if self.idempotent { IDEMPOTENT } else { 0 };
        let public = if self.is_public { PUBLIC } else { 0 };
        idempotent | public
    }
}

impl From<Route> for StoredRoute {
    fn from(route: Route) -> Self {
        StoredRoute {
            flags: route.flags(),
            prefix: route.prefix,
            methods: route.methods,
            service: route.service,
            deadline_ms: route.deadline_ms,
            billable: route.billable,
        }
    }
}

impl TryFrom<StoredRoute> for Route {
    type Error = &'static str;

    fn try_from(stored: StoredRoute) -> Result<Self, Self::Error> {
        if stored.flags & !(IDEMPOTENT | PUBLIC) != 0 {
            return Err("route has a flag that is not known");
        }
        Ok(Route {
            prefix: stored.prefix,
            methods: stored.methods,
            service: stored.service,
            deadline_ms: stored.deadline_ms,
            billable: stored.billable,
            idempotent: stored.flags & IDEMPOTENT != 0,
            is_public: stored.flags & PUBLIC != 0,
        })
    }
}
