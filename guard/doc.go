// Package guard is the table validator: it stands between the decision on routing tables and their publication. It
// finds what is wrong with the decided weights (Check), computes the nearest valid ones (Repair), and decides whether
// an endpoint list that loses many hosts at once is held back (EndpointLossGuard).
//
// The package owns no state but that of the EndpointLossGuard. It does no I/O, reads no clock and never publishes: its
// caller passes instants in milliseconds and publishes what it chooses. docs/guard.md has the reasons for each check.
package guard
