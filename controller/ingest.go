package controller

import (
	"fmt"
	"math"

	"barleysail/intake"
	"barleysail/routing"
)

const (
	msPerSecond = 1000.0

	// rateSmoothing is the weight of the newest report in the request rates of a session, an exponential moving
	// average.
	rateSmoothing = 0.2

	// classRateSmoothing is the weight of one proxy's report in the request rates over all proxies, by class.
	classRateSmoothing = 0.01

	// loadReportWindowMs is the window of a host's own report. It counts no attempts, and the least window is valid.
	loadReportWindowMs = 1
)

// ingestState holds the reports of proxies and hosts on their way to the balancer.
type ingestState struct {
	limits     intake.Limits
	queue      *intake.Queue
	trust      *intake.Trust // plausibility of the hosts' load reports
	pacer      intake.IngestPacer
	taken      int64                      // reports processed so far
	queueWaits intake.LatencyDistribution // from the arrival of a report to the round that processed it
	classRates []float64                  // mean rate of a proxy lately in requests a second, by class
}

// SetIngestLimits sets the limits of reports. It has to be called before any report comes.
func (c *Controller) SetIngestLimits(limits intake.Limits) {
	c.ingest = ingestState{
		limits:     limits,
		queue:      intake.NewQueue(limits),
		trust:      intake.NewTrust(limits),
		classRates: make([]float64, len(c.classes)),
	}
}

// LoadReport is a load report that a host sends itself, numbered by its sender.
type LoadReport struct {
	Sender   string
	Sequence int64
	SentAtMs float64 // by the sender's clock; 0: not given
	Load     routing.HostLoad
}

// hostSource is the source of a host's own reports in the queue; the slash cannot stand in the name of a proxy.
func hostSource(host string) string { return "/" + host }

// ObserveLoadReport takes a host's own load report, once for each number, and reports whether it was counted. The error
// is ErrUnknownHost, or a *FieldError that names an invalid field.
func (c *Controller) ObserveLoadReport(nowMs float64, host string, report LoadReport) (counted bool, err error) {
	c.nowMs = nowMs
	if !c.HasEndpoint(host) {
		return false, ErrUnknownHost
	}
	asStats := ProxyStats{
		Sender:   report.Sender,
		Sequence: report.Sequence,
		SentAtMs: report.SentAtMs,
		Hosts:    map[string]HostStats{host: {WindowMs: loadReportWindowMs, Load: report.Load}},
	}
	if err := c.checkStats(asStats); err != nil {
		return false, err
	}
	isNew, ageMs := c.ingest.trust.AcceptLoadReport(nowMs, host, report.Sender, report.Sequence, report.SentAtMs)
	if isNew {
		c.ingest.queue.Add(intake.Report{
			Source:     hostSource(host),
			Subject:    host,
			WindowMs:   loadReportWindowMs,
			Load:       report.Load,
			ReceivedMs: nowMs,
			ObservedMs: nowMs - ageMs,
		})
	}
	return isNew, nil
}

// ObserveHealthCheck takes the result of a health check; load is routing.UnknownLoad where the host reported none. A
// result for a host that is not known is ignored.
func (c *Controller) ObserveHealthCheck(nowMs float64, host string, result routing.HealthCheckResult,
	load routing.HostLoad) {
	c.nowMs = nowMs
	index, ok := c.hostIndex.IndexOf[host]
	if !ok {
		return
	}
	capacity := c.hostCapacity(host)
	c.ingest.trust.ObserveLoad(nowMs, host, load, capacity)
	c.balancer.ObserveHealthCheck(index, result, c.ingest.trust.Load(nowMs, host, load, capacity))
	c.requestRound()
}

// hostCapacity is the capacity of a host by the endpoint list and the classes, for the plausibility of its reports.
func (c *Controller) hostCapacity(host string) intake.Capacity {
	endpoint := c.endpoints.effective[host]
	return intake.Capacity{
		Cores:      endpoint.Cores * endpoint.speed(),
		MeanWorkMs: c.meanWorkMs(),
		ProxyShare: c.connectedShare(),
	}
}

// meanWorkMs is the mean work of a request at the request rates of the classes; 0 where a class gives none.
func (c *Controller) meanWorkMs() float64 {
	work, totalRate := 0.0, 0.0
	for i, class := range c.classes {
		if class.MeanWorkMs <= 0 {
			return 0
		}
		work += class.MeanWorkMs * c.ingest.classRates[i]
		totalRate += c.ingest.classRates[i]
	}
	return work / math.Max(totalRate, minDivisor)
}

// minDivisor stands in for a divisor that may be 0.
const minDivisor = 1e-9

// connectedShare is the share of all proxies that are connected to this controller.
func (c *Controller) connectedShare() float64 {
	return math.Max(float64(len(c.sessions.byProxy))/float64(c.deployment.Proxies), minDivisor)
}

