// Package guard is the table validator, which runs between the decision on routing tables and their publication. It
// checks the decided weights (Check), computes the nearest valid ones (Repair), and decides when an endpoint list
// that loses too many hosts at once is held back (EndpointLossGuard).
//
// Work is the CPU time that requests take on a reference core. Demands, loads and capacities are in ms of work per ms,
// that is, in busy reference cores.
//
// The package owns no state other than that of the EndpointLossGuard. It does no I/O, reads no clock and never
// publishes: its caller passes instants in milliseconds and publishes what it chooses. docs/guard.md has the reasons
// for each check. A malformed endpoint list is rejected by package controller before it gets here.
package guard
