//! How long callers of a route usually wait: what tells a first try from a later one.
//!
//! Load it answers: a shortage in which refused callers come back within the same deadline. Their
//! target counts from their first try, which is known only by the time that they have left.

use crate::ids::RouteName;
use std::collections::HashMap;
use std::time::Duration;

/// Requests of a route that are remembered.
const REMEMBERED: usize = 32;
/// Place of the usual patience among the remembered ones, counted from the shortest. Three quarters
/// lie below it: even if each caller came back twice, some first tries would be above.
const USUAL: usize = REMEMBERED * 3 / 4;
/// Requests after which the usual patience is determined anew.
const REVIEW_EVERY: usize = 8;

/// Times that one route's callers had left.
#[derive(Clone, Debug)]
struct Route {
    remembered: [Duration; REMEMBERED],
    seen: usize,
    usual: Duration,
}

/// What is usual, route by route.
#[derive(Debug, Default)]
pub struct UsualPatience {
    routes: HashMap<RouteName, Route>,
}

impl UsualPatience {
    /// Notes the time that a caller has left; returns how much of the usual time it has spent
    /// before, on earlier tries. Zero until enough is known.
    pub fn spent_before(&mut self, route: &str, left: Duration) -> Duration {
        let Some(known) = self.routes.get_mut(route) else {
            let first = Route {
                remembered: [left; REMEMBERED],
                seen: 1,
                usual: left,
            };
            self.routes.insert(route.to_owned(), first);
            return Duration::ZERO;
        };
        known.remembered[known.seen % REMEMBERED] = left;
        known.seen += 1;
        if known.seen % REVIEW_EVERY == 0 {
            let mut sorted = known.remembered;
            sorted.sort_unstable();
            known.usual = sorted[USUAL];
        }
        match known.seen < REMEMBERED {
            true => Duration::ZERO,
            false => known.usual.saturating_sub(left),
        }
    }
}
