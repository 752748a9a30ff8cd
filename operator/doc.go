// Package operator owns the overrides that operators set on hosts: a weight, a drain, maintenance, or a host of their
// own. It keeps them apart from the endpoint list, so a list update does not undo them; it rejects a command that would
// break a rule, queues one that can be done later, and expires overrides.
//
// The package decides and never acts: it does no I/O, reads no clock and starts no goroutine. The caller passes the
// current state as a View and applies the overrides to the endpoint list, where a drain stands for a listed drain, a
// weight for a listed weight, and maintenance for a removal. All instants and durations are milliseconds.
package operator
