package steward

import (
	"fmt"
	"math"

	"barleysail/decide"
	"barleysail/intake"
)

// reports are what proxies and hosts told, on their way to the module.
type reports struct {
	limits intake.Limits
	queue  *intake.Queue
	trust  *intake.Trust
	pace   intake.Pace
	taken  int64         // lines
	waits  intake.Spread // from a report to the round that took it in
}

// Intake sets the limits of what comes in. It is called before anything has.
func (s *Steward) Intake(l intake.Limits) {
	s.intake = reports{limits: l, queue: intake.NewQueue(l), trust: intake.NewTrust(l)}
}

// HostLoad is a load report that a host sends itself, numbered by the sender.
type HostLoad struct {
	Sender string
	Number int64
	Stamp  float64 // ms, by the sender's clock; 0: not told
	Load   decide.Load
}

// direct is the source that a host's own reports have.
func direct(host string) string { return "/" + host } // which no proxy's name has

// ErrNotListed answers a report on a host that is not on the list.
var ErrNotListed = fmt.Errorf("the host is not on the list")

// HostLoad notes a host's own load report, once for each number. It tells whether it was counted.
func (s *Steward) HostLoad(now float64, host string, r HostLoad) (counted bool, err error) {
	s.now = now
	if !s.IsListed(host) {
		return false, ErrNotListed
	}
	if err := s.checkSums(Sums{Sender: r.Sender, Number: r.Number, Stamp: r.Stamp,
		Hosts: map[string]HostSums{host: {Span: 1, Load: r.Load}}}); err != nil {
		return false, err
	}
	news, age := s.intake.trust.Direct(now, host, r.Sender, r.Number, r.Stamp)
	if news {
		s.intake.queue.Offer(intake.Line{Source: direct(host), Of: host, Span: 1, Load: r.Load, Came: now, At: now - age})
	}
	return news, nil
}

// capacity is what the list and the classes tell of a host, and which part of the proxies tells of it here.
func (s *Steward) capacity(host string) intake.Capacity {
	e := s.list.entries[host]
	return intake.Capacity{Able: e.Cores * e.speed(), Work: s.intakeWork(), Share: s.joinedShare()}
}

// intakeWork is the mean work of a transaction by what lately came of each class; 0 where a class tells none.
func (s *Steward) intakeWork() float64 {
	work, all := 0.0, 0.0
	for k, c := range s.classes {
		if c.Work <= 0 {
			return 0
		}
		work, all = work+c.Work*s.came[k], all+s.came[k]
	}
	return work / math.Max(all, 1e-9)
}

// takeIn gives the module what waits, as far as a round takes it.
func (s *Steward) takeIn() {
	r := &s.intake
	for _, l := range r.queue.Take(s.now, r.pace.Lines(r.limits.Round)) {
		r.taken++
		r.waits.Add(s.now, nil, s.now-l.Came, 1)
		m := s.members.byName[l.Source]
		switch {
		case l.Usage:
			v, k := l, s.class[l.Of]
			s.module.Usage(m.index, k, v.Tries, v.Span)
			m.rates[k] += lately * (float64(v.Tries)/v.Span*1000 - m.rates[k])
			s.came[k] = s.came[k]*(1-0.01) + 0.01*float64(v.Tries)/v.Span*1000
		default:
			h, ok := s.hosts.Of[l.Of]
			if !ok {
				r.queue.Drop(intake.Unknown, 1)
				continue
			}
			c := s.capacity(l.Of)
			r.trust.Met(s.now, &l)
			r.trust.Report(s.now, l.Of, l.Load, c)
			if m != nil {
				s.module.Heard(h, l.Tries, l.Failed, l.Mean, l.Span, r.trust.Load(s.now, l.Of, l.Load, c))
			}
		}
	}
	for _, text := range r.trust.Told() {
		s.event("intake", text)
	}
}

// keepPace looks how late this round is, and sheds reports or lengthens rounds by it.
func (s *Steward) keepPace() {
	due := s.round.next()
	if math.IsInf(due, 0) {
		return
	}
	p := &s.intake.pace
	if was := p.Level(); p.Round(math.Max(s.now-due, 0)) {
		word := "is behind"
		if p.Level() < was {
			word = "keeps up again"
		}
		s.log(fmt.Sprintf("steward %s: rounds come %.0f ms late, %.2f of the intake, rounds %.0f times as long", word, p.Late(), p.Part(), p.Stretch()))
	}
}

// IntakePart is what part of the reports should be let in.
func (s *Steward) IntakePart() float64 { return s.intake.pace.Part() }

// IntakeReport is how the intake stands.
type IntakeReport struct {
	Level     int              `json:"level"`       // 0 while rounds keep pace, 3 at the most
	LateMs    float64          `json:"late_ms"`     // rounds lately came so late
	Taken     int64            `json:"taken"`       // lines
	Waiting   int              `json:"waiting"`     // lines
	WaitP50Ms float64          `json:"wait_p50_ms"` // of lines lately, from their coming to the round that took them in
	WaitP99Ms float64          `json:"wait_p99_ms"`
	Sources   int              `json:"sources"` // of them
	Dropped   map[string]int64 `json:"dropped"` // lines, by reason
	Hosts     int              `json:"hosts"`   // of which something is known
	Doubted   int              `json:"doubted"` // hosts whose load reports are not believed
	Silent    int              `json:"silent"`  // hosts whose load reports have stopped
}

func (s *Steward) intakeReport(now float64) IntakeReport {
	r := &s.intake
	i := IntakeReport{Level: r.pace.Level(), LateMs: r.pace.Late(), Taken: r.taken, Dropped: r.queue.Dropped()}
	w := r.waits.Report()
	i.WaitP50Ms, i.WaitP99Ms = w.P50, w.P99
	i.Waiting, i.Sources = r.queue.Waiting()
	i.Hosts, i.Doubted, i.Silent = r.trust.Count(now)
	return i
}
