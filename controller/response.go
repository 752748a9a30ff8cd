package controller

import (
	"encoding/json"
	"fmt"

	"github.com/gowebpki/jcs"
)

// ResponseKind of an answer.
type ResponseKind int

// The tables as they stand, a merge patch onto the version named as base, or nothing new.
const (
	Snapshot ResponseKind = iota
	Delta
	NotModified
)

// Response to a poll. Body may be called from any goroutine.
type Response struct {
	Kind         ResponseKind
	Proxy        string
	Tag, BaseTag string // without quotes
	view         *tableSet
	from         *tableSet
}

// Body gives the JSON document: {"proxy":…,"tables":…}, or the RFC 7396 merge patch of it. A class that was
// not ordered yet has no "hosts", and the proxy keeps what it has for it.
func (a Response) Body() []byte {
	switch a.Kind {
	case NotModified:
		return nil
	case Delta:
		return a.view.delta(a.from)
	}
	name, _ := json.Marshal(a.Proxy)
	tables := a.view.document()
	body := make([]byte, 0, len(tables)+len(name)+24)
	body = append(append(append(body, `{"proxy":`...), name...), `,"tables":`...)
	return append(append(body, tables...), "}\n"...)
}

// Canonical gives the tables that the proxy holds once it has taken the answer in, in the canonical form of RFC 8785, for
// signatures. It may be called from any goroutine, and is made once for all proxies with the same tables.
func (a Response) Canonical() ([]byte, error) {
	v := a.view
	whole := v.document()
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.canonical == nil {
		text, err := jcs.Transform(whole)
		if err != nil {
			return nil, fmt.Errorf("writing tables in their canonical form: %w", err)
		}
		v.canonical = text
	}
	return v.canonical, nil
}

// Table is what an answer holds for a class, as a value: hosts in order, and whether any were ordered at all.
type Table struct {
	Class          string
	Ordered        bool
	Hosts          []string
	Weights        []float64
	AdmissionRatio float64
	RetryPolicy    int
}

// Tables gives what the proxy holds once it has taken the answer in, for callers that need no document.
func (a Response) Tables() []Table {
	var all []Table
	for _, c := range a.view.classes {
		t := Table{Class: c.name, Ordered: c.assigned, AdmissionRatio: c.policy.admissionRatio, RetryPolicy: c.policy.retryPolicy}
		if c.assigned {
			for _, l := range c.entries {
				t.Hosts, t.Weights = append(t.Hosts, l.host), append(t.Weights, l.weight)
			}
		}
		all = append(all, t)
	}
	return all
}
