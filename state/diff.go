package state

import (
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"barleysail/state/statepb"
)

// worth is the relative change of a figure that is worth a line in the log.
const worth = 0.05

// Diff gives what has to be noted to come from one state to another, nil where nothing has: what is other by name, and
// figures by so much that it matters. Both states are in the order of names.
func Diff(old, now *statepb.State) *statepb.Change {
	c := &statepb.Change{At: now.At, Part: &statepb.State{}}
	some := false
	each(old.Hosts, now.Hosts, (*statepb.Host).GetName, func(a, b *statepb.Host) {
		if b == nil {
			c.GoneHosts, some = append(c.GoneHosts, a.Name), true
		} else if a == nil || otherHost(a, b) {
			c.Part.Hosts, some = append(c.Part.Hosts, b), true
		}
	})
	used := map[string]bool{}
	each(old.Proxies, now.Proxies, (*statepb.Proxy).GetName, func(a, b *statepb.Proxy) {
		if b == nil {
			c.GoneProxies, some = append(c.GoneProxies, a.Name), true
		} else if a == nil || a.Tag != b.Tag || a.Zone != b.Zone || a.Table != b.Table || b.At-a.At > freshen || otherAll(a.Rates, b.Rates) {
			c.Part.Proxies, some = append(c.Part.Proxies, b), true
			used[b.Table] = true
		}
	})
	had := map[string]bool{}
	for _, t := range old.Tables {
		had[t.Id] = true
	}
	for _, t := range now.Tables {
		if used[t.Id] && !had[t.Id] {
			c.Part.Tables = append(c.Part.Tables, t)
		}
	}
	each(old.Settings, now.Settings, (*statepb.Setting).GetHost, func(a, b *statepb.Setting) {
		if b == nil {
			c.GoneSettings, some = append(c.GoneSettings, a.Host), true
		} else if a == nil || !proto.Equal(a, b) {
			c.Part.Settings, some = append(c.Part.Settings, b), true
		}
	})
	if a, b := old.Fleet, now.Fleet; b != nil && (a == nil || other(a.Level, b.Level) || otherAll(a.Shares, b.Shares) || other(a.Median, b.Median) || b.At-a.At > freshen) {
		c.Part.Fleet, c.Fleet, some = b, true, true
	}
	if !some {
		return nil
	}
	return c
}

// freshen ms after which an entry is noted again though nothing of it changed, since its age is a part of it.
const freshen = 10000.0

func other(a, b float64) bool { return math.Abs(a-b) > worth*math.Max(math.Abs(a), math.Abs(b)) }

func otherAll(a, b []float64) bool {
	return !slices.EqualFunc(a, b, func(x, y float64) bool { return !other(x, y) })
}

func otherHost(a, b *statepb.Host) bool {
	return a.Zone != b.Zone || a.Started != b.Started || a.Drains != b.Drains || a.Out != b.Out || a.Absent != b.Absent ||
		b.At-a.At > freshen || other(a.Weight, b.Weight) || other(a.R, b.R) || other(a.Trust, b.Trust) ||
		math.Abs(lost(a)-lost(b)) > 2*worth
}

// lost is the part of a host's tries that failed lately.
func lost(h *statepb.Host) float64 { return h.Lost / (h.Won + h.Lost + 1) }

// each goes through two lists in the order of names, with nil where one lacks an entry.
func each[T any](old, now []*T, name func(*T) string, f func(a, b *T)) {
	for i, j := 0, 0; i < len(old) || j < len(now); {
		switch {
		case j == len(now) || i < len(old) && name(old[i]) < name(now[j]):
			f(old[i], nil)
			i++
		case i == len(old) || name(now[j]) < name(old[i]):
			f(nil, now[j])
			j++
		default:
			f(old[i], now[j])
			i, j = i+1, j+1
		}
	}
}
