package intake

// Reporters tells repeats from news by the numbers that senders count up, for each source apart. A sender that starts over
// names itself anew; one that comes back after another took its place is a second one under the same name.
type Reporters struct {
	recent          []reporter // the newest last
	duplicateSeenMs float64    // when two were last seen to alternate
}

type reporter struct {
	id         string
	sequence   int64
	lastSeenMs float64
}

const (
	maxReporters      = 4       // of a source
	duplicateWindowMs = 10000.0 // ms that two senders of one source count as such
)

// Accept tells whether a number is news, and whether another sender is at work under the same name.
func (s *Reporters) Accept(now float64, name string, number int64) (news, twice bool) {
	for i, x := range s.recent {
		if x.id != name {
			continue
		}
		if number <= x.sequence {
			return false, s.Duplicate(now)
		}
		if i < len(s.recent)-1 && now-x.lastSeenMs < duplicateWindowMs {
			s.duplicateSeenMs = now
		}
		s.recent = append(append(s.recent[:i:i], s.recent[i+1:]...), reporter{name, number, now})
		return true, s.Duplicate(now)
	}
	if s.recent = append(s.recent, reporter{name, number, now}); len(s.recent) > maxReporters {
		s.recent = s.recent[1:]
	}
	return true, s.Duplicate(now)
}

// Duplicate tells whether two senders are at work under one name.
func (s *Reporters) Duplicate(now float64) bool {
	return s.duplicateSeenMs > 0 && now-s.duplicateSeenMs < duplicateWindowMs
}
