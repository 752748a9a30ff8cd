package replay

import (
	"encoding/json"
	"math"
	"slices"

	"barleysail/controller"
	"barleysail/internal/record/recordpb"
)

// A replayed proxy admits requests and draws hosts as the recorded proxy did, as far as its table allows. A recorded
// draw keeps its host with the ratio of the host's probability by the new table to that by the recorded one, at most 1.
// Otherwise the host is drawn by the excess of the new probabilities over the recorded ones. This is the maximal
// coupling of two distributions (Lindvall, "Lectures on the Coupling Method", 1992). The draws of each replay are
// distributed by its own tables, and two replays use common random numbers: they differ by their tables, not by chance.

// recordedTables are the tables that a proxy used during the recording: weights by class and host, and admission
// ratios.
type recordedTables struct {
	known   bool // false until the first snapshot
	classes map[string]*controller.Table
	pending []*recordpb.Published // responses that were published but not yet applied
}

// maxPendingResponses is the number of responses that may be on their way to a proxy.
const maxPendingResponses = 64

// addResponse adds a response that was published to the proxy.
func (r *recordedTables) addResponse(response *recordpb.Published) {
	if controller.ResponseKind(response.Kind) == controller.NotModified {
		return
	}
	if r.pending = append(r.pending, response); len(r.pending) > maxPendingResponses {
		r.pending, r.known = r.pending[1:], false
	}
}

// apply applies the pending responses up to a version. After an unknown version the proxy's tables are unknown until
// the next snapshot.
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
		r.known = false // recordings of format 1 hold no documents
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

// setWeight sets a host's weight in a table, or removes the host if the weight is nil. The hosts stay sorted.
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

// weight returns the weight of a host in a table, 0 if the table does not have it.
func weight(table *controller.Table, host string) float64 {
	if i, found := slices.BinarySearch(table.Hosts, host); found {
		return table.Weights[i]
	}
	return 0
}

// totalWeight returns the total weight of a table's hosts that are not excluded.
func totalWeight(table *controller.Table, excluded func(host string) bool) (sum float64) {
	for i, host := range table.Hosts {
		if !excluded(host) {
			sum += table.Weights[i]
		}
	}
	return sum
}

// table returns the proxy's recorded table of a class, nil if it is not known.
func (r *recordedTables) table(class string) *controller.Table {
	if !r.known {
		return nil
	}
	return r.classes[class]
}

// admit decides whether a request is admitted, coupled with the recorded decision.
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

// drawCoupled draws a host that is not excluded by weight, coupled with the host of the recorded draw; that is empty
// if it is not known.
func (s *simulation) drawCoupled(
	table, recorded *controller.Table, recordedHost string, excluded func(host string) bool,
) (string, bool) {
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
	host, ok := s.weightedChoice(table.Hosts, func(i int) float64 { // the excess of the new probability
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

// drawByWeight draws a host that is not excluded by weight.
func (s *simulation) drawByWeight(table *controller.Table, excluded func(host string) bool) (string, bool) {
	return s.weightedChoice(table.Hosts, func(i int) float64 {
		if excluded(table.Hosts[i]) {
			return 0
		}
		return table.Weights[i]
	})
}

// weightedChoice draws a host by weight; ok is false if no weight is above 0.
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
