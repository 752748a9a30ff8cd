package daemon

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"barleysail/internal/http1"
)

const jsonMediaType = "application/json"

// errTrailingData is the error of a body with data after its JSON value.
var errTrailingData = errors.New("something follows the JSON value")

// readJSON decodes a request's body, which has to be one JSON value without unknown fields. The error is that of
// package encoding/json, or errTrailingData.
func readJSON(request *http1.Request, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(request.Body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errTrailingData
	}
	return nil
}

// malformedReply returns the problem document for an error of readJSON, with the name of the field if it is known.
func malformedReply(err error) http1.Reply {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return http1.Problem{
			Status: http.StatusUnprocessableEntity,
			Field:  wrongType.Field,
			Detail: "cannot be " + wrongType.Value,
		}.Reply()
	}
	// Package encoding/json has no type for this error.
	if quoted, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return http1.Problem{
			Status: http.StatusUnprocessableEntity,
			Field:  strings.Trim(quoted, `"`),
			Detail: "the field is not known",
		}.Reply()
	}
	return http1.Problem{Status: http.StatusBadRequest, Detail: err.Error()}.Reply()
}

// jsonReply returns a reply with status 200 and a document as its body.
func jsonReply(document any) http1.Reply {
	body, err := json.Marshal(document)
	if err != nil {
		return errorReply(err)
	}
	return http1.Reply{
		Status: http.StatusOK,
		Header: http1.Header("Content-Type", jsonMediaType, "Cache-Control", "no-store"),
		Body:   append(body, '\n'),
	}
}
