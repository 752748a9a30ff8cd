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

// DescribeRecord returns a line of text that describes a record.
func DescribeRecord(record *recordpb.Record) string {
	time := fmt.Sprintf("%.3f s  ", record.At/1000)
	switch what := record.What.(type) {
	case *recordpb.Record_Listed:
		draining := 0
		for _, host := range what.Listed.Hosts {
			if routing.HostState(host.Phase) == routing.Draining {
				draining++
			}
		}
		return time + fmt.Sprintf("the list: %d hosts, %d draining", len(what.Listed.Hosts), draining)
	case *recordpb.Record_ListFailed:
		return time + "the list could not be had"
	case *recordpb.Record_Poll:
		return time + fmt.Sprintf("%s polls with tags [%s]", what.Poll.Proxy, strings.Join(what.Poll.Tags, ", "))
	case *recordpb.Record_PollGone:
		return time + fmt.Sprintf("%s canceled a poll", what.PollGone.Proxy)
	case *recordpb.Record_Leave:
		return time + what.Leave + " disconnects"
	case *recordpb.Record_Sums:
		attempts, failed := int64(0), int64(0)
		for _, host := range what.Sums.Hosts {
			attempts, failed = attempts+host.Tries, failed+host.Failed
		}
		return time + fmt.Sprintf("stats %d of %s: %d attempts at %d hosts, %d failed",
			what.Sums.Number, what.Sums.Proxy, attempts, len(what.Sums.Hosts), failed)
	case *recordpb.Record_Probed:
		outcomes := [...]string{"healthy", "rejected", "timed out", "unreachable"}
		outcome := min(max(int(what.Probed.Outcome), 0), len(outcomes)-1)
		return time + fmt.Sprintf("health check of %s: %s", what.Probed.Host, outcomes[outcome])
	case *recordpb.Record_Operate:
		var commands []string
		for _, order := range what.Operate.Orders {
			commands = append(commands, order.Host+" "+operator.State(order.State).String())
		}
		return time + "operator commands: " + strings.Join(commands, ", ")
	case *recordpb.Record_Release:
		return time + "the controller stops and answers the open polls"
	case *recordpb.Record_Advance:
		return time + "time advanced"
	}
	return time + "another record"
}

// tablesDocument is a document of tables, or a delta, in which null removes a host.
type tablesDocument struct {
	Tables map[string]struct {
		Hosts          map[string]*float64 `json:"hosts"`
		AdmissionRatio *float64            `json:"share"`
		RetryPolicy    *float64            `json:"tries"`
	} `json:"tables"`
}

func formatValue(value *float64, exists bool) string {
	if !exists {
		return "no value"
	} else if value == nil {
		return "a removal"
	}
	return fmt.Sprint(*value)
}

// firstDifference describes the first value in which two documents of tables differ, ordered by class and host.
func firstDifference(recordedBody, replayedBody []byte) string {
	var recorded, replayed tablesDocument
	if len(recordedBody) == 0 {
		return "the documents differ; the recording has an old format without documents"
	}
	if json.Unmarshal(recordedBody, &recorded) != nil || json.Unmarshal(replayedBody, &replayed) != nil {
		return "the documents differ, and one is not valid JSON"
	}
	classes := maps.Clone(recorded.Tables)
	if classes == nil {
		classes = replayed.Tables
	}
	maps.Copy(classes, replayed.Tables)
	for _, class := range slices.Sorted(maps.Keys(classes)) {
		want, got := recorded.Tables[class], replayed.Tables[class]
		hosts := map[string]bool{}
		for host := range want.Hosts {
			hosts[host] = true
		}
		for host := range got.Hosts {
			hosts[host] = true
		}
		for _, host := range slices.Sorted(maps.Keys(hosts)) {
			wantWeight, inWant := want.Hosts[host]
			gotWeight, inGot := got.Hosts[host]
			if wantText, gotText := formatValue(wantWeight, inWant), formatValue(gotWeight, inGot); wantText != gotText {
				return fmt.Sprintf("host %s of class %s: recorded %s, replayed %s", host, class, wantText, gotText)
			}
		}
		for _, field := range []struct {
			name      string
			want, got *float64
		}{{"share", want.AdmissionRatio, got.AdmissionRatio}, {"tries", want.RetryPolicy, got.RetryPolicy}} {
			wantText, gotText := formatValue(field.want, field.want != nil), formatValue(field.got, field.got != nil)
			if wantText != gotText {
				return fmt.Sprintf("%s of class %s: recorded %s, replayed %s", field.name, class, wantText, gotText)
			}
		}
	}
	return "the documents differ only in their formatting"
}
