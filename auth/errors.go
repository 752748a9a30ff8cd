package auth

import (
	"errors"
	"fmt"
)

// Causes of a RuleError that have no details of their own.
var (
	// ErrNoScheme means that a rule's ID is not a SPIFFE ID.
	ErrNoScheme = errors.New("does not begin with spiffe://")
	// ErrNoPath means that a rule's ID has only a trust domain.
	ErrNoPath = errors.New("the path is missing: a trust domain alone identifies no caller")
	// ErrNoAction means that a rule lists no action.
	ErrNoAction = errors.New("no actions are listed")
)

// UnknownActionError means that no action has the given name.
type UnknownActionError struct{ Name string }

// Error implements error.
func (e *UnknownActionError) Error() string {
	return fmt.Sprintf("unknown action %q, want one of %v", e.Name, actions)
}

// RuleError is the reason why a rule is invalid.
type RuleError struct {
	ID  string // ID of the rule, as configured
	Err error  // a sentinel of this package, a *SegmentError, a *MissingCaptureError, or an error of the spiffeid package
}

// Error implements error.
func (e *RuleError) Error() string {
	if errors.Is(e.Err, ErrNoScheme) {
		return fmt.Sprintf("%q %v", e.ID, e.Err)
	}
	return fmt.Sprintf("%q: %v", e.ID, e.Err)
}

// Unwrap returns the cause.
func (e *RuleError) Unwrap() error { return e.Err }

// SegmentError means that a segment of a rule's path cannot be part of a SPIFFE ID.
type SegmentError struct {
	Segment string
	Err     error
}

// Error implements error.
func (e *SegmentError) Error() string { return fmt.Sprintf("segment %q: %v", e.Segment, e.Err) }

// Unwrap returns the cause.
func (e *SegmentError) Unwrap() error { return e.Err }

// MissingCaptureError means that a rule's path does not name the proxy or host that its identities may act for.
type MissingCaptureError struct {
	Action  Action
	Capture string // the required segment, such as {proxy}
}

// Error implements error.
func (e *MissingCaptureError) Error() string {
	return fmt.Sprintf("%s needs %s in the path, or * for any", e.Action, e.Capture)
}
