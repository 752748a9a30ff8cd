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

	// loadReportWindowMs is the window of a host's own report, which counts no attempts: the shortest valid window.
	loadReportWindowMs = 1
)

// ingestState holds the reports of proxies and hosts until the balancer gets them.
type ingestState struct {
	limits     intake.Limits
	queue      *intake.Queue
	trust      *intake.Trust // plausibility of the hosts' load reports
	pacer      intake.IngestPacer
	processed  int64                      // reports processed so far
	queueWaits intake.LatencyDistribution // from the arrival of a report to the round that processed it
	classRates []float64                  // recent mean request rate of a proxy, in requests per second, by class
}

// SetIngestLimits sets the limits for reports. It has to be called before the first report.
func (c *Controller) SetIngestLimits(limits intake.Limits) {
	c.ingest = ingestState{
		limits:     limits,
		queue:      intake.NewQueue(limits),
		trust:      intake.NewTrust(limits),
		classRates: make([]float64, len(c.classes)),
	}
}

// LoadReport is a load report that a host itself sends.
type LoadReport struct {
	Sender   string
	Sequence int64   // number of the report, from 1, which increases with each report of the sender
	SentAtMs float64 // on the sender's clock; 0: not given
	Load     routing.HostLoad
}

// hostSource returns the source of a host's own reports in the queue. It differs from the names of all proxies, since
// these contain no slash.
func hostSource(host string) string { return "/" + host }

// ObserveLoadReport records a host's own load report, and returns whether it was counted. A repeated report is not
// counted. The error is ErrUnknownHost, or a *FieldError for an invalid field.
func (c *Controller) ObserveLoadReport(nowMs float64, host string, report LoadReport) (counted bool, err error) {
	c.nowMs = nowMs
	if !c.HasEndpoint(host) {
		return false, ErrUnknownHost
	}
	stats := ProxyStats{
		Sender:   report.Sender,
		Sequence: report.Sequence,
		SentAtMs: report.SentAtMs,
		Hosts:    map[string]HostStats{host: {WindowMs: loadReportWindowMs, Load: report.Load}},
	}
	if err := c.checkStats(stats); err != nil {
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

// ObserveHealthCheck records the result of a health check. load is routing.UnknownLoad if the host reported none. A
// result for an unknown host is ignored.
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

// hostCapacity returns the capacity of a host according to the endpoint list and the request classes. The plausibility
// of the host's load reports is checked against it.
func (c *Controller) hostCapacity(host string) intake.Capacity {
	endpoint := c.endpoints.effective[host]
	return intake.Capacity{
		Cores:      endpoint.Cores * endpoint.speed(),
		MeanWorkMs: c.meanWorkMs(),
		ProxyShare: c.connectedShare(),
	}
}

// meanWorkMs returns the mean work of a request in ms at the recent request rates of the classes, 0 if the work of any
// class is not known.
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

// minDivisor replaces a divisor that is 0.
const minDivisor = 1e-9

// connectedShare returns the ratio of the proxies that are connected to this controller to all proxies of the fleet.
func (c *Controller) connectedShare() float64 {
	return math.Max(float64(len(c.sessions.byProxy))/float64(c.deployment.Proxies), minDivisor)
}

// processReports passes queued reports to the balancer, at most as many as one round may process.
func (c *Controller) processReports() {
	ingest := &c.ingest
	maxReports := ingest.pacer.MaxReports(ingest.limits.MaxPerRound)
	for _, report := range ingest.queue.Dequeue(c.nowMs, maxReports) {
		ingest.processed++
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

// processDemand passes the demand of a class at a proxy to the balancer, and updates the moving averages of the request
// rates.
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

// processHostStats passes request stats of a host to the balancer. A host's own report has only a load, which the
// balancer gets together with the next request stats of a proxy.
func (c *Controller) processHostStats(report *intake.Report) {
	host := report.Subject
	index, ok := c.hostIndex.IndexOf[host]
	if !ok {
		c.ingest.queue.CountDropped(intake.SubjectGone, 1)
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

// observeLateness passes the lateness of this round to the pacer, which then sheds reports or lengthens the time
// between rounds, and logs when the pacer changes its level.
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
	state := "rounds late"
	if pacer.SheddingLevel() < levelBefore {
		state = "rounds on time again"
	}
	c.logMode(fmt.Sprintf("%s: lateness_ms %.0f, ingest_ratio %.2f, round_interval_factor %.0f",
		state, pacer.LatenessMs(), pacer.Ratio(), pacer.IntervalFactor()))
}

// IngestRatio returns the ratio of reports to admit, 1 while rounds are on time.
func (c *Controller) IngestRatio() float64 { return c.ingest.pacer.Ratio() }

// IngestReport is the state of the ingest of reports.
type IngestReport struct {
	SheddingLevel int              `json:"level"`       // of shedding: 0 while rounds are on time, 3 at most
	LatenessMs    float64          `json:"late_ms"`     // recent lateness of rounds
	Processed     int64            `json:"taken"`       // reports processed so far
	Queued        int              `json:"waiting"`     // reports queued
	WaitP50Ms     float64          `json:"wait_p50_ms"` // recent time from the arrival of a report to its processing
	WaitP99Ms     float64          `json:"wait_p99_ms"`
	Sources       int              `json:"sources"` // of queued reports
	Dropped       map[string]int64 `json:"dropped"` // reports, by reason
	Hosts         int              `json:"hosts"`   // hosts with reports
	Distrusted    int              `json:"doubted"` // hosts whose load reports are not trusted
	Silent        int              `json:"silent"`  // hosts whose load reports have stopped
}

func (c *Controller) ingestReport(nowMs float64) IngestReport {
	ingest := &c.ingest
	waits := ingest.queueWaits.Report()
	report := IngestReport{
		SheddingLevel: ingest.pacer.SheddingLevel(),
		LatenessMs:    ingest.pacer.LatenessMs(),
		Processed:     ingest.processed,
		WaitP50Ms:     waits.P50,
		WaitP99Ms:     waits.P99,
		Dropped:       ingest.queue.Dropped(),
	}
	report.Queued, report.Sources = ingest.queue.Size()
	report.Hosts, report.Distrusted, report.Silent = ingest.trust.Count(nowMs)
	return report
}
