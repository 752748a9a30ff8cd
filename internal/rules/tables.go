package rules

import (
	"encoding/json"
	"net/http"
)

// Status codes of responses with tables.
const (
	statusFull  = http.StatusOK
	statusDelta = http.StatusIMUsed // RFC 3229
)

// proxyTables holds the hosts of a proxy's tables, by request class. A class is kept once it had a table.
type proxyTables map[string]map[string]bool

// merge applies a full document or a merge patch (RFC 7396), and returns its cost in entries.
func (t proxyTables) merge(body []byte, full bool) (entries int, err error) {
	var document struct {
		Tables map[string]struct {
			Hosts map[string]*float64 `json:"hosts"` // null removes a host
		} `json:"tables"`
	}
	if err := json.Unmarshal(body, &document); err != nil {
		return 0, err
	}
	for class, table := range document.Tables {
		entries = max(entries, len(table.Hosts)+1) // classes share a table, so one entry serves them all
		if table.Hosts == nil {
			continue
		}
		if t[class] == nil || full {
			t[class] = map[string]bool{}
		}
		for host, weight := range table.Hosts {
			if weight == nil {
				delete(t[class], host)
			} else {
				t[class][host] = true
			}
		}
	}
	return entries, nil
}
