//! Attempts under their own timeouts, hedges, the retry budget, and effects counted at the servers.

mod budgets;
mod connections;
mod effects;
mod faulty_endpoints;
mod final_responses;
mod fixture;
