package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"

	"barleysail/routing"
)

// endpointEntry is one host of the endpoint list, as the discovery service encodes it in JSON.
type endpointEntry struct {
	Name        string  `json:"instanceId"`
	Address     string  `json:"hostPort"`
	Zone        string  `json:"zone"`        // name of the zone
	Lifecycle   string  `json:"lifecycle"`   // a key of lifecycleStates
	Weight      float64 `json:"weight"`      // base weight, relative to the other hosts
	StartedAtMs float64 `json:"startedAtMs"` // when the host last started, in ms since 1970; 0: long ago
}

// lifecycleStates maps the lifecycle values of the endpoint list to host states.
var lifecycleStates = map[string]routing.HostState{
	"Ready":       routing.Ready,
	"Terminating": routing.Draining,
	"Gone":        routing.Removed,
}

// watchEvent is a snapshot of the endpoint list, or a delta: the entries that have changed.
type watchEvent struct {
	Generation int64 // version of the list
	Snapshot   bool  // Endpoints is the whole list: hosts that it does not name are removed
	Endpoints  []endpointEntry
}

// isEmpty reports whether an event changes nothing.
func (e watchEvent) isEmpty() bool { return !e.Snapshot && len(e.Endpoints) == 0 }

// decodeWatchEvent decodes a response of the discovery service. It returns an error if the response has no generation
// or does not say whether it is a snapshot.
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

// decodeKnownEndpoints decodes the last known endpoint list of a configuration. An entry that cannot be decoded becomes
// an empty one, which is later logged and dropped like any malformed entry: nothing in an old list may prevent a node
// from starting.
func decodeKnownEndpoints(text json.RawMessage) watchEvent {
	if len(text) == 0 {
		return watchEvent{}
	}
	var raw struct{ Instances []json.RawMessage }
	if json.Unmarshal(text, &raw) != nil {
		return watchEvent{Endpoints: []endpointEntry{{}}}
	}
	var known watchEvent
	for _, entryText := range raw.Instances {
		var decoded endpointEntry
		if json.Unmarshal(entryText, &decoded) != nil {
			decoded = endpointEntry{}
		}
		known.Endpoints = append(known.Endpoints, decoded)
	}
	return known
}

// validate returns an error, which wraps an *endpointError, for an event with any malformed entry. The caller rejects
// the whole event: if it dropped only the malformed entries of a snapshot, their hosts would be removed.
func (e watchEvent) validate(zoneIndex func(string) (int, bool)) error {
	for _, endpoint := range e.Endpoints {
		if err := endpoint.validate(zoneIndex); err != nil {
			return fmt.Errorf("endpoint list: %w", err)
		}
	}
	return nil
}

// endpointError is the error of a malformed entry of the endpoint list.
type endpointError struct {
	host    string
	problem string
}

func (e *endpointError) Error() string { return fmt.Sprintf("host %.40q: %s", e.host, e.problem) }

// validate returns an *endpointError for a malformed entry. A removed host needs neither a zone nor an address.
func (e endpointEntry) validate(zoneIndex func(string) (int, bool)) error {
	state, known := lifecycleStates[e.Lifecycle]
	if e.Name == "" || !known || e.Weight < 0 || e.StartedAtMs < 0 {
		problem := fmt.Sprintf("got lifecycle %.20q, weight %g, start time %g; want a name, a known lifecycle, and a weight "+
			"and a start time of at least 0", e.Lifecycle, e.Weight, e.StartedAtMs)
		return &endpointError{e.Name, problem}
	}
	if state == routing.Removed {
		return nil
	}
	_, zoneKnown := zoneIndex(e.Zone)
	_, _, err := net.SplitHostPort(e.Address)
	if err != nil || !zoneKnown {
		return &endpointError{e.Name, fmt.Sprintf("unknown zone %.40q or invalid address %.40q", e.Zone, e.Address)}
	}
	return nil
}
