package rules

import (
	"math"
	"slices"
	"sort"
)

// Fold reckons the rules over all that was noted up to now and drops what no later reckoning needs, so that a journal
// of any length fits into memory: what is left is that of the longest stretch a rule looks back over. It is for
// journals whose doubled effects are found elsewhere, since a transaction may run again after any time. The figures
// must be those of the last Check, and nothing may be noted later with a time before now.
func (j *Journal) Fold(f Figures, now float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.folded, j.after = j.check(f, now)
	cut := now - math.Max(math.Max(f.Bare, f.Grace), math.Max(f.Cold, f.MessagesOver)) - f.Fall - 1000
	j.foldLists(math.Min(cut, j.foldAnswers(f, cut)))
	i := sort.Search(len(j.arrivals), func(i int) bool { return j.arrivals[i].at >= cut })
	j.arrivals = slices.Clone(j.arrivals[i:])
	j.from = now
}

// worse gives of two reckonings the worse one by rule.
func worse(a, b []Verdict) []Verdict {
	out := slices.Clone(b)
	for _, v := range a {
		i := slices.IndexFunc(out, func(x Verdict) bool { return x.Rule == v.Rule })
		if i < 0 {
			out = append(out, v)
		} else if v.Margin < out[i].Margin {
			out[i] = v
		}
	}
	return out
}

func out(h Listed, ok bool) bool { return !ok || !h.Ready }

// foldLists leaves the list in force at the cut and all after it, and since when each host was out by then.
func (j *Journal) foldLists(cut float64) {
	k := sort.Search(len(j.lists), func(i int) bool { return j.lists[i].at > cut }) - 1
	if k <= 0 {
		return
	}
	base := j.lists[k]
	since := map[string]float64{}
	for host, spans := range j.told(out) {
		if at, gone := inForce(spans, base.at); gone {
			since[host] = at
		}
	}
	if j.outSince == nil {
		j.begun = j.lists[0].at
	}
	j.outSince, j.lists = since, slices.Clone(j.lists[k:])
}

// foldAnswers leaves each proxy's answers after the cut, and before it the one by which it joined and those of a
// stretch without a line that lasts. It gives when the first of these stretches began.
func (j *Journal) foldAnswers(f Figures, cut float64) (first float64) {
	first = math.Inf(1)
	type state struct {
		steward string
		joined  int // index of the answer by which it joined, -1: it is not
		bare    int // of the first of its present stretch with an empty class, -1: none
	}
	at := map[string]*state{}
	k := sort.Search(len(j.answers), func(i int) bool { return j.answers[i].at >= cut })
	last := map[string]int{}
	for i, a := range j.answers[:k] {
		s := at[a.proxy]
		if s == nil {
			s = &state{joined: -1, bare: -1}
			at[a.proxy] = s
		}
		switch {
		case a.status == 0:
			s.steward, s.joined = "", -1
		case s.steward != a.steward:
			s.steward, s.joined = a.steward, i
		}
		if a.status == 0 || len(a.empty) == 0 {
			s.bare = -1
		} else if s.bare < 0 {
			s.bare = i
		}
		last[a.proxy] = i
	}
	var left []answer
	for i, a := range j.answers[:k] {
		s := at[a.proxy]
		inStretch := s.bare >= 0 && i >= s.bare
		if i == last[a.proxy] || i == s.joined || inStretch {
			if inStretch {
				first = math.Min(first, a.at)
			} else {
				a.empty = nil
			}
			a.lines = 0 // counted, in stretch and in messages
			left = append(left, a)
		}
	}
	j.stretch, j.lastSent = j.stretches(f, j.answers[:k])
	j.answers = append(left, j.answers[k:]...)
	return first
}

// stretches gives each steward's present stretch of lines without a pause after some answers, and its last time.
func (j *Journal) stretches(f Figures, answers []answer) (stretch, last map[string]float64) {
	stretch, last = map[string]float64{}, map[string]float64{}
	for s, x := range j.stretch {
		stretch[s], last[s] = x, j.lastSent[s]
	}
	for _, a := range answers {
		if a.lines > 0 {
			extend(f, a, stretch, last)
		}
	}
	return stretch, last
}

// extend puts an answer's lines to its steward's stretch.
func extend(f Figures, a answer, stretch, last map[string]float64) {
	cost := float64(a.lines) + f.Head + 1
	if a.more {
		cost = float64(a.lines)
	}
	pause := 2 * cost / f.LinesPerS * 1000
	if a.at-last[a.steward] > math.Max(pause, 20) {
		stretch[a.steward] = 0
	}
	stretch[a.steward] += cost
	last[a.steward] = a.at
}
