// Package simwire is the codec of the simulator's protocol of JSON lines: it decodes and validates events and
// settings, and encodes messages. It owns the protocol's names and makes no decision.
package simwire

import (
	"encoding/json"
	"math"
	"strconv"
)

// Event types of the protocol.
const (
	Turn         = "Turn"         // begins a batch
	End          = "End"          // ends a batch
	Start        = "Start"        // the instance starts or restarts
	Endpoints    = "Endpoints"    // the endpoint list, its changes, or a failure of its watch
	CheckedIn    = "CheckedIn"    // a proxy connected
	Disconnected = "Disconnected" // a proxy disconnected
	Installed    = "Installed"    // a proxy acknowledged a version
	Stats        = "Stats"        // attempts at a host
	Arrivals     = "Arrivals"     // requests that a proxy received
	Health       = "Health"       // a health check ended
	Alarm        = "Alarm"        // an alarm that Writer.After requested is due
	CrashNow     = "CrashNow"     // the instance stops without saving its state

	// Types that the reader validates and that no balancer uses.
	Tenure     = "Tenure"
	StoredLine = "StoredLine"
	SliceLoad  = "SliceLoad"
	Neighbour  = "NeighbourSays"
)

// Values of Event.How: the kind of an endpoint list event.
const (
	ListFailed = 0 // the watch of the endpoint list failed
	ListFull   = 1 // a snapshot
	ListDelta  = 3 // the changes since the last list
	ListCached = 4 // a snapshot from a cache, which may be outdated
)

// Record is an entry of the endpoint list. Host and Phase are always present, Area and W unless Phase is 0.
type Record struct {
	Host       *string
	Area       *string // zone
	Phase      *int64  // host state: 0 removed, 1 ready, 2 draining
	W          *float64
	LaunchedUs *int64 // simulated time at which the host's process started
}

// Event is an event of any type; the type decides which fields are set. Names that end in Us are microseconds of
// simulated time. A field of the protocol that the type does not require may be nil.
type Event struct {
	Type       string `json:"event_type"`
	SimTimeUs  *int64
	Turn       *int64          `json:"n"` // number of the batch
	I          *int64          // number of the instance
	Prng       *uint64         // seed of the random numbers
	Settings   json.RawMessage // for ReadSettings
	How        *int64          // kind of an endpoint list event, such as ListFull
	Number     *int64          // in Installed: the version that the proxy acknowledged
	Records    []Record
	Px         *int64   // number of the proxy
	Area       *string  // zone
	W          *float64 // in CheckedIn: usual request rate of the proxy
	Flag       *bool
	Kind       *string // request class
	Count      *int64  // attempts or requests within WindowUs
	Errors     *int64  // failures among Count
	WindowUs   *int64
	Host       *string
	CostTimeUs *int64                     // in Stats: mean latency of the attempts
	Report     map[string]json.RawMessage // load report, for Value
	Ending     *string                    // result of a health check
	Handle     *int64                     // of the alarm
	By         *int64
	Content    *string
	Tbl        *int64 // number of the table
}

// Value returns a value of the load report, or -1 where it is missing, malformed or below 0.
func (e *Event) Value(name string) float64 {
	value, err := strconv.ParseFloat(string(e.Report[name]), 64)
	if err != nil || value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		return -1
	}
	return value
}
