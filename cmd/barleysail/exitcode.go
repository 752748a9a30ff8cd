package main

import "errors"

// Exit codes of the program. Scripts read them; they never change.
const (
	exitFailure     = 1 // any error without another code
	exitRefused     = 3 // the controller, the table validator or the authorization policy rejects the request
	exitUnreachable = 4 // the controller cannot be reached, or its response cannot be read
	exitDiffers     = 5 // "diff" found differences
)

// exitError is an error with the exit code of the program.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// exitCode returns the exit code of the program for an error of a command.
func exitCode(err error) int {
	var coded *exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	return exitFailure
}
