package client

import (
	"encoding/json"
	"fmt"
	"math"
	"sort"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// Table is what a steward ordered for a class of transactions.
type Table struct {
	Hosts   []Host  // with a weight above 0, by address
	Ordered bool    // the steward has told hosts, be it none
	Share   float64 // of the transactions that may be let in; 1 or more: all
	Tries   int     // 0: no further try; 1: one, after proof that the first never ran; 2, 3: one, two after any failure
}

// Host is a line of a table.
type Host struct {
	Address string
	Weight  float64
}

// appliedTables is what the proxy goes by: the document of one steward, its tag, and the tables taken from it.
type appliedTables struct {
	source   string // whose document it is
	tag      string // with quotes
	document []byte
	tables   map[string]Table
}

// tablesDocument is the steward's answer. A class without hosts was not ordered: what is held for it stays.
type tablesDocument struct {
	Tables map[string]struct {
		Hosts map[string]float64 `json:"hosts"`
		Share *float64           `json:"share"`
		Tries *int               `json:"tries"`
	} `json:"tables"`
}

// setSnapshot takes a whole document in. On an error nothing changes.
func (h *appliedTables) setSnapshot(steward, tag string, body []byte, check func(doc []byte) error) error {
	if err := check(body); err != nil {
		return err
	}
	tables, err := h.parse(body)
	if err != nil {
		return err
	}
	*h = appliedTables{steward, tag, append([]byte(nil), body...), tables}
	return nil
}

// applyDelta takes a merge patch in, if it is for the document that is held: one that arrives after a newer one is
// not. On an error nothing changes.
func (h *appliedTables) applyDelta(steward, base, tag string, patch []byte, check func(doc []byte) error) error {
	if h.document == nil || steward != h.source || base != h.tag {
		return fmt.Errorf("a delta onto %s came, held is %s", base, h.tag)
	}
	doc, err := jsonpatch.MergePatch(h.document, patch)
	if err != nil {
		return fmt.Errorf("applying a delta: %w", err)
	}
	if err := check(doc); err != nil {
		return err
	}
	tables, err := h.parse(doc)
	if err != nil {
		return err
	}
	*h = appliedTables{steward, tag, doc, tables}
	return nil
}

func (h *appliedTables) parse(doc []byte) (map[string]Table, error) {
	var d tablesDocument
	if err := json.Unmarshal(doc, &d); err != nil {
		return nil, fmt.Errorf("reading tables: %w", err)
	}
	if d.Tables == nil {
		return nil, fmt.Errorf(`reading tables: "tables" is missing`)
	}
	tables := map[string]Table{}
	for class, t := range h.tables {
		tables[class] = t
	}
	for class, t := range d.Tables {
		now := Table{Hosts: tables[class].Hosts, Ordered: tables[class].Ordered, Share: 1, Tries: 1}
		if t.Share != nil {
			now.Share = *t.Share
		}
		if t.Tries != nil {
			now.Tries = *t.Tries
		}
		if t.Hosts != nil {
			now.Hosts, now.Ordered = nil, true
			for address, weight := range t.Hosts {
				if !(weight > 0) || math.IsInf(weight, 0) {
					return nil, fmt.Errorf("reading tables: %s has the weight %g", address, weight)
				}
				now.Hosts = append(now.Hosts, Host{address, weight})
			}
			sort.Slice(now.Hosts, func(i, j int) bool { return now.Hosts[i].Address < now.Hosts[j].Address })
		}
		if !(now.Share >= 0) || now.Tries < 0 || now.Tries > 3 {
			return nil, fmt.Errorf("reading tables: %s has the share %g and tries %d", class, now.Share, now.Tries)
		}
		tables[class] = now
	}
	return tables, nil
}

// pick draws a host by weight, x from 0 to 1 giving the draw, none for which out tells so.
func (t Table) pick(x float64, out func(address string) bool) (string, bool) {
	total := 0.0
	for _, h := range t.Hosts {
		if !out(h.Address) {
			total += h.Weight
		}
	}
	last, found := "", false
	for _, h := range t.Hosts {
		if out(h.Address) {
			continue
		}
		if last, found = h.Address, true; x*total < h.Weight {
			break
		}
		x -= h.Weight / total
	}
	return last, found
}
