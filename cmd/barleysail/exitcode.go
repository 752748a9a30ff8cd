package main

import "errors"

// Exit codes of the program. Scripts read them; they never change.
const (
	exitFailure     = 1 // any error without a code of its own
	exitRefused     = 3 // the controller, the table guard or the access policy refuses the request
	exitUnreachable = 4 // the controller cannot be reached, or its response not be read
	exitDiffers     = 5 // "diff" found differences
)

// exitError is an error that ends the program with an exit code of its own.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// exitCode returns the exit code that an error of a command ends the program with.
func exitCode(err error) int {
	var coded *exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	return exitFailure
}
