package routing

const (
	tick = 200.0 // ms between rounds of periodic work
)

// Balancer decides for one instance.
type Balancer struct {
	fleet   Deployment
	classes []RequestClass
	channel ControlChannel
	guard   SafetyLimits
	goal    Objective

	now, wakeAt float64
	knowing     float64 // sums from then on show our own first orders
	few         bool    // few hosts leave probes unanswered
	doubts      float64 // part of the doubts about hosts that counts
	heats       bool    // cold servers may be sent to
	behind      bool    // removals or starts wait for the channel
	thin        float64 // weight of the warm lines, as a part of what ready hosts can do now
	counter     uint64
	servers     []server
	order       []int // hosts in the order they were first listed
	planned     int   // so many of them are probed
	proxies     []proxy
	joined      int
	zoneBack    []bool // a proxy of the zone has joined since the last round
	local       bool   // a class stays in its zone
	dues        []due  // by time

	listKnown, askFailed bool
	askWait              float64

	heard              bool
	heardAt, gap       float64   // time of the last report round; how much later than usual they have come
	spans, lines       float64   // sum of the times that the last sums cover, and their number
	late, cycle        float64   // way of a message; time in which the sums come round all servers
	settle             float64   // until a move shows in the sums
	median, fulfilled  float64   // median R; part of the tries fulfilled
	came               []float64 // faded: transactions that came, by class
	level, levelHold   float64
	lowFulfilled       float64
	shares, toldShares []float64
	tries, toldTries   int

	dealt                bool // proxies get tables of their own, a few hosts each
	dealtUntil, dealtFor float64
	strained, storm      int  // report rounds in a row
	resting              bool // all proxies go to one server, keep
	keep                 int
	stormNext            float64

	number, mark     int // of the last batch; of the last that told weights
	asked, answers   int // proxies that were sent that one; that answered it
	markAt, filledAt float64
	urgentAt         float64
	costs            []float64 // of the present round, by proxy
	waiting          float64   // lines that joined proxies have not answered
	arriving         float64   // lines answered within the last way of a message, fading
	purse            float64   // lines that weights may cost
}

// New makes the steward of an instance that has just started.
func New(fleet Deployment, classes []RequestClass, channel ControlChannel, guard SafetyLimits, goal Objective) *Balancer {
	s := &Balancer{fleet: fleet, classes: classes, channel: channel, guard: guard, goal: goal, wakeAt: -1,
		heardAt: -1, level: 1, tries: 1, toldTries: fleet.DefaultRetryPolicy, fulfilled: 1}
	s.late, s.cycle, s.settle = channel.PropagationDelayMs, fleet.ReportIntervalMs, channel.PropagationDelayMs+2*fleet.ReportIntervalMs
	n := len(classes)
	s.came, s.shares, s.toldShares = make([]float64, n), make([]float64, n), make([]float64, n)
	s.zoneBack = make([]bool, fleet.Zones)
	for c := range classes {
		s.shares[c], s.toldShares[c] = 1, 1
		s.local = s.local || classes[c].ZoneLocal
	}
	return s
}

// Round decides on all that was noted since the last round.
func (s *Balancer) Round(now float64, w UpdateWriter) {
	s.now = now
	if s.fleet.WatchesEndpoints {
		s.follow(w)
	}
	if s.fleet.HealthChecks {
		for _, h := range s.order[s.planned:] {
			life := s.servers[h].life
			s.add(s.chance()*1000, func(w UpdateWriter) { s.probe(w, h, life) })
		}
		s.planned = len(s.order)
	}
	if s.wakeAt < 0 {
		s.knowing = now + 2*s.settle
	}
	if now >= s.wakeAt {
		s.wakeAt = now + tick
		w.ScheduleRound(s.wakeAt)
		if s.heard && now-s.heardAt >= s.fleet.ReportIntervalMs*0.9 {
			s.report(w, s.fleet.ReportIntervalMs)
		}
	}
	for len(s.dues) > 0 && s.dues[0].at <= now {
		d := s.dues[0]
		s.dues = s.dues[1:]
		d.do(w)
	}
	s.judge(w)
	s.publish(w, s.channel)
}

// share is the part of all proxies that are joined here.
func (s *Balancer) share() float64 { return float64(max(s.joined, 1)) / float64(s.fleet.Proxies) }
