package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/rs/zerolog"

	"barleysail/controller"
	"barleysail/internal/http1"
	"barleysail/routing"
)

const (
	// endpointListBytes is the largest body of a response of the list service that is read.
	endpointListBytes = 64 << 20

	// endpointPollGrace is how much longer than the long poll's wait a response may take.
	endpointPollGrace = 10 * time.Second

	// mergePatch names the instance manipulation (RFC 3229) whose body is a JSON merge patch (RFC 7396).
	mergePatch = "merge-patch"
)

// endpointService watches an endpoint list that an HTTP service serves. The protocol is the one by which proxies get
// their tables: long polls with an entity tag, whose responses are snapshots or deltas. The controller starts the
// watch. A failed poll or a rejected list ends it, and the controller starts it again with backoff; the last valid list
// stays in force meanwhile. controller.Controller.SetEndpoints decides whether to hold back a valid list that loses too
// many hosts at once.
//
// It owns the goroutine of the watch, for which close waits.
type endpointService struct {
	ctx           context.Context // ends the watch
	address       string
	target        string // request target: the URL's path and query
	wait          time.Duration
	client        *http1.Client
	log           zerolog.Logger
	publish       func([]controller.Endpoint) error
	reportFailure func()

	mu       sync.Mutex
	closed   bool
	watching bool
	running  sync.WaitGroup

	// Only the goroutine of the watch uses these.
	tag      string // entity tag of document; empty: the next poll asks for a snapshot
	document []byte // the last valid endpointDocument
}

// endpointDocument is the JSON document of an endpoint list: hosts by address.
type endpointDocument struct {
	Hosts map[string]endpointEntry `json:"hosts"`
}

// defaultWeight is the base weight of an entry that states none.
const defaultWeight = 1.0

// endpointEntry is one host of an endpointDocument.
type endpointEntry struct {
	Zone    string   `json:"zone"`
	Phase   string   `json:"phase"`   // ready or draining; empty: ready
	Weight  *float64 `json:"weight"`  // base weight; absent: defaultWeight
	Started float64  `json:"started"` // time of the host's last start, in ms
}

// newEndpointService returns the source for the list.url setting. The caller has to set the fields that connect it to
// the daemon. The error names the setting.
func newEndpointService(listURL string, secure bool, wait time.Duration) (*endpointService, error) {
	service, address, err := parseServiceURL("list.url", listURL, secure)
	if err != nil {
		return nil, err
	}
	return &endpointService{
		address: address,
		target:  service.RequestURI(),
		wait:    wait,
		client:  &http1.Client{Limits: clientLimits(endpointListBytes)},
	}, nil
}

// startWatch starts a goroutine that polls for a snapshot of the list and then for deltas, until a poll fails. It
// returns at once, and does nothing while a watch is running or after close.
func (s *endpointService) startWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watching || s.closed {
		return
	}
	s.watching = true
	s.running.Go(s.watch)
}

func (s *endpointService) watch() {
	var err error
	for err == nil {
		err = s.poll()
	}
	s.mu.Lock()
	s.watching = false
	s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	s.log.Warn().Err(err).Msg("watching the endpoint list failed, the last list stays in force")
	s.reportFailure()
}

// close waits until the watch has ended. The caller has to cancel the context before.
func (s *endpointService) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.running.Wait()
}

// poll makes one long poll and publishes the list if it has changed. After a response that cannot be used, or whose
// list is rejected, the next poll asks for a snapshot.
func (s *endpointService) poll() error {
	ctx, cancel := context.WithTimeout(s.ctx, s.wait+endpointPollGrace)
	defer cancel()
	response, err := s.client.Call(ctx, http.MethodGet, s.address, s.target, s.pollHeader())
	if err != nil {
		return fmt.Errorf("polling the endpoint list: %w", err)
	}
	var document []byte
	switch response.Status {
	case http.StatusNotModified:
		return nil
	case http.StatusOK:
		document = response.Body
	case http.StatusIMUsed:
		document, err = s.applyDelta(response)
	default:
		return fmt.Errorf("the list service responded with status %d", response.Status)
	}
	if err == nil {
		err = s.publishDocument(document)
	}
	if err != nil {
		s.tag = ""
		return err
	}
	s.document = document
	s.tag = response.Header.Get("Etag")
	return nil
}

func (s *endpointService) pollHeader() textproto.MIMEHeader {
	header := http1.Header("Accept", "application/json", "Prefer", "wait="+strconv.Itoa(int(s.wait.Seconds())))
	header["A-IM"] = []string{mergePatch} // not in the canonical form, which would be A-Im
	if s.tag != "" {
		header.Set("If-None-Match", s.tag)
	}
	return header
}

// applyDelta returns the cached document with a delta applied. It returns an error if the delta is not a merge patch,
// is based on another version or cannot be applied.
func (s *endpointService) applyDelta(response *http1.Response) ([]byte, error) {
	baseTag := response.Header.Get("Delta-Base")
	if s.tag == "" || baseTag != s.tag || !strings.EqualFold(response.Header.Get("Im"), mergePatch) {
		return nil, fmt.Errorf("the delta has the format %q and the base %s, want %q and %s",
			response.Header.Get("Im"), baseTag, mergePatch, s.tag)
	}
	document, err := jsonpatch.MergePatch(s.document, response.Body)
	if err != nil {
		return nil, fmt.Errorf("applying a delta: %w", err)
	}
	return document, nil
}

func (s *endpointService) publishDocument(document []byte) error {
	endpoints, err := parseEndpoints(document)
	if err != nil {
		return err
	}
	if len(endpoints) == 0 {
		return errors.New("no host is listed")
	}
	return s.publish(endpoints)
}

// parseEndpoints parses an endpointDocument. It returns the endpoints in no particular order.
func parseEndpoints(text []byte) ([]controller.Endpoint, error) {
	var document endpointDocument
	if err := json.Unmarshal(text, &document); err != nil {
		return nil, fmt.Errorf("reading the endpoint list: %w", err)
	}
	if document.Hosts == nil {
		return nil, errors.New(`reading the endpoint list: "hosts" is missing`)
	}
	endpoints := make([]controller.Endpoint, 0, len(document.Hosts))
	for host, entry := range document.Hosts {
		state, ok := parsePhase(entry.Phase)
		if !ok {
			return nil, fmt.Errorf("hosts[%q].phase: %q is neither ready nor draining", host, entry.Phase)
		}
		weight := defaultWeight
		if entry.Weight != nil {
			weight = *entry.Weight
		}
		endpoints = append(endpoints, controller.Endpoint{
			Host: host, Zone: entry.Zone, State: state, Weight: weight, StartedMs: entry.Started})
	}
	return endpoints, nil
}

func parsePhase(phase string) (state routing.HostState, ok bool) {
	switch phase {
	case "ready", "":
		return routing.Ready, true
	case "draining":
		return routing.Draining, true
	}
	return state, false
}
