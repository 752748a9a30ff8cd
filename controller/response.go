package controller

import (
	"fmt"

	"github.com/gowebpki/jcs"
)

// ResponseKind is the kind of an answer to a poll.
type ResponseKind int

const (
	// Snapshot holds all tables.
	Snapshot ResponseKind = iota
	// Delta is a merge patch (RFC 7396) onto the version that BaseTag names.
	Delta
	// NotModified says that the proxy holds the newest version already.
	NotModified
)

// Response answers a poll. Its methods may be called by any goroutine.
type Response struct {
	Kind         ResponseKind
	Proxy        string
	Tag, BaseTag string // entity tags, without quotes
	tables       *tableSet
	baseTables   *tableSet // for a Delta
}

// Body gives the JSON document: {"proxy":…,"tables":…}, or the RFC 7396 merge patch of it, or nil for NotModified. A
// class without a table has no "hosts", and the proxy keeps what it has for it.
func (r Response) Body() []byte {
	switch r.Kind {
	case NotModified:
		return nil
	case Delta:
		return r.tables.delta(r.baseTables)
	}
	tables := r.tables.document()
	const frameLength = len(`{"proxy":"","tables":}`) + 2 // and the line break, with some room
	body := make([]byte, 0, len(tables)+len(r.Proxy)+frameLength)
	body = append(body, `{"proxy":`...)
	body = appendQuoted(body, r.Proxy)
	body = append(body, `,"tables":`...)
	body = append(body, tables...)
	return append(body, "}\n"...)
}

// Canonical gives the tables that the proxy holds once it has applied the response, in the canonical form of RFC 8785,
// for signatures. It is made once for all proxies with the same tables.
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

// Table is the table of a request class as a value.
type Table struct {
	Class          string
	Ordered        bool // the class has a table, be it an empty one
	Hosts          []string
	Weights        []float64 // of Hosts
	AdmissionRatio float64   // part of the requests to admit
	RetryPolicy    int
}

// Tables gives the tables that the proxy holds once it has applied the response, for callers that need no document.
func (r Response) Tables() []Table {
	var tables []Table
	for _, class := range r.tables.classes {
		table := Table{
			Class:          class.name,
			Ordered:        class.assigned,
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
