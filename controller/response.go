package controller

import (
	"fmt"

	"github.com/gowebpki/jcs"
)

// ResponseKind is the kind of a response to a poll.
type ResponseKind int

const (
	// Snapshot holds all tables.
	Snapshot ResponseKind = iota
	// Delta is a merge patch (RFC 7396) onto the version that BaseTag names.
	Delta
	// NotModified means that the proxy already holds the newest version.
	NotModified
)

// Response is a response to a poll. Its methods are safe for concurrent use.
type Response struct {
	Kind         ResponseKind
	Proxy        string
	Tag, BaseTag string // entity tags, without quotes
	tables       *tableSet
	baseTables   *tableSet // for a Delta
}

// Body returns the JSON document {"proxy":…,"tables":…}, or its merge patch (RFC 7396) for a Delta, or nil for
// NotModified. A class without a table has no "hosts": the proxy keeps the table that it has for the class.
func (r Response) Body() []byte {
	switch r.Kind {
	case NotModified:
		return nil
	case Delta:
		return r.tables.delta(r.baseTables)
	}
	tables := r.tables.document()
	const frameLength = len(`{"proxy":"","tables":}`) + 2 // with the line break and one spare byte
	body := make([]byte, 0, len(tables)+len(r.Proxy)+frameLength)
	body = append(body, `{"proxy":`...)
	body = appendQuoted(body, r.Proxy)
	body = append(body, `,"tables":`...)
	body = append(body, tables...)
	return append(body, "}\n"...)
}

// Canonical returns the tables that the proxy holds once it has applied the response, in the canonical form of RFC
// 8785, for signatures. It is encoded once for all proxies with the same tables. The error is that of the canonical
// encoder.
func (r Response) Canonical() ([]byte, error) {
	tables := r.tables
	document := tables.document()
	tables.mu.Lock()
	defer tables.mu.Unlock()
	if tables.canonical == nil {
		text, err := jcs.Transform(document)
		if err != nil {
			return nil, fmt.Errorf("writing tables in their canonical form: %w", err)
		}
		tables.canonical = text
	}
	return tables.canonical, nil
}

// Table is the routing table of a request class.
type Table struct {
	Class          string
	Assigned       bool      // whether the class has a table, which may be empty
	Hosts          []string  // in order
	Weights        []float64 // in the order of Hosts
	AdmissionRatio float64   // ratio of the requests to admit
	RetryPolicy    int
}

// Tables returns the tables that the proxy holds once it has applied the response, for callers that need no JSON
// document.
func (r Response) Tables() []Table {
	var tables []Table
	for _, class := range r.tables.classes {
		table := Table{
			Class:          class.name,
			Assigned:       class.assigned,
			AdmissionRatio: class.policy.admissionRatio,
			RetryPolicy:    class.policy.retryPolicy,
		}
		if class.assigned {
			for _, entry := range class.entries {
				table.Hosts = append(table.Hosts, entry.host)
				table.Weights = append(table.Weights, entry.weight)
			}
		}
		tables = append(tables, table)
	}
	return tables
}
