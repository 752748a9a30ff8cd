package controller

import (
	"fmt"
	"math"

	"barleysail/intake"
	"barleysail/routing"
)

// ingestState are what proxies and hosts told, on their way to the module.
type ingestState struct {
	limits     intake.Limits
	queue      *intake.Queue
	trust      *intake.Trust
	pacer      intake.IngestPacer
	taken      int64                      // lines
	queueWaits intake.LatencyDistribution // from a report to the round that took it in
}

// SetIngestLimits sets the limits of what comes in. It is called before anything has.
func (s *Controller) SetIngestLimits(l intake.Limits) {
	s.ingest = ingestState{limits: l, queue: intake.NewQueue(l), trust: intake.NewTrust(l)}
}

// LoadReport is a load report that a host sends itself, numbered by the sender.
type LoadReport struct {
	Sender   string
	Sequence int64
	SentAtMs float64 // ms, by the sender's clock; 0: not told
	Load     routing.HostLoad
}

// hostSource is the source that a host's own reports have.
func hostSource(host string) string { return "/" + host } // which no proxy's name has

// ObserveLoadReport notes a host's own load report, once for each number. It tells whether it was counted.
func (s *Controller) ObserveLoadReport(now float64, host string, r LoadReport) (counted bool, err error) {
	s.nowMs = now
	if !s.HasEndpoint(host) {
		return false, ErrUnknownHost
	}
	if err := s.checkStats(ProxyStats{Sender: r.Sender, Sequence: r.Sequence, SentAtMs: r.SentAtMs,
		Hosts: map[string]HostStats{host: {WindowMs: 1, Load: r.Load}}}); err != nil {
		return false, err
	}
	news, age := s.ingest.trust.AcceptLoadReport(now, host, r.Sender, r.Sequence, r.SentAtMs)
	if news {
		s.ingest.queue.Add(intake.Report{Source: hostSource(host), Subject: host, WindowMs: 1, Load: r.Load, ReceivedMs: now, ObservedMs: now - age})
	}
	return news, nil
}

// ObserveHealthCheck notes how a probe ended; load is decide.NoLoad where the host told none.
func (s *Controller) ObserveHealthCheck(now float64, host string, how routing.HealthCheckResult, load routing.HostLoad) {
	s.nowMs = now
	if h, ok := s.hostIndex.IndexOf[host]; ok {
		c := s.hostCapacity(host)
		s.ingest.trust.ObserveLoad(now, host, load, c)
		s.balancer.ObserveHealthCheck(h, how, s.ingest.trust.Load(now, host, load, c))
		s.scheduler.request(now, s.settings.MinRoundIntervalMs)
	}
}

// hostCapacity is what the list and the classes tell of a host, and which part of the proxies tells of it here.
func (s *Controller) hostCapacity(host string) intake.Capacity {
	e := s.endpoints.effective[host]
	return intake.Capacity{Cores: e.Cores * e.speed(), MeanWorkMs: s.meanWorkMs(), ProxyShare: s.connectedShare()}
}

// meanWorkMs is the mean work of a transaction by what lately came of each class; 0 where a class tells none.
func (s *Controller) meanWorkMs() float64 {
	work, all := 0.0, 0.0
	for k, c := range s.classes {
		if c.MeanWorkMs <= 0 {
			return 0
		}
		work, all = work+c.MeanWorkMs*s.classRates[k], all+s.classRates[k]
	}
	return work / math.Max(all, 1e-9)
}

// rateSmoothing is what the newest sums count for in a proxy's rates.
const rateSmoothing = 0.2

// processReports gives the module what waits, as far as a round takes it.
func (s *Controller) processReports() {
	r := &s.ingest
	for _, l := range r.queue.Take(s.nowMs, r.pacer.MaxReports(r.limits.MaxPerRound)) {
		r.taken++
		r.queueWaits.Add(s.nowMs, nil, s.nowMs-l.ReceivedMs, 1)
		m := s.sessions.byProxy[l.Source]
		switch {
		case l.IsDemand:
			v, k := l, s.classIndex[l.Subject]
			s.balancer.ObserveDemand(m.index, k, v.Attempts, v.WindowMs)
			m.requestRates[k] += rateSmoothing * (float64(v.Attempts)/v.WindowMs*1000 - m.requestRates[k])
			s.classRates[k] = s.classRates[k]*(1-0.01) + 0.01*float64(v.Attempts)/v.WindowMs*1000
		default:
			h, ok := s.hostIndex.IndexOf[l.Subject]
			if !ok {
				r.queue.Drop(intake.SubjectGone, 1)
				continue
			}
			c := s.hostCapacity(l.Subject)
			r.trust.ObserveAttempts(s.nowMs, &l)
			r.trust.ObserveLoad(s.nowMs, l.Subject, l.Load, c)
			if m != nil {
				s.balancer.ObserveHostStats(h, l.Attempts, l.Failed, l.MeanLatencyMs, l.WindowMs, r.trust.Load(s.nowMs, l.Subject, l.Load, c))
			}
		}
	}
	for _, text := range r.trust.DrainChanges() {
		s.recordEvent("intake", text)
	}
}

// observeLateness looks how late this round is, and sheds reports or lengthens rounds by it.
func (s *Controller) observeLateness() {
	due := s.scheduler.nextMs()
	if math.IsInf(due, 0) {
		return
	}
	p := &s.ingest.pacer
	if was := p.SheddingLevel(); p.ObserveRound(math.Max(s.nowMs-due, 0)) {
		word := "is behind"
		if p.SheddingLevel() < was {
			word = "keeps up again"
		}
		s.logMode(fmt.Sprintf("steward %s: rounds come %.0f ms late, %.2f of the intake, rounds %.0f times as long", word, p.LatenessMs(), p.Ratio(), p.IntervalFactor()))
	}
}

// IngestRatio is what part of the reports should be let in.
func (s *Controller) IngestRatio() float64 { return s.ingest.pacer.Ratio() }

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

func (s *Controller) ingestReport(now float64) IngestReport {
	r := &s.ingest
	i := IngestReport{Level: r.pacer.SheddingLevel(), LateMs: r.pacer.LatenessMs(), Taken: r.taken, Dropped: r.queue.Dropped()}
	w := r.queueWaits.Report()
	i.WaitP50Ms, i.WaitP99Ms = w.P50, w.P99
	i.Waiting, i.Sources = r.queue.Waiting()
	i.Hosts, i.Doubted, i.Silent = r.trust.Count(now)
	return i
}
