package rehearse

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"text/tabwriter"

	"barleysail/client"
)

// windowMs is the length of the windows in which requests are counted, in ms.
const windowMs = 5000.0

// allWindows is the end of a range that covers all windows.
const allWindows = 1 << 30

// serviceLevel counts the outcomes of requests by class and by the window in which they were received.
type serviceLevel struct {
	mu                 sync.Mutex
	startMs            float64
	classes            []string
	priorityWeight     map[string]float64
	latencyObjectiveMs map[string]float64
	counts             map[string][]requestCounts
}

// requestCounts counts the requests of a window by outcome.
type requestCounts struct{ received, inTime, late, notAdmitted, failed int }

func newServiceLevel(startMs float64) *serviceLevel {
	return &serviceLevel{
		startMs:            startMs,
		priorityWeight:     map[string]float64{},
		latencyObjectiveMs: map[string]float64{},
		counts:             map[string][]requestCounts{},
	}
}

// addClass adds a request class. Classes are printed in the order in which they were added.
func (s *serviceLevel) addClass(name string, priorityWeight, latencyObjectiveMs float64) {
	s.classes = append(s.classes, name)
	s.priorityWeight[name], s.latencyObjectiveMs[name] = priorityWeight, latencyObjectiveMs
}

// countRequest counts a request that ended.
func (s *serviceLevel) countRequest(class string, receivedMs, durationMs float64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	index := max(int((receivedMs-s.startMs)/windowMs), 0)
	for len(s.counts[class]) <= index {
		s.counts[class] = append(s.counts[class], requestCounts{})
	}
	counts := &s.counts[class][index]
	counts.received++
	switch {
	case errors.Is(err, client.ErrNotAdmitted):
		counts.notAdmitted++
	case err != nil:
		counts.failed++
	case durationMs <= s.latencyObjectiveMs[class]:
		counts.inTime++
	default:
		counts.late++
	}
}

// fraction returns the fraction of the requests that met their latency objective, by priority weight, and the number of
// requests. It covers the requests received in the windows from first until before end.
func (s *serviceLevel) fraction(first, end int) (float64, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	achieved, total, requests := 0.0, 0.0, 0
	for class, counts := range s.counts {
		for i := max(first, 0); i < min(end, len(counts)); i++ {
			windowCounts := counts[i]
			achieved += float64(windowCounts.inTime) * s.priorityWeight[class]
			total += float64(windowCounts.received) * s.priorityWeight[class]
			requests += windowCounts.received
		}
	}
	if total == 0 {
		return 1, requests
	}
	return achieved / total, requests
}

// print prints the service level, and a table with a row for each window.
func (s *serviceLevel) print(out io.Writer) {
	level, requests := s.fraction(0, allWindows)
	fmt.Fprintf(out, "\nservice level %.3f by priority weight, %d requests\n", level, requests)
	table := tabwriter.NewWriter(out, 2, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "from s\t")
	for _, class := range s.classes {
		fmt.Fprintf(table, "%s came\tin time\tlate\tnot let in\tlost\t", class)
	}
	fmt.Fprintln(table, "service\t")
	windows := 0
	for _, counts := range s.counts {
		windows = max(windows, len(counts))
	}
	for i := range windows {
		fmt.Fprintf(table, "%.0f\t", float64(i)*windowMs/1000)
		for _, class := range s.classes {
			windowCounts := requestCounts{}
			if i < len(s.counts[class]) {
				windowCounts = s.counts[class][i]
			}
			fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%d\t", windowCounts.received, windowCounts.inTime, windowCounts.late,
				windowCounts.notAdmitted, windowCounts.failed)
		}
		windowLevel, _ := s.fraction(i, i+1)
		fmt.Fprintf(table, "%.3f\t\n", windowLevel)
	}
	table.Flush()
}
