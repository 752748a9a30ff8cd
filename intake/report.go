package intake

import "barleysail/routing"

// Report is what one source told of one host, or of one class that came to it.
type Report struct {
	Source        string
	Subject       string // the host; of usage the class
	IsDemand      bool
	Attempts      int // of usage: what came
	Failed        int
	MeanLatencyMs float64 // ms, of the good tries
	WindowMs      float64 // ms in which it was counted
	Load          routing.HostLoad
	Latencies     []LatencyBucket // how the good tries' times spread; nil: not told
	ReceivedMs    float64         // when it came in
	ObservedMs    float64         // when it was true, on the steward's clock
}

// merge adds a later line of the same source on the same thing.
func (l *Report) merge(m Report) {
	good, more := float64(l.Attempts-l.Failed), float64(m.Attempts-m.Failed)
	if good+more > 0 {
		l.MeanLatencyMs = (l.MeanLatencyMs*good + m.MeanLatencyMs*more) / (good + more)
	}
	l.Attempts, l.Failed, l.WindowMs = l.Attempts+m.Attempts, l.Failed+m.Failed, l.WindowMs+m.WindowMs
	l.Latencies = append(l.Latencies, m.Latencies...)
	if m.Load != routing.UnknownLoad {
		l.Load = m.Load
	}
	l.ObservedMs = max(l.ObservedMs, m.ObservedMs)
}

// Why a line was not taken in.
const (
	QueueFull   = "more waited than may"
	TooOld      = "it was too old"
	SubjectGone = "its host or proxy is gone"
)
