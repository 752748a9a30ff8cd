package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

const (
	controllerFlag       = "controller"         // the flag that names the controller
	oldControllerFlag    = "steward"            // its name up to version 0.1
	controllerEnv        = "BARLEYSAIL_STEWARD" // names the controller where the flag is not given
	defaultControllerURL = "http://127.0.0.1:7070"

	requestTimeout   = 90 * time.Second // longer than the longest long poll, followWaitSeconds
	maxResponseBytes = 64 << 20
)

// controllerClient calls the HTTP API of a running controller.
type controllerClient struct {
	baseURL    string
	httpClient *http.Client
}

// addControllerFlag gives a command the flag that names the controller it calls.
func addControllerFlag(cmd *cobra.Command) {
	address := os.Getenv(controllerEnv)
	if address == "" {
		address = defaultControllerURL
	}
	cmd.Flags().String(controllerFlag, address, "the controller's URL, by default from the environment's "+controllerEnv)
	addOldFlagName(cmd, controllerFlag, oldControllerFlag)
}

// clientFromFlag returns a client of the controller that the command's flag names.
func clientFromFlag(cmd *cobra.Command) (*controllerClient, error) {
	address, err := cmd.Flags().GetString(controllerFlag)
	if err != nil {
		return nil, err
	}
	return newControllerClient(address), nil
}

// newControllerClient returns a client of the controller at a URL; without a scheme it is http.
func newControllerClient(address string) *controllerClient {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	httpClient := &http.Client{Timeout: requestTimeout}
	if strings.HasPrefix(address, "https://") {
		httpClient.Transport = newIdentityTransport()
	}
	return &controllerClient{baseURL: strings.TrimRight(address, "/"), httpClient: httpClient}
}

// apiError is an error response of the controller, a problem document (RFC 9457).
type apiError struct {
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Field  string `json:"field"` // the setting or parameter that is wrong; empty: none in particular
}

func (e *apiError) Error() string {
	if e.Field != "" {
		return e.Field + ": " + e.Detail
	}
	return e.Detail
}

// apiRequest is a call of the controller's API.
type apiRequest struct {
	method string
	path   string
	header http.Header
	body   any // encoded as JSON; nil: none
}

// get calls a resource and decodes the response.
func (c *controllerClient) get(ctx context.Context, path string, response any) error {
	return c.call(ctx, apiRequest{method: http.MethodGet, path: path}, response)
}

// post sends a body to a resource and decodes the response.
func (c *controllerClient) post(ctx context.Context, path string, body, response any) error {
	return c.call(ctx, apiRequest{method: http.MethodPost, path: path, body: body}, response)
}

// call makes a request and decodes the JSON of the response. An error response is returned as an *apiError; a
// rejection has the exit code exitRefused, and an unreachable controller exitUnreachable.
func (c *controllerClient) call(ctx context.Context, request apiRequest, response any) error {
	httpRequest, err := c.newHTTPRequest(ctx, request)
	if err != nil {
		return fmt.Errorf("calling the controller: %w", err)
	}
	httpResponse, err := c.httpClient.Do(httpRequest)
	if err != nil {
		return &exitError{exitUnreachable, fmt.Errorf("calling the controller: %w", err)}
	}
	text, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	if err = errors.Join(err, httpResponse.Body.Close()); err != nil {
		return &exitError{exitUnreachable, fmt.Errorf("reading the controller's response: %w", err)}
	}
	if httpResponse.StatusCode >= http.StatusMultipleChoices {
		return responseError(httpResponse.StatusCode, text)
	}
	if err := json.Unmarshal(text, response); err != nil {
		return fmt.Errorf("reading the controller's response: %w", err)
	}
	return nil
}

// newHTTPRequest returns the HTTP request of a call, with the body encoded as JSON.
func (c *controllerClient) newHTTPRequest(ctx context.Context, request apiRequest) (*http.Request, error) {
	var body io.Reader
	if request.body != nil {
		text, err := json.Marshal(request.body)
		if err != nil {
			return nil, fmt.Errorf("encoding the request: %w", err)
		}
		body = bytes.NewReader(text)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, request.method, c.baseURL+request.path, body)
	if err != nil {
		return nil, err
	}
	if request.header != nil {
		httpRequest.Header = request.header
	}
	if body != nil {
		httpRequest.Header.Set("Content-Type", "application/json")
	}
	return httpRequest, nil
}

// responseError returns the error of an error response. A body that is not a problem document becomes the detail.
func responseError(status int, body []byte) error {
	failure := &apiError{}
	if err := json.Unmarshal(body, failure); err != nil {
		failure = &apiError{}
	}
	if failure.Detail == "" {
		failure.Detail = string(bytes.TrimSpace(body))
	}
	failure.Status = status
	if status == http.StatusConflict {
		return &exitError{exitRefused, fmt.Errorf("refused: %w", failure)}
	}
	return failure
}
