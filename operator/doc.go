// Package operator owns the overrides that operators set on hosts: a weight, a drain, maintenance, or an added host.
// It keeps them separate from the endpoint list, so that an update of the list does not undo them. It rejects a
// command that would break a rule, queues one that may be applied later, and expires overrides.
//
// The package does no I/O, reads no clock and starts no goroutine. The caller passes the current state as a View and
// applies the overrides to the endpoint list: a drain replaces the listed state, a weight the listed weight, and
// maintenance removes the host. All instants and durations are milliseconds.
package operator
