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
const window = 5000.0

// service counts what was earned and asked for, by class and window of arrival.
type service struct {
	mu      sync.Mutex
	start   float64
	classes []string
	earn    map[string]float64
	due     map[string]float64
	counts  map[string][]count
}

type count struct{ came, inTime, late, refused, lost int }

func newService(start float64) *service {
	return &service{start: start, earn: map[string]float64{}, due: map[string]float64{}, counts: map[string][]count{}}
}

// class adds a class; the order stays.
func (s *service) class(name string, earnings, due float64) {
	s.classes = append(s.classes, name)
	s.earn[name], s.due[name] = earnings, due
}

func (s *service) ended(class string, came, took float64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := max(int((came-s.start)/window), 0)
	for len(s.counts[class]) <= i {
		s.counts[class] = append(s.counts[class], count{})
	}
	c := &s.counts[class][i]
	c.came++
	switch {
	case errors.Is(err, client.ErrNotAdmitted):
		c.refused++
	case err != nil:
		c.lost++
	case took <= s.due[class]:
		c.inTime++
	default:
		c.late++
	}
}

// share is the part of the earnings that was answered in time, over windows from one up to another.
func (s *service) share(from, to int) (float64, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	earned, asked, n := 0.0, 0.0, 0
	for class, counts := range s.counts {
		for i := max(from, 0); i < min(to, len(counts)); i++ {
			c := counts[i]
			earned += float64(c.inTime) * s.earn[class]
			asked += float64(c.came) * s.earn[class]
			n += c.came
		}
	}
	if asked == 0 {
		return 1, n
	}
	return earned / asked, n
}

func (s *service) print(out io.Writer) {
	all, n := s.share(0, 1<<30)
	fmt.Fprintf(out, "\nservice %.3f of the earnings asked for, %d transactions\n", all, n)
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "from s\t")
	for _, class := range s.classes {
		fmt.Fprintf(w, "%s came\tin time\tlate\tnot let in\tlost\t", class)
	}
	fmt.Fprintln(w, "service\t")
	windows := 0
	for _, counts := range s.counts {
		windows = max(windows, len(counts))
	}
	for i := range windows {
		fmt.Fprintf(w, "%.0f\t", float64(i)*window/1000)
		for _, class := range s.classes {
			c := count{}
			if i < len(s.counts[class]) {
				c = s.counts[class][i]
			}
			fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t", c.came, c.inTime, c.late, c.refused, c.lost)
		}
		part, _ := s.share(i, i+1)
		fmt.Fprintf(w, "%.3f\t\n", part)
	}
	w.Flush()
}
