package rehearse

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"text/tabwriter"

	"barleysail/client"
)

// window is the length of the spans by which service is told.
const windowMs = 5000.0

// service counts what was earned and asked for, by class and window of arrival.
type serviceLevel struct {
	mu                 sync.Mutex
	startMs            float64
	classes            []string
	priorityWeight     map[string]float64
	latencyObjectiveMs map[string]float64
	counts             map[string][]requestCounts
}

type requestCounts struct{ received, inTime, late, notAdmitted, failed int }

func newServiceLevel(startMs float64) *serviceLevel {
	return &serviceLevel{startMs: startMs, priorityWeight: map[string]float64{}, latencyObjectiveMs: map[string]float64{}, counts: map[string][]requestCounts{}}
}

// class adds a class; the order stays.
func (s *serviceLevel) addClass(name string, priorityWeight, latencyObjectiveMs float64) {
	s.classes = append(s.classes, name)
	s.priorityWeight[name], s.latencyObjectiveMs[name] = priorityWeight, latencyObjectiveMs
}

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

// share is the part of the earnings that was answered in time, over windows from one up to another.
func (s *serviceLevel) fraction(from, to int) (float64, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	achieved, total, requests := 0.0, 0.0, 0
	for class, counts := range s.counts {
		for i := max(from, 0); i < min(to, len(counts)); i++ {
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

func (s *serviceLevel) print(out io.Writer) {
	level, requests := s.fraction(0, 1<<30)
	fmt.Fprintf(out, "\nservice %.3f of the earnings asked for, %d transactions\n", level, requests)
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
			fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%d\t", windowCounts.received, windowCounts.inTime, windowCounts.late, windowCounts.notAdmitted, windowCounts.failed)
		}
		windowLevel, _ := s.fraction(i, i+1)
		fmt.Fprintf(table, "%.3f\t\n", windowLevel)
	}
	table.Flush()
}
