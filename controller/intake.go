package controller

import (
	"fmt"
	"math"

	"barleysail/intake"
	"barleysail/routing"
)

// reports are what proxies and hosts told, on their way to the module.
type reports struct {
	limits intake.Limits
	queue  *intake.Queue
	trust  *intake.Trust
	pace   intake.IngestPacer
	taken  int64                      // lines
	waits  intake.LatencyDistribution // from a report to the round that took it in
}

// SetIngestLimits sets the limits of what comes in. It is called before anything has.
func (s *Controller) SetIngestLimits(l intake.Limits) {
	s.intake = reports{limits: l, queue: intake.NewQueue(l), trust: intake.NewTrust(l)}
}

// LoadReport is a load report that a host sends itself, numbered by the sender.
type LoadReport struct {
	Sender   string
	Sequence int64
	SentAtMs float64 // ms, by the sender's clock; 0: not told
	Load     routing.HostLoad
}

// direct is the source that a host's own reports have.
func direct(host string) string { return "/" + host } // which no proxy's name has

// ErrUnknownHost answers a report on a host that is not on the list.
var ErrUnknownHost = fmt.Errorf("the host is not on the list")

// ObserveLoadReport notes a host's own load report, once for each number. It tells whether it was counted.
func (s *Controller) ObserveLoadReport(now float64, host string, r LoadReport) (counted bool, err error) {
	s.now = now
	if !s.HasEndpoint(host) {
		return false, ErrUnknownHost
	}
	if err := s.checkSums(ProxyStats{Sender: r.Sender, Sequence: r.Sequence, SentAtMs: r.SentAtMs,
		Hosts: map[string]HostStats{host: {WindowMs: 1, Load: r.Load}}}); err != nil {
		return false, err
	}
	news, age := s.intake.trust.AcceptLoadReport(now, host, r.Sender, r.Sequence, r.SentAtMs)
	if news {
		s.intake.queue.Add(intake.Report{Source: direct(host), Subject: host, WindowMs: 1, Load: r.Load, ReceivedMs: now, ObservedMs: now - age})
	}
	return news, nil
}

// capacity is what the list and the classes tell of a host, and which part of the proxies tells of it here.
func (s *Controller) capacity(host string) intake.Capacity {
	e := s.list.entries[host]
	return intake.Capacity{Cores: e.Cores * e.speed(), MeanWorkMs: s.intakeWork(), ProxyShare: s.joinedShare()}
}

// intakeWork is the mean work of a transaction by what lately came of each class; 0 where a class tells none.
func (s *Controller) intakeWork() float64 {
	work, all := 0.0, 0.0
	for k, c := range s.classes {
		if c.MeanWorkMs <= 0 {
			return 0
		}
		work, all = work+c.MeanWorkMs*s.came[k], all+s.came[k]
	}
	return work / math.Max(all, 1e-9)
}

// takeIn gives the module what waits, as far as a round takes it.
func (s *Controller) takeIn() {
	r := &s.intake
	for _, l := range r.queue.Take(s.now, r.pace.MaxReports(r.limits.MaxPerRound)) {
		r.taken++
		r.waits.Add(s.now, nil, s.now-l.ReceivedMs, 1)
		m := s.members.byName[l.Source]
		switch {
		case l.IsDemand:
			v, k := l, s.class[l.Subject]
			s.module.ObserveDemand(m.index, k, v.Attempts, v.WindowMs)
			m.rates[k] += lately * (float64(v.Attempts)/v.WindowMs*1000 - m.rates[k])
			s.came[k] = s.came[k]*(1-0.01) + 0.01*float64(v.Attempts)/v.WindowMs*1000
		default:
			h, ok := s.hosts.IndexOf[l.Subject]
			if !ok {
				r.queue.Drop(intake.SubjectGone, 1)
				continue
			}
			c := s.capacity(l.Subject)
			r.trust.ObserveAttempts(s.now, &l)
			r.trust.ObserveLoad(s.now, l.Subject, l.Load, c)
			if m != nil {
				s.module.ObserveHostStats(h, l.Attempts, l.Failed, l.MeanLatencyMs, l.WindowMs, r.trust.Load(s.now, l.Subject, l.Load, c))
			}
		}
	}
	for _, text := range r.trust.DrainChanges() {
		s.event("intake", text)
	}
}

// keepPace looks how late this round is, and sheds reports or lengthens rounds by it.
func (s *Controller) keepPace() {
	due := s.round.next()
	if math.IsInf(due, 0) {
		return
	}
	p := &s.intake.pace
	if was := p.SheddingLevel(); p.ObserveRound(math.Max(s.now-due, 0)) {
		word := "is behind"
		if p.SheddingLevel() < was {
			word = "keeps up again"
		}
		s.log(fmt.Sprintf("steward %s: rounds come %.0f ms late, %.2f of the intake, rounds %.0f times as long", word, p.LatenessMs(), p.Ratio(), p.IntervalFactor()))
	}
}

// IngestRatio is what part of the reports should be let in.
func (s *Controller) IngestRatio() float64 { return s.intake.pace.Ratio() }

// IngestReport is how the intake stands.
type IngestReport struct {
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

func (s *Controller) intakeReport(now float64) IngestReport {
	r := &s.intake
	i := IngestReport{Level: r.pace.SheddingLevel(), LateMs: r.pace.LatenessMs(), Taken: r.taken, Dropped: r.queue.Dropped()}
	w := r.waits.Report()
	i.WaitP50Ms, i.WaitP99Ms = w.P50, w.P99
	i.Waiting, i.Sources = r.queue.Waiting()
	i.Hosts, i.Doubted, i.Silent = r.trust.Count(now)
	return i
}
