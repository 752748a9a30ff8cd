package replay

import (
	"encoding/json"
	"math"
	"slices"

	"barleysail/controller"
	"barleysail/internal/record/recordpb"
)

// A replayed proxy draws hosts and lets transactions in as the recorded one did, as far as its table allows: of a draw
// by the old table that fell on a host, the part that the new table gives the host too stays there, and the rest is
// drawn by what the new table has more (the maximal coupling of two distributions; Lindvall, "Lectures on the Coupling
// Method", 1992). So each day's draws are as by its own table, and what differs between two days is what the tables
// make of it, not chance.

// going is what a proxy went by in the record: weights by class and host, and the shares let in.
type recordedTables struct {
	known   bool // since a whole document
	classes map[string]*controller.Table
	pending []*recordpb.Published // documents on their way
}

// goingMost documents may be on their way to a proxy; before that it has taken one.
const maxPendingResponses = 64

// published notes a document on its way.
func (r *recordedTables) addResponse(response *recordpb.Published) {
	if controller.ResponseKind(response.Kind) == controller.NotModified {
		return
	}
	if r.pending = append(r.pending, response); len(r.pending) > maxPendingResponses {
		r.pending, r.known = r.pending[1:], false
	}
}

// applied takes the documents in up to a version. One that is not known leaves the proxy's tables unknown until the
// next whole one.
func (r *recordedTables) apply(tag string) {
	for i, response := range r.pending {
		if response.Tag != tag {
			continue
		}
		for _, pending := range r.pending[:i+1] {
			r.applyResponse(pending)
		}
		r.pending = append(r.pending[:0], r.pending[i+1:]...)
		return
	}
	r.known = false
}

func (r *recordedTables) applyResponse(response *recordpb.Published) {
	var document tablesDocument
	isSnapshot := controller.ResponseKind(response.Kind) == controller.Snapshot
	if err := json.Unmarshal(response.Body, &document); err != nil {
		r.known = false // format 1 has no documents
		return
	}
	r.known = r.known || isSnapshot
	for class, change := range document.Tables {
		table := r.classes[class]
		if table == nil {
			table = &controller.Table{AdmissionRatio: 1}
			r.classes[class] = table
		}
		if change.AdmissionRatio != nil {
			table.AdmissionRatio = *change.AdmissionRatio
		}
		if isSnapshot && change.Hosts != nil {
			table.Hosts, table.Weights = nil, nil
		}
		for host, weight := range change.Hosts {
			setWeight(table, host, weight)
		}
	}
}

// setWeight puts a line into a table, or with nil takes it out; the hosts stay in order.
func setWeight(table *controller.Table, host string, weight *float64) {
	i, found := slices.BinarySearch(table.Hosts, host)
	switch {
	case weight == nil && found:
		table.Hosts, table.Weights = slices.Delete(table.Hosts, i, i+1), slices.Delete(table.Weights, i, i+1)
	case weight != nil && found:
		table.Weights[i] = *weight
	case weight != nil:
		table.Hosts, table.Weights = slices.Insert(table.Hosts, i, host), slices.Insert(table.Weights, i, *weight)
	}
}

// weight of a host in a table, 0 where it has none.
func weight(table *controller.Table, host string) float64 {
	if i, found := slices.BinarySearch(table.Hosts, host); found {
		return table.Weights[i]
	}
	return 0
}

// total weight of a table's hosts that are not out.
func totalWeight(table *controller.Table, excluded func(host string) bool) (sum float64) {
	for i, host := range table.Hosts {
		if !excluded(host) {
			sum += table.Weights[i]
		}
	}
	return sum
}

// by gives what the proxy went by for a class, nil where that is not known.
func (r *recordedTables) table(class string) *controller.Table {
	if !r.known {
		return nil
	}
	return r.classes[class]
}

// letIn tells whether a transaction is let in, by what became of it in the record.
func (s *simulation) admit(ratio float64, recorded *controller.Table, wasAdmitted bool) bool {
	draw, capped := s.random(), math.Min(ratio, 1)
	if recorded == nil {
		return draw < capped
	}
	recordedRatio := math.Min(recorded.AdmissionRatio, 1)
	if wasAdmitted {
		return recordedRatio <= 0 || draw*recordedRatio < capped
	}
	return capped > recordedRatio && draw*(1-recordedRatio) < capped-recordedRatio
}

// draw draws a host by weight, none that is out, by the host that the recorded draw fell on; "": it is not known.
func (s *simulation) drawCoupled(table, recorded *controller.Table, recordedHost string, excluded func(host string) bool) (string, bool) {
	if recorded == nil || recordedHost == "" || !(weight(recorded, recordedHost) > 0) || excluded(recordedHost) {
		return s.drawByWeight(table, excluded)
	}
	recordedTotal, newTotal := totalWeight(recorded, excluded), totalWeight(table, excluded)
	if newTotal <= 0 {
		return "", false
	}
	if s.random()*weight(recorded, recordedHost)/recordedTotal < weight(table, recordedHost)/newTotal {
		return recordedHost, true
	}
	host, ok := s.weightedChoice(table.Hosts, func(i int) float64 { // what the new table has over the old one of a host
		if excluded(table.Hosts[i]) {
			return 0
		}
		return math.Max(table.Weights[i]/newTotal-weight(recorded, table.Hosts[i])/recordedTotal, 0)
	})
	if !ok {
		return s.drawByWeight(table, excluded)
	}
	return host, true
}

// pick draws a host by weight, none that is out.
func (s *simulation) drawByWeight(table *controller.Table, excluded func(host string) bool) (string, bool) {
	return s.weightedChoice(table.Hosts, func(i int) float64 {
		if excluded(table.Hosts[i]) {
			return 0
		}
		return table.Weights[i]
	})
}

// choose draws a host by weights above 0; false where none is.
func (s *simulation) weightedChoice(hosts []string, weight func(i int) float64) (chosen string, ok bool) {
	total := 0.0
	for i := range hosts {
		total += weight(i)
	}
	remaining := s.random() * total
	for i, host := range hosts {
		hostWeight := weight(i)
		if hostWeight <= 0 {
			continue
		}
		if chosen, ok = host, true; remaining < hostWeight {
			break
		}
		remaining -= hostWeight
	}
	return chosen, ok
}
