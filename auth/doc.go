// Package auth is the authorization policy: it decides which SPIFFE identity may poll as which proxy of which zone,
// post that proxy's request statistics, report as which host, read, set overrides, and follow the state. A request
// that no rule allows is denied.
//
// The package owns the rules, and the record of the bearer tokens in use. It does no I/O, reads no clock and
// authenticates nobody: the caller passes an ID that was authenticated on the connection. docs/identity.md has the
// threat model.
package auth
