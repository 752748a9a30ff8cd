package controller

import (
	"errors"
	"fmt"
)

// FieldError reports an invalid field of an input. No part of the input was applied.
type FieldError struct{ Field, Reason string }

// Error returns the field and the reason.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// invalidField returns the *FieldError of a field, with a reason that is formatted as by fmt.Sprintf.
func invalidField(field, format string, args ...any) error {
	return &FieldError{field, fmt.Sprintf(format, args...)}
}

var (
	// ErrNotConnected is the error of request stats from a proxy without a session.
	ErrNotConnected = errors.New("the proxy has not joined: it polls its tables first")

	// ErrDuplicateProxy is the error of a poll that is rejected because polls under its name have replaced each other
	// too often: probably two proxies have the same name. The proxy whose poll is pending stays connected.
	ErrDuplicateProxy = errors.New("another proxy polls under this name")

	// ErrUnknownHost is the error of a load report from a host that is not on the endpoint list.
	ErrUnknownHost = errors.New("the host is not on the list")
)
