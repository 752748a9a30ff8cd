package controller

import (
	"math"
	"slices"

	"barleysail/guard"
)

// reuseRepair gives the rows as they were last given where they are still sound and what was decided is the same, so that
// nothing is told anew for a little more or less demand; nil where not.
func (s *Controller) reuseRepair(v *guard.View, shared []int, l guard.Limits) (rows [][]float64) {
	w := &guard.View{Hosts: v.Hosts, Routes: slices.Clone(v.Routes)}
	for i := range w.Routes {
		r := &w.Routes[i]
		if i < len(shared) {
			if b := s.tables.table(shared[i]); b.repaired != nil {
				if lines, _ := guard.Changed(b.repairedFrom, r.Decided); lines > 0 {
					return nil
				}
				r.Decided = b.repaired
				for len(r.Decided) < len(v.Hosts) {
					r.Decided = append(r.Decided, 0)
				}
			}
		}
		rows = append(rows, r.Decided)
	}
	if len(guard.Check(w, l)) > 0 {
		return nil
	}
	return rows
}

// publishRepaired publishes a row for a shared table, and tells how many of its lines are other than decided. What the guard adds
// to the channel by itself has to leave room for removals; where it does not, the row that was published stays, without
// what may not stay in it.
func (s *Controller) publishRepaired(v *guard.View, b *routingTable, number int, decided, row []float64) (other int) {
	row = slices.Clone(row)
	if other, _ = guard.Changed(decided, row); other > 0 {
		for h := range row {
			row[h] = round6(row[h])
		}
	}
	fresh := b.changedRound == s.tables.round
	lines, removal := guard.Changed(b.published, row)
	if own := float64(lines); b.published != nil && (other > 0 || b.repaired != nil) && lines > 0 {
		if fresh {
			own = math.Max(0, own-b.changedEntries)
		}
		if !s.fitsChannel(number, own, !fresh) {
			if held, left := guard.MinimalUpdate(v.Hosts, b.published, decided); left {
				row = held
				lines, removal = guard.Changed(b.published, row)
				other, _ = guard.Changed(decided, row)
			}
		}
	}
	if was := b.repaired != nil; other > 0 {
		b.repaired, b.repairedFrom = row, slices.Clone(decided)
	} else if b.repaired = nil; !was {
		b.published = row
		return 0
	}
	if b.published != nil && lines > 0 {
		if !fresh {
			b.changedRound, b.changedEntries, b.hasRemoval = s.tables.round, 0, false
			s.tables.changed = append(s.tables.changed, number)
		}
		b.changedEntries, b.hasRemoval = math.Max(b.changedEntries, float64(lines)), b.hasRemoval || removal
	}
	b.published, b.tableSet, b.entries = row, nil, nil
	return other
}

// fitsChannel tells whether the channel has room for lines of the guard's own to all proxies that use a table.
func (s *Controller) fitsChannel(number int, lines float64, message bool) bool {
	c := &s.channel
	p := guard.ChannelBudget{Backlog: c.backlog(), MaxBacklog: c.maxBacklog, MaxMessages: c.maxMessages}
	all := 0.0
	for _, m := range s.sessions.byIndex {
		if m == nil || !slices.Contains(m.tableByClass, number) {
			continue
		}
		if all += lines; message {
			all += c.messageOverhead + 1
		}
		c.canSend(m, s.nowMs)
		p.MessagesSent = max(p.MessagesSent, len(m.sentMs))
	}
	return p.Fits(all, message)
}
