package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"sort"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// Table is the routing table of a request class.
type Table struct {
	Hosts          []Host  // with a weight above 0, sorted by address
	HasHosts       bool    // the controller has sent the hosts, even if there are none
	AdmissionRatio float64 // fraction of the requests to admit; 1 or more: all
	RetryPolicy    int     // retries. 0: none; 1: one, after NeverRan; 2, 3: one, two after any failure
}

// Host is an entry of a Table.
type Host struct {
	Address string
	Weight  float64 // relative to the other hosts of the table
}

// appliedTables are the tables by which the proxy routes, with the document that they were decoded from.
type appliedTables struct {
	source   string // base URL of the controller that sent the document
	tag      string // entity tag of the document, with quotes; "" if the next poll must ask for a snapshot
	document []byte // JSON
	byClass  map[string]Table
}

// tablesDocument is the wire format of a snapshot.
type tablesDocument struct {
	Tables map[string]classDocument `json:"tables"`
}

// classDocument is the wire format of one table. Without hosts, the applied ones are kept.
type classDocument struct {
	Hosts          map[string]float64 `json:"hosts"`
	AdmissionRatio *float64           `json:"share"`
	RetryPolicy    *int               `json:"tries"`
}

// documentCheck returns an error for a document that must not be applied.
type documentCheck func(document []byte) error

// setSnapshot applies a complete document. On an error nothing changes.
func (a *appliedTables) setSnapshot(source, tag string, document []byte, check documentCheck) error {
	return a.apply(source, tag, append([]byte(nil), document...), check)
}

// applyDelta applies a merge patch (RFC 7396) to the document with the tag base. A patch to another document, such as
// that of an outdated response, is an error. On an error nothing changes.
func (a *appliedTables) applyDelta(source, base, tag string, patch []byte, check documentCheck) error {
	if a.document == nil || source != a.source || base != a.tag {
		return fmt.Errorf("the delta is based on tables %q of %q, but tables %q of %q are applied",
			unquoted(base), source, unquoted(a.tag), a.source)
	}
	document, err := jsonpatch.MergePatch(a.document, patch)
	if err != nil {
		return fmt.Errorf("applying a delta: %w", err)
	}
	return a.apply(source, tag, document, check)
}

func (a *appliedTables) apply(source, tag string, document []byte, check documentCheck) error {
	if err := check(document); err != nil {
		return err
	}
	byClass, err := a.parse(document)
	if err != nil {
		return err
	}
	*a = appliedTables{source: source, tag: tag, document: document, byClass: byClass}
	return nil
}

// parse returns the tables of a document. Classes that the document lacks keep their applied table.
func (a *appliedTables) parse(document []byte) (map[string]Table, error) {
	var parsed tablesDocument
	if err := json.Unmarshal(document, &parsed); err != nil {
		return nil, fmt.Errorf("reading tables: %w", err)
	}
	if parsed.Tables == nil {
		return nil, errors.New(`reading tables: "tables" is missing`)
	}
	byClass := maps.Clone(a.byClass)
	if byClass == nil {
		byClass = map[string]Table{}
	}
	for class, received := range parsed.Tables {
		table, err := received.table(class, byClass[class])
		if err != nil {
			return nil, fmt.Errorf("reading tables: %w", err)
		}
		byClass[class] = table
	}
	return byClass, nil
}

// table returns the new table of a class, given the applied one.
func (d *classDocument) table(class string, applied Table) (Table, error) {
	table := Table{Hosts: applied.Hosts, HasHosts: applied.HasHosts, AdmissionRatio: 1, RetryPolicy: retryNeverRan}
	if d.AdmissionRatio != nil {
		table.AdmissionRatio = *d.AdmissionRatio
	}
	if d.RetryPolicy != nil {
		table.RetryPolicy = *d.RetryPolicy
	}
	if d.Hosts != nil {
		hosts, err := sortedHosts(d.Hosts)
		if err != nil {
			return Table{}, err
		}
		table.Hosts = hosts
		table.HasHosts = true
	}
	isValid := table.AdmissionRatio >= 0 && table.RetryPolicy >= noRetry && table.RetryPolicy <= retryTwice
	if !isValid {
		return Table{}, fmt.Errorf("class %s: share %g or tries %d is out of range",
			class, table.AdmissionRatio, table.RetryPolicy)
	}
	return table, nil
}

// sortedHosts returns hosts in the order of their addresses. All weights must be positive and finite.
func sortedHosts(weights map[string]float64) ([]Host, error) {
	var hosts []Host
	for address, weight := range weights {
		isValid := weight > 0 && !math.IsInf(weight, 0)
		if !isValid {
			return nil, fmt.Errorf("host %s: weight %g is not positive and finite", address, weight)
		}
		hosts = append(hosts, Host{Address: address, Weight: weight})
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Address < hosts[j].Address })
	return hosts, nil
}