// processReports gives the queued reports to the balancer, as many as a round takes.
func (c *Controller) processReports() {
	ingest := &c.ingest
	maxReports := ingest.pacer.MaxReports(ingest.limits.MaxPerRound)
	for _, report := range ingest.queue.Take(c.nowMs, maxReports) {
		ingest.taken++
		ingest.queueWaits.Add(c.nowMs, nil, c.nowMs-report.ReceivedMs, 1)
		if report.IsDemand {
			c.processDemand(&report)
		} else {
			c.processHostStats(&report)
		}
	}
	for _, text := range ingest.trust.DrainChanges() {
		c.recordEvent(eventIngest, text)
	}
}

// processDemand gives the demand for a class at a proxy to the balancer, and updates the rates that follow it.
func (c *Controller) processDemand(report *intake.Report) {
	session := c.sessions.byProxy[report.Source]
	class := c.classIndex[report.Subject]
	c.balancer.ObserveDemand(session.index, class, report.Attempts, report.WindowMs)
	// Each rate is computed in one expression: another order of the operations would round differently.
	rates := session.requestRates
	rates[class] += rateSmoothing * (float64(report.Attempts)/report.WindowMs*msPerSecond - rates[class])
	classRates := c.ingest.classRates
	classRates[class] = classRates[class]*(1-classRateSmoothing) +
		classRateSmoothing*float64(report.Attempts)/report.WindowMs*msPerSecond
}

// processHostStats gives statistics about a host to the balancer. Of a host's own report only the load counts: the
// balancer gets it with the next statistics of a proxy.
func (c *Controller) processHostStats(report *intake.Report) {
	host := report.Subject
	index, ok := c.hostIndex.IndexOf[host]
	if !ok {
		c.ingest.queue.Drop(intake.SubjectGone, 1)
		return
	}
	c.ingest.trust.ObserveAttempts(c.nowMs, report)
	capacity := c.hostCapacity(host)
	c.ingest.trust.ObserveLoad(c.nowMs, host, report.Load, capacity)
	if _, fromProxy := c.sessions.byProxy[report.Source]; !fromProxy {
		return
	}
	load := c.ingest.trust.Load(c.nowMs, host, report.Load, capacity)
	c.balancer.ObserveHostStats(index, report.Attempts, report.Failed, report.MeanLatencyMs, report.WindowMs, load)
}

// observeLateness gives the pacer the time by which this round is late; the pacer sheds reports or stretches the time
// between rounds by it.
func (c *Controller) observeLateness() {
	dueMs := c.scheduler.nextMs()
	if math.IsInf(dueMs, 0) {
		return
	}
	pacer := &c.ingest.pacer
	levelBefore := pacer.SheddingLevel()
	if !pacer.ObserveRound(math.Max(c.nowMs-dueMs, 0)) {
		return
	}
	state := "is behind"
	if pacer.SheddingLevel() < levelBefore {
		state = "keeps up again"
	}
	c.logMode(fmt.Sprintf("steward %s: rounds come %.0f ms late, %.2f of the intake, rounds %.0f times as long",
		state, pacer.LatenessMs(), pacer.Ratio(), pacer.IntervalFactor()))
}

// IngestRatio is the ratio of reports that should be admitted, 1 while rounds keep pace.
func (c *Controller) IngestRatio() float64 { return c.ingest.pacer.Ratio() }

// IngestReport is the state of the ingest of reports.
type IngestReport struct {
	Level     int              `json:"level"`       // of shedding: 0 while rounds keep pace, 3 at most
	LateMs    float64          `json:"late_ms"`     // lateness of rounds lately
	Taken     int64            `json:"taken"`       // reports processed so far
	Waiting   int              `json:"waiting"`     // reports queued
	WaitP50Ms float64          `json:"wait_p50_ms"` // from the arrival of a report to the round that processed it, lately
	WaitP99Ms float64          `json:"wait_p99_ms"`
	Sources   int              `json:"sources"` // of queued reports
	Dropped   map[string]int64 `json:"dropped"` // reports, by reason
	Hosts     int              `json:"hosts"`   // of which something is known
	Doubted   int              `json:"doubted"` // hosts whose load reports are not trusted
	Silent    int              `json:"silent"`  // hosts whose load reports have stopped
}

func (c *Controller) ingestReport(nowMs float64) IngestReport {
	ingest := &c.ingest
	waits := ingest.queueWaits.Report()
	report := IngestReport{
		Level:     ingest.pacer.SheddingLevel(),
		LateMs:    ingest.pacer.LatenessMs(),
		Taken:     ingest.taken,
		WaitP50Ms: waits.P50,
		WaitP99Ms: waits.P99,
		Dropped:   ingest.queue.Dropped(),
	}
	report.Waiting, report.Sources = ingest.queue.Waiting()
	report.Hosts, report.Doubted, report.Silent = ingest.trust.Count(nowMs)
	return report
}
