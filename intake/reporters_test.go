package intake

import (
	"fmt"
	"strings"
	"testing"

	"barleysail/internal/golden"
)

// A repeat is none, a sender that starts over is news, and two that take turns are told.
func TestSenders(t *testing.T) {
	var out strings.Builder
	var s Reporters
	for _, x := range []struct {
		at     float64
		name   string
		number int64
	}{{0, "a", 1}, {1000, "a", 2}, {1100, "a", 2}, {2000, "b", 1}, {3000, "b", 2}, {4000, "a", 3}, {4500, "b", 3}, {4600, "b", 3}, {20000, "b", 4}, {21000, "b", 5},
		{22000, "c", 1}, {23000, "d", 1}, {24000, "e", 1}, {25000, "f", 1}, {60000, "c", 1}} {
		news, twice := s.Accept(x.at, x.name, x.number)
		fmt.Fprintf(&out, "%5.0f %s %d: news %v, twice %v\n", x.at, x.name, x.number, news, twice)
	}
	golden.Compare(t, "senders", out.String())
}
