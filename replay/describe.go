package replay

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"barleysail/internal/record/recordpb"
	"barleysail/operator"
	"barleysail/routing"
)

// Describe words an input in a line.
func Describe(r *recordpb.Record) string {
	at := fmt.Sprintf("%.3f s  ", r.At/1000)
	switch x := r.What.(type) {
	case *recordpb.Record_Listed:
		draining := 0
		for _, h := range x.Listed.Hosts {
			if routing.HostState(h.Phase) == routing.Draining {
				draining++
			}
		}
		return at + fmt.Sprintf("the list: %d hosts, %d draining", len(x.Listed.Hosts), draining)
	case *recordpb.Record_ListFailed:
		return at + "the list could not be had"
	case *recordpb.Record_Poll:
		return at + fmt.Sprintf("%s polls with %s", x.Poll.Proxy, strings.Join(x.Poll.Tags, ", "))
	case *recordpb.Record_PollGone:
		return at + fmt.Sprintf("the caller of a poll of %s is gone", x.PollGone.Proxy)
	case *recordpb.Record_Leave:
		return at + x.Leave + " leaves"
	case *recordpb.Record_Sums:
		tries, failed := int64(0), int64(0)
		for _, h := range x.Sums.Hosts {
			tries, failed = tries+h.Tries, failed+h.Failed
		}
		return at + fmt.Sprintf("sums %d of %s: %d tries at %d hosts, %d failed", x.Sums.Number, x.Sums.Proxy, tries,
			len(x.Sums.Hosts), failed)
	case *recordpb.Record_Probed:
		how := [...]string{"answered", "refused", "was silent", "was not there"}
		return at + fmt.Sprintf("%s %s to a probe", x.Probed.Host, how[min(max(int(x.Probed.Outcome), 0), 3)])
	case *recordpb.Record_Operate:
		var all []string
		for _, o := range x.Operate.Orders {
			all = append(all, o.Host+" "+operator.State(o.State).String())
		}
		return at + "operators order " + strings.Join(all, ", ")
	case *recordpb.Record_Release:
		return at + "the steward ends: held polls are answered"
	case *recordpb.Record_Advance:
		return at + "time passed"
	}
	return at + "an output"
}

// tables are a document's, or a delta's, with null for a host that leaves.
type tables struct {
	Tables map[string]struct {
		Hosts map[string]*float64 `json:"hosts"`
		Share *float64            `json:"share"`
		Tries *float64            `json:"tries"`
	} `json:"tables"`
}

func value(x *float64, ok bool) string {
	if !ok {
		return "nothing"
	} else if x == nil {
		return "its removal"
	}
	return fmt.Sprint(*x)
}

// firstValue names the first value in which two documents differ: by class and host, in order of their names.
func firstValue(was, now []byte) string {
	var a, b tables
	if len(was) == 0 {
		return "the documents differ; the record, of an older format, does not hold its own"
	}
	if json.Unmarshal(was, &a) != nil || json.Unmarshal(now, &b) != nil {
		return "the documents differ, and one is no JSON"
	}
	classes := maps.Clone(a.Tables)
	if classes == nil {
		classes = b.Tables
	}
	maps.Copy(classes, b.Tables)
	for _, class := range slices.Sorted(maps.Keys(classes)) {
		x, y := a.Tables[class], b.Tables[class]
		hosts := map[string]bool{}
		for h := range x.Hosts {
			hosts[h] = true
		}
		for h := range y.Hosts {
			hosts[h] = true
		}
		for _, h := range slices.Sorted(maps.Keys(hosts)) {
			v, had := x.Hosts[h]
			w, has := y.Hosts[h]
			if one, other := value(v, had), value(w, has); one != other {
				return fmt.Sprintf("host %s of %s: recorded %s, now %s", h, class, one, other)
			}
		}
		for _, f := range []struct {
			name string
			v, w *float64
		}{{"share", x.Share, y.Share}, {"tries", x.Tries, y.Tries}} {
			if one, other := value(f.v, f.v != nil), value(f.w, f.w != nil); one != other {
				return fmt.Sprintf("%s of %s: recorded %s, now %s", f.name, class, one, other)
			}
		}
	}
	return "the documents differ in their form alone"
}
