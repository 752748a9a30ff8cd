package controller

import (
	"slices"
	"strconv"
	"strings"
)

// mark is a number that the module gave the messages of a round; rounds count on where its numbers repeat.
type mark struct {
	round  int64
	number int
}

// answers holds the answers to marks back until all that was ordered before has left the channel, since withdrawals go in
// front of weights here. The module takes an answer as proof only of what was written to the same proxy.
type answers struct{ early []answer }

// answer is a proxy's to a mark.
type answer struct {
	mark
	proxy int
}

// tag names a version in a steward's life.
func (s *Controller) tag(number int64) string {
	return s.fleet.Incarnation + "-" + strconv.FormatInt(number, 10)
}

// tagOf names a version as the proxy knows it.
func (s *Controller) tagOf(v *version) string {
	if v.alias != "" {
		return v.alias
	}
	return s.tag(v.number)
}

// inherited finds the version that has a tag from an earlier life.
func (m *member) inherited(tag string) *version {
	for i := range m.versions {
		if v := &m.versions[i]; v.alias != "" && v.alias == tag {
			return v
		}
	}
	return nil
}

// acknowledge takes the newest version that the tags name as applied by the proxy, with all before it, and
// gives its number, or 0 where no tag names a version of the history. A version is acknowledged once; a tag of
// another life, or of a version never given to this proxy, acknowledges nothing.
func (s *Controller) acknowledge(m *member, tags []string) int64 {
	newest := int64(0)
	for _, tag := range tags {
		rest, ours := strings.CutPrefix(tag, s.fleet.Incarnation+"-")
		n, err := strconv.ParseInt(rest, 10, 64)
		if ours && err == nil && n > newest && m.version(n) != nil {
			newest = n
		}
		if v := m.inherited(tag); v != nil && v.number > newest {
			newest = v.number
		}
	}
	if newest > m.acked {
		for i := range m.versions {
			if v := &m.versions[i]; v.number <= newest {
				for _, k := range v.marks {
					s.answered.early = append(s.answered.early, answer{k, m.index})
				}
				v.marks = nil
			}
		}
		m.acked = newest
		s.tellAnswers()
	}
	return newest
}

// tellAnswers gives the module the answers that prove what it takes them for.
func (s *Controller) tellAnswers() {
	a := &s.answered
	if len(a.early) == 0 {
		return
	}
	slices.SortStableFunc(a.early, func(x, y answer) int { return int(x.round - y.round) })
	waiting := s.channel.oldest()
	n := 0
	for n < len(a.early) && a.early[n].round <= waiting {
		s.module.Ack(a.early[n].proxy, a.early[n].number)
		n++
	}
	a.early = append(a.early[:0], a.early[n:]...)
}
