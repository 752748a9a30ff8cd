package rules

import (
	"fmt"
	"math"
	"slices"
	"sort"
)

// Verdict on a rule: whether it was kept, and by what margin, from 1 (never near) down to 0 (just kept) and
// below (broken).
type Verdict struct {
	Rule   string
	Kept   bool
	Margin float64
	Seen   string
}

func verdict(rule string, used float64, format string, args ...any) Verdict {
	return Verdict{rule, used <= 1, 1 - used, fmt.Sprintf(format, args...)}
}

// Check reckons the rules over all that was noted up to end.
func (j *Journal) Check(f Figures, end float64) []Verdict {
	j.mu.Lock()
	defer j.mu.Unlock()
	v, _ := j.check(f, end)
	return v
}

// check reckons the rules, and counts the transactions that came after the word that their host drains or is gone.
func (j *Journal) check(f Figures, end float64) (v []Verdict, after int) {
	sort.SliceStable(j.answers, func(a, b int) bool { return j.answers[a].at < j.answers[b].at })
	sort.SliceStable(j.arrivals, func(a, b int) bool { return j.arrivals[a].at < j.arrivals[b].at })
	drains, after := j.drains(f)
	v = []Verdict{j.bare(f, end), j.twice(f), drains, j.cold(f), j.queue(f)}
	if len(j.faults) > 0 {
		v = append(v, Verdict{"deltas fit their base", false, -1, j.faults[0]})
	}
	return worse(j.folded, v), after
}

func (j *Journal) byProxy() map[string][]answer {
	by := map[string][]answer{}
	for _, a := range j.answers {
		by[a.proxy] = append(by[a.proxy], a)
	}
	return by
}

// bare: how long a joined proxy had no line for a class while a warm host was listed ready.
func (j *Journal) bare(f Figures, end float64) Verdict {
	worst, seen := 0.0, "no joined proxy was ever without a line"
	for proxy, answers := range j.byProxy() {
		since := map[string]float64{}
		for i, a := range answers {
			until := end
			if i+1 < len(answers) {
				until = answers[i+1].at
			}
			for class := range since {
				if !slices.Contains(a.empty, class) {
					delete(since, class)
				}
			}
			for _, class := range a.empty {
				if a.status == 0 || !j.warm(f, a.at) {
					delete(since, class)
					continue
				}
				if _, ok := since[class]; !ok {
					since[class] = a.at
				}
				last := j.warmUntil(f, a.at, until)
				if d := last - since[class]; d > worst {
					worst, seen = d, fmt.Sprintf("%s had no line for %s for %.0f ms of %.0f", proxy, class, d, f.Bare)
				}
				if last < until {
					delete(since, class)
				}
			}
		}
	}
	return verdict("no joined proxy without a host", worst/f.Bare, "%s", seen)
}

// warm tells whether a warm host is listed ready at a time.
func (j *Journal) warm(f Figures, at float64) bool {
	for _, h := range j.at(at) {
		if h.Ready && (h.Started == 0 || at >= h.Started+f.Cold) {
			return true
		}
	}
	return false
}

// warmUntil gives the time until which a warm host is listed ready from one at which one is.
func (j *Journal) warmUntil(f Figures, from, to float64) float64 {
	for i := sort.Search(len(j.lists), func(i int) bool { return j.lists[i].at > from }); i < len(j.lists) && j.lists[i].at < to; i++ {
		if !j.warm(f, j.lists[i].at) {
			return j.lists[i].at
		}
	}
	return to
}

// twice: transactions that must not run twice, and did.
func (j *Journal) twice(f Figures) Verdict {
	ran, n, seen := map[string]string{}, 0, ""
	for _, a := range j.arrivals {
		if !a.ran || !f.Once[a.class] {
			continue
		}
		if host, ok := ran[a.id]; ok {
			n++
			seen = fmt.Sprintf("; %s of %s ran at %s and at %s", a.id, a.class, host, a.host)
		}
		ran[a.id] = a.host
	}
	return verdict("no effect twice", 2*float64(n), "%d of %d ran twice%s", n, len(ran), seen)
}

// stays gives the times at which each proxy's stays with a steward began and ended.
func (j *Journal) stays() map[string][]float64 {
	stays, in := map[string][]float64{}, map[string]string{}
	for _, a := range j.answers {
		now := ""
		if a.status != 0 {
			now = a.steward
		}
		if in[a.proxy] != now {
			if in[a.proxy] != "" {
				stays[a.proxy] = append(stays[a.proxy], a.at)
			}
			if now != "" {
				stays[a.proxy] = append(stays[a.proxy], a.at)
			}
			in[a.proxy] = now
		}
	}
	return stays
}

// joined gives the time since which a proxy is joined.
func joined(stays []float64, at float64) (since float64, ok bool) {
	i := sort.SearchFloat64s(stays, at)
	if i%2 == 0 {
		return 0, false
	}
	return stays[i-1], true
}

// drains: how long after the list said that a host drains or is gone a joined proxy still sent there.
func (j *Journal) drains(f Figures) (v Verdict, n int) {
	stays, told := j.stays(), j.told(out)
	worst, seen := 0.0, ""
	n = j.after
	for _, a := range j.arrivals {
		since, out := inForce(told[a.host], a.at)
		stay, ok := joined(stays[a.proxy], a.at)
		if !out || !ok {
			continue
		}
		if a.at >= j.from {
			n++
		}
		if late := a.at - math.Max(since, stay); late > worst {
			worst, seen = late, fmt.Sprintf("; the last by %s at %s, %.0f ms of %.0f", a.proxy, a.host, late, f.Grace)
		}
	}
	return verdict("drains kept", worst/f.Grace, "%d transactions after the word%s", n, seen), n
}

