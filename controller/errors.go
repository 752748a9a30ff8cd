package controller

import (
	"errors"
	"fmt"
)

// FieldError says which field of an input is invalid, and why. Nothing of the input was applied.
type FieldError struct{ Field, Reason string }

// Error gives the field and the reason.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// invalidField makes the error of a field, its reason formatted as by fmt.Sprintf.
func invalidField(field, format string, args ...any) error {
	return &FieldError{field, fmt.Sprintf(format, args...)}
}

var (
	// ErrNotConnected rejects the statistics of a proxy that has no session.
	ErrNotConnected = errors.New("the proxy has not joined: it polls its tables first")

	// ErrDuplicateProxy rejects a poll that would replace a pending one of the same proxy, where that has happened too
	// often: two proxies poll under one name. The one whose poll is pending stays connected.
	ErrDuplicateProxy = errors.New("another proxy polls under this name")

	// ErrUnknownHost rejects a load report of a host that is not on the endpoint list.
	ErrUnknownHost = errors.New("the host is not on the list")
)
