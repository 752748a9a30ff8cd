// Package auth is the authorization policy. It decides which SPIFFE identity may poll routing tables and post request
// stats for which proxy of which zone, post load reports for which host, read the API, set overrides, and replicate
// the state to a standby. A request that no rule allows is denied.
//
// The package owns the rules, and the record of the bearer tokens in use. It does no I/O, reads no clock and
// authenticates nobody: the caller passes an ID that was authenticated on the connection. docs/identity.md has the
// threat model.
package auth
