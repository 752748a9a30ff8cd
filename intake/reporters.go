package intake

// Reporters tells repeats from news by the numbers that senders count up, for each source apart. A sender that starts over
// names itself anew; one that comes back after another took its place is a second one under the same name.
type Reporters struct {
	last  []sender // the newest last
	twice float64  // when two were last seen to alternate
}

type sender struct {
	name   string
	number int64
	at     float64
}

const (
	sendersKept = 4       // of a source
	twiceFor    = 10000.0 // ms that two senders of one source count as such
)

// Accept tells whether a number is news, and whether another sender is at work under the same name.
func (s *Reporters) Accept(now float64, name string, number int64) (news, twice bool) {
	for i, x := range s.last {
		if x.name != name {
			continue
		}
		if number <= x.number {
			return false, s.Duplicate(now)
		}
		if i < len(s.last)-1 && now-x.at < twiceFor {
			s.twice = now
		}
		s.last = append(append(s.last[:i:i], s.last[i+1:]...), sender{name, number, now})
		return true, s.Duplicate(now)
	}
	if s.last = append(s.last, sender{name, number, now}); len(s.last) > sendersKept {
		s.last = s.last[1:]
	}
	return true, s.Duplicate(now)
}

// Duplicate tells whether two senders are at work under one name.
func (s *Reporters) Duplicate(now float64) bool { return s.twice > 0 && now-s.twice < twiceFor }
