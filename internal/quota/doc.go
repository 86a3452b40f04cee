// Package quota enforces the limits of tenants over all routers together.
//
// The leader's Ledger keeps one token bucket per tenant, which may go into debt, and
// publishes the share of each tenant's requests to admit. A router's Enforcer applies
// these shares; without a leader it uses its own bucket, with a part of the limit. The
// target is that no tenant gets more than Bound.MaxAdmitted in any window.
package quota
