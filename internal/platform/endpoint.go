package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"

	"barleysail/routing"
)

// endpointEntry is a host in the endpoint list.
type endpointEntry struct {
	Name        string  `json:"instanceId"`
	Address     string  `json:"hostPort"`
	Zone        string  `json:"zone"`      // name
	Lifecycle   string  `json:"lifecycle"` // a key of lifecycleStates
	Weight      float64 `json:"weight"`
	StartedAtMs float64 `json:"startedAtMs"` // when the host last started, in ms since 1970; 0: long ago
}

// lifecycleStates are the states of a host by the words of the endpoint list.
var lifecycleStates = map[string]routing.HostState{
	"Ready":       routing.Ready,
	"Terminating": routing.Draining,
	"Gone":        routing.Removed,
}

// watchEvent is a snapshot of the endpoint list, or a delta: the entries that have changed.
type watchEvent struct {
	Generation int64 // version of the list
	Snapshot   bool  // Endpoints are all that there are
	Endpoints  []endpointEntry
}

// isEmpty reports whether there is nothing new in an event.
func (e watchEvent) isEmpty() bool { return !e.Snapshot && len(e.Endpoints) == 0 }

// decodeWatchEvent decodes an answer of the discovery service. One without a generation, or that does not say whether
// it is a snapshot, is refused.
func decodeWatchEvent(body []byte) (watchEvent, error) {
	var raw struct {
		Generation *int64
		Reset      *bool
		Instances  []endpointEntry
	}
	if err := json.Unmarshal(body, &raw); err != nil {
		return watchEvent{}, err
	}
	if raw.Generation == nil || *raw.Generation < 0 {
		return watchEvent{}, errors.New("generation is missing or below 0")
	}
	if raw.Reset == nil {
		return watchEvent{}, errors.New("reset is missing")
	}
	return watchEvent{Generation: *raw.Generation, Snapshot: *raw.Reset, Endpoints: raw.Instances}, nil
}

// decodeKnownEndpoints decodes the snapshot that a configuration brings. What cannot be read of it becomes an empty
// entry, to be reported and dropped with those that are malformed: nothing in an old list may keep a node from its
// start.
func decodeKnownEndpoints(text json.RawMessage) watchEvent {
	if len(text) == 0 {
		return watchEvent{}
	}
	var raw struct{ Instances []json.RawMessage }
	if json.Unmarshal(text, &raw) != nil {
		return watchEvent{Endpoints: []endpointEntry{{}}}
	}
	var known watchEvent
	for _, text := range raw.Instances {
		var decoded endpointEntry
		if json.Unmarshal(text, &decoded) != nil {
			decoded = endpointEntry{}
		}
		known.Endpoints = append(known.Endpoints, decoded)
	}
	return known
}

// validate refuses an event that holds any malformed entry: to leave out entries of a snapshot would remove their
// hosts. The error is an *endpointError, wrapped.
func (e watchEvent) validate(zoneIndex func(string) (int, bool)) error {
	for _, endpoint := range e.Endpoints {
		if err := endpoint.validate(zoneIndex); err != nil {
			return fmt.Errorf("endpoint list: %w", err)
		}
	}
	return nil
}

// endpointError says what of an entry of the endpoint list is malformed.
type endpointError struct {
	host    string
	problem string
}

func (e *endpointError) Error() string { return fmt.Sprintf("host %.40q: %s", e.host, e.problem) }

// validate returns an *endpointError for an entry that makes no sense. A removed host needs no zone and no address.
func (e endpointEntry) validate(zoneIndex func(string) (int, bool)) error {
	state, known := lifecycleStates[e.Lifecycle]
	if e.Name == "" || !known || e.Weight < 0 || e.StartedAtMs < 0 {
		problem := fmt.Sprintf("lifecycle %.20q, weight %g, started %g", e.Lifecycle, e.Weight, e.StartedAtMs)
		return &endpointError{e.Name, problem}
	}
	if state == routing.Removed {
		return nil
	}
	_, zoneKnown := zoneIndex(e.Zone)
	_, _, err := net.SplitHostPort(e.Address)
	if err != nil || !zoneKnown {
		return &endpointError{e.Name, fmt.Sprintf("zone %.40q, address %.40q", e.Zone, e.Address)}
	}
	return nil
}
