// Package auth is the authorization policy: it decides which SPIFFE identity may poll as which proxy of which zone,
// post its request statistics, report as which host, read, set overrides, and follow the state. What no rule allows is
// denied.
//
// The package owns the rules, and the record of the bearer tokens in use. It does no I/O, reads no clock and proves no
// identity: the caller passes an ID that the connection has proved. docs/identity.md has the threat model.
package auth
