package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"barleysail/internal/tablesig"
)

const (
	maxResponseBytes = 64 << 20
	pollGrace        = 10 * time.Second // time that a poll may take beyond Options.PollTimeout
	maxBackoffShift  = 20               // limit of the doublings of the backoff, against overflow
	minJitter        = 0.5              // the backoff is multiplied by a random number from minJitter to minJitter + 1
	deltaFormat      = "merge-patch"    // instance manipulation (RFC 3229) that the client asks for
)

// pollControllers polls the current controller until the context ends. After a failure it polls the next one, after a
// backoff that doubles each time all controllers have failed. The jitter prevents proxies that lost a controller at
// the same time from reconnecting at the same time.
func (c *Client) pollControllers(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		err := c.poll(ctx)
		if err == nil {
			failures = 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		backoff := c.failOver(err, failures)
		failures++
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
		}
	}
}

// failOver makes the next controller the current one and returns the backoff before it is polled.
func (c *Client) failOver(cause error, failures int) (backoff time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	controllers := c.options.Controllers
	if c.connected || failures == 0 {
		c.options.Log(fmt.Sprintf("controller %s lost, continuing with the last tables: %v", controllers[c.current], cause))
	}
	c.connected = false
	c.current = (c.current + 1) % len(controllers)
	backoff = c.options.MinBackoff << min(failures/len(controllers), maxBackoffShift)
	backoff = min(backoff, c.options.MaxBackoff)
	return time.Duration(float64(backoff) * (minJitter + c.random()))
}

// pollRequest holds the parameters of a poll.
type pollRequest struct {
	controller string // base URL
	proxyURL   string
	tag        string // tag of the tables that the controller last sent; "" asks for a snapshot
	offer      []byte // tables of another controller that this one may continue from; nil for none
}

// poll sends one poll to the current controller and applies the response.
func (c *Client) poll(ctx context.Context) error {
	poll, err := c.newPollRequest()
	if err != nil {
		return err
	}
	timeout, cancel := context.WithTimeout(ctx, c.options.PollTimeout+pollGrace)
	defer cancel()
	request, err := c.httpRequest(timeout, poll)
	if err != nil {
		return err
	}
	response, err := c.options.HTTP.Do(request)
	if err != nil {
		return err
	}
	defer closeBody(response)
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("reading the response: %w", err)
	}
	return c.takeResponse(poll, response, body)
}

func (c *Client) newPollRequest() (*pollRequest, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	poll := &pollRequest{controller: c.options.Controllers[c.current], proxyURL: c.proxyURL()}
	if c.tables.source == poll.controller {
		poll.tag = c.tables.tag
	}
	var err error
	poll.offer, err = c.tableOffer(poll.controller)
	return poll, err
}

// tableOffer returns the applied tables for a controller that did not send them, nil if there is nothing to offer. The
// caller holds the lock.
func (c *Client) tableOffer(controller string) ([]byte, error) {
	hasTables := c.tables.document != nil && c.tables.tag != ""
	if !c.options.OfferTables || !hasTables || c.tables.source == controller {
		return nil, nil
	}
	var document map[string]json.RawMessage
	if err := json.Unmarshal(c.tables.document, &document); err != nil {
		return nil, fmt.Errorf("offering the applied tables: %w", err)
	}
	tag, err := json.Marshal(unquoted(c.tables.tag))
	if err != nil {
		return nil, fmt.Errorf("offering the applied tables: %w", err)
	}
	document["tag"] = tag
	return json.Marshal(document)
}

// unquoted returns an entity tag without its quotes.
func unquoted(tag string) string { return strings.Trim(tag, `"`) }

// httpRequest returns the HTTP request of a poll: a GET, or a POST with the offered tables.
func (c *Client) httpRequest(ctx context.Context, poll *pollRequest) (*http.Request, error) {
	target := poll.proxyURL + "/tables?zone=" + url.QueryEscape(c.options.Zone)
	if c.options.RequestRate > 0 {
		target += "&rate=" + strconv.FormatFloat(c.options.RequestRate, 'g', -1, 64)
	}
	method := http.MethodGet
	var body io.Reader
	if poll.offer != nil {
		method = http.MethodPost
		body = bytes.NewReader(poll.offer)
	}
	request, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return nil, err
	}
	if poll.offer != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	request.Header.Set("Prefer", "wait="+strconv.Itoa(int(c.options.PollTimeout.Seconds())))
	request.Header.Set("A-IM", deltaFormat)
	if poll.tag != "" {
		request.Header.Set("If-None-Match", poll.tag)
	}
	return request, nil
}

// takeResponse applies the response to a poll.
func (c *Client) takeResponse(poll *pollRequest, response *http.Response, body []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch response.StatusCode {
	case http.StatusOK, http.StatusIMUsed, http.StatusNotModified:
	default:
		return fmt.Errorf("the controller answered %s: %.200s", response.Status, body)
	}
	if err := c.applyTables(poll, response, body); err != nil {
		c.tables.tag = "" // the next poll asks for a snapshot
		return err
	}
	c.newestTag = unquoted(c.tables.tag)
	if c.options.OnTablesApplied != nil && c.tables.tag != poll.tag {
		c.options.OnTablesApplied(c.newestTag)
	}
	if !c.connected {
		c.connected = true
		c.options.Log("joined controller " + poll.controller)
	}
	return nil
}

// applyTables applies the snapshot or the delta of a response. The caller holds the lock.
func (c *Client) applyTables(poll *pollRequest, response *http.Response, body []byte) error {
	header := response.Header
	tag := header.Get("ETag")
	check := c.signatureCheck(tag, header.Get(tablesig.HeaderName))
	if response.StatusCode == http.StatusOK {
		return c.tables.setSnapshot(poll.controller, tag, body, check)
	}
	manipulation := header.Get("IM")
	if response.StatusCode == http.StatusIMUsed && !strings.EqualFold(manipulation, deltaFormat) {
		return fmt.Errorf("unknown instance manipulation %q", manipulation)
	}
	if poll.offer != nil {
		// The controller continues from the offered tables; if it does not, the delta's base does not match.
		c.tables.source = poll.controller
	}
	if response.StatusCode == http.StatusIMUsed {
		return c.tables.applyDelta(poll.controller, header.Get("Delta-Base"), tag, body, check)
	}
	return nil
}

// signatureCheck returns a check that rejects tables without an accepted signature, and tables that are older than the
// last ones.
func (c *Client) signatureCheck(tag, signature string) documentCheck {
	return func(document []byte) error {
		if c.options.VerifySigner == nil {
			return nil
		}
		version := unquoted(tag)
		isNewer, sameIncarnation := tablesig.Newer(version, c.newestTag)
		if sameIncarnation && !isNewer && version != c.newestTag {
			return fmt.Errorf("the tables %s are older than %s", version, c.newestTag)
		}
		return tablesig.Verify(signature, c.options.Proxy, version, document, c.options.Now(), c.options.VerifySigner)
	}
}