// span is a time from which something holds of a host, and the time it ends.
type span struct{ from, to float64 }

// told gives for each host the spans in which the lists say something of it.
func (j *Journal) told(says func(h Listed, ok bool) bool) map[string][]span {
	hosts := map[string]bool{}
	for _, l := range j.lists {
		for host := range l.hosts {
			hosts[host] = true
		}
	}
	for host := range j.outSince {
		hosts[host] = true
	}
	for _, a := range j.arrivals { // one that no list has or had is out from the first
		hosts[a.host] = true
	}
	spans := map[string][]span{}
	for host := range hosts {
		open := false
		for i, l := range j.lists {
			h, ok := l.hosts[host]
			if now := says(h, ok); now && !open {
				from := l.at
				if at, ok := j.outSince[host]; i == 0 && ok {
					from = at
				} else if i == 0 && j.outSince != nil {
					from = j.begun
				}
				spans[host] = append(spans[host], span{from, math.Inf(1)})
			} else if !now && open {
				spans[host][len(spans[host])-1].to = l.at
			}
			open = says(h, ok)
		}
	}
	return spans
}

func inForce(spans []span, at float64) (since float64, ok bool) {
	for _, s := range spans {
		if at >= s.from && at < s.to {
			return s.from, true
		}
	}
	return 0, false
}

// cold: the work that came to a host that had just started, against what it could do, over each stretch of the
// stated length. It counts where two thirds of it came by proxies that could know: their last answer is from
// after the list told the start, or the list had told it for the grace.
func (j *Journal) cold(f Figures) Verdict {
	worst, seen := 0.0, "no host started"
	for i, l := range j.lists {
		for host, h := range l.hosts {
			if h.Started == 0 || h.Started+f.Cold < j.from || i > 0 && j.lists[i-1].hosts[host].Started == h.Started {
				continue
			}
			if used := j.started(f, host, h.Started, l.at); used >= worst {
				worst, seen = used, fmt.Sprintf("%s got %.2f of what it may get in %.0f ms", host, used, f.Fall)
			}
		}
	}
	return verdict("no cold host pushed over", worst, "%s", seen)
}

func (j *Journal) started(f Figures, host string, start, told float64) (most float64) {
	var all []arrival
	for _, a := range j.arrivals {
		if a.host == host && a.at >= start && a.at < start+f.Cold {
			all = append(all, a)
		}
	}
	first, sum, known := 0, 0.0, 0.0
	for i, a := range all {
		sum += a.work
		if j.knew(f, a, told) {
			known += a.work
		}
		for first < i && all[first].at <= a.at-f.Fall {
			sum -= all[first].work
			if j.knew(f, all[first], told) {
				known -= all[first].work
			}
			first++
		}
		part := f.ColdFrom + (1-f.ColdFrom)*math.Max(all[first].at-start, 0)/f.Cold
		budget := f.Multiple * part * j.capacity[host] * f.Fall
		if budget > 0 && known >= sum*2/3 {
			most = math.Max(most, sum/budget)
		}
	}
	return most
}

func (j *Journal) knew(f Figures, a arrival, told float64) bool {
	if a.at >= told+f.Grace {
		return true
	}
	i := sort.Search(len(j.answers), func(i int) bool { return j.answers[i].at > a.at })
	for i--; i >= 0 && j.answers[i].at >= told; i-- {
		if j.answers[i].proxy == a.proxy && j.answers[i].status > 0 {
			return true
		}
	}
	return false
}

// queue: messages to a proxy within the stated time, from its joining; and the lines that left a steward
// without a pause. A queue that empties at the channel's pace shows as such a stretch, so no more lines can
// ever have waited than the longest stretch holds. Where a stretch holds more than may wait, which a channel that goes
// on for long does without ever having many waiting, the steward's own figure counts, if there is one.
func (j *Journal) queue(f Figures) Verdict {
	worst, seen := 0.0, "nothing was sent"
	sent := map[string][]float64{}
	stretch, last := j.stretches(f, nil)
	stays := j.stays()
	for _, a := range j.answers {
		if a.lines == 0 {
			continue
		}
		extend(f, a, stretch, last)
		used, text := stretch[a.steward]/f.MostWaiting, fmt.Sprintf("%.0f lines in one stretch, %.0f may wait", stretch[a.steward], f.MostWaiting)
		if waited, ok := j.waited[a.steward]; ok && used > 1 {
			used = waited / f.MostWaiting
			text = fmt.Sprintf("%.0f lines waited by the steward's own word, %.0f may: in a stretch of %.0f it never paused", waited, f.MostWaiting, stretch[a.steward])
		}
		if used > worst {
			worst, seen = used, text
		}
		if f.MessagesMost == 0 || a.more {
			continue
		}
		since, ok := joined(stays[a.proxy], a.at+0.001)
		times := append(sent[a.proxy], a.at)
		for len(times) > 0 && (times[0] <= a.at-f.MessagesOver || ok && times[0] < since) {
			times = times[1:]
		}
		sent[a.proxy] = times
		if used := float64(len(times)) / float64(f.MessagesMost); used > worst {
			worst, seen = used, fmt.Sprintf("%s got %d messages in %.0f s, %d are allowed", a.proxy, len(times),
				f.MessagesOver/1000, f.MessagesMost)
		}
	}
	return verdict("short queue, few messages", worst, "%s", seen)
}
