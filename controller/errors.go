package controller

import (
	"fmt"
)

// FieldError says which field of an input was refused, and why. Nothing of the input was applied.
type FieldError struct{ Field, Reason string }

func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

func invalidField(field, format string, args ...any) error {
	return &FieldError{field, fmt.Sprintf(format, args...)}
}

// ErrNotConnected answers sums of a proxy that has not joined.
var ErrNotConnected = fmt.Errorf("the proxy has not joined: it polls its tables first")

// ErrDuplicateProxy answers a poll that would take the place of one that is held, where that has come too often: two proxies poll
// under one name. The one that holds a poll stays.
var ErrDuplicateProxy = fmt.Errorf("another proxy polls under this name")

// ErrUnknownHost answers a report on a host that is not on the list.
var ErrUnknownHost = fmt.Errorf("the host is not on the list")
