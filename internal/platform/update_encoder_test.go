package platform

import (
	"fmt"
	"iter"
	"slices"
	"strings"
	"testing"

	"barleysail/internal/golden"
)

// tracedEncoder is an encoder for two request classes that writes its updates to a trace.
type tracedEncoder struct {
	*updateEncoder
	trace strings.Builder
}

// newTracedEncoder returns a traced encoder with the given proxies connected.
func newTracedEncoder(connected ...int) *tracedEncoder {
	hostName := func(host int) string { return fmt.Sprintf("s-%d", host) }
	proxies := func() iter.Seq[int] { return slices.Values(connected) }
	return &tracedEncoder{updateEncoder: newUpdateEncoder([]string{"read", "sign"}, hostName, proxies)}
}

// flushTraced ends a round and writes its updates to the trace, below a title.
func (e *tracedEncoder) flushTraced(title string) {
	fmt.Fprintf(&e.trace, "%s\n", title)
	e.flush(func(proxy int, message []byte, stamp int) {
		words := strings.ReplaceAll(string(message), "\r\n", " ")
		fmt.Fprintf(&e.trace, "    proxy %d, stamp %d: %s\n", proxy, stamp, words)
	})
}

// Each proxy gets at most one update per round, and the same bytes as others with the same content. A snapshot has the
// admission policies, since a proxy drops them with its table. What was sent on an ended session is forgotten.
func TestUpdates(t *testing.T) {
	encoder := newTracedEncoder(1, 2, 3)
	const readOnly, signOnly = 1, 2 // bit sets of request classes
	encoder.SetWeight(0, 1, 1)
	encoder.SetWeight(0, 2, 0.123456789)
	encoder.AssignTable(1, 0, allClasses)
	encoder.AssignTable(2, 0, allClasses)
	encoder.StampVersion(1)
	encoder.flushTraced("table 0 is assigned to proxies 1 and 2, and not to proxy 3")
	encoder.flushTraced("no changes")
	encoder.SetWeight(0, 2, 0)
	encoder.SetWeight(0, 3, 1234567)
	encoder.SetWeight(0, 3, 1e-7)
	encoder.StampVersion(2)
	encoder.flushTraced("weights change, that of host 3 twice: only the last is sent")
	encoder.SetAdmission(0, readOnly, 0.5, 0)
	encoder.SetAdmission(0, signOnly, 1, 1)
	encoder.flushTraced("each request class has its own admission policy")
	encoder.SetAdmission(0, allClasses, 1e6, 1)
	encoder.SetWeight(0, 1, 2)
	encoder.AssignTable(3, 0, allClasses)
	encoder.flushTraced("all classes have the same admission policy, a weight changes, and table 0 is assigned to proxy 3")
	encoder.forgetProxy(1)
	encoder.SetWeight(0, 1, 3)
	encoder.flushTraced("the session of proxy 1 has ended, and a weight changes")
	encoder.SetWeight(9, 1, 1)
	encoder.AssignTable(2, 9, allClasses)
	encoder.SetWeight(0, 1, 4)
	encoder.flushTraced("table 9 is assigned to proxy 2, and a weight of table 0 changes")
	golden.CompareForTest(t, encoder.trace.String())
}

// A proxy routes one request class by a fallback table for a while: each update names the classes that it is for, so
// that neither table changes the routes of the other's classes.
func TestFallbackTableUpdates(t *testing.T) {
	encoder := newTracedEncoder(1, 2)
	const readOnly = 1 // bit set of request classes
	encoder.SetAdmission(0, allClasses, 1, 1)
	encoder.SetWeight(1, 1, 1)
	encoder.SetWeight(2, 2, 1)
	encoder.AssignTable(1, 1, allClasses)
	encoder.AssignTable(2, 2, allClasses)
	encoder.StampVersion(1)
	encoder.flushTraced("each proxy has the table of its zone")
	encoder.SetWeight(1, 1, 0)
	encoder.AssignTable(1, 2, readOnly)
	encoder.StampVersion(2)
	encoder.flushTraced("table 1 is empty, table 2 is the fallback of proxy 1 for read")
	encoder.SetWeight(1, 3, 0.5)
	encoder.SetWeight(2, 2, 0.7)
	encoder.StampVersion(3)
	encoder.flushTraced("a weight of each table changes")
	encoder.SetAdmission(0, allClasses, 0.9, 1)
	encoder.flushTraced("the admission policy changes")
	encoder.AssignTable(1, 1, allClasses)
	encoder.StampVersion(4)
	encoder.flushTraced("proxy 1 has table 1 for all classes again")
	encoder.SetWeight(2, 2, 0.8)
	encoder.flushTraced("a weight of table 2 changes")
	encoder.AssignTable(1, 2, readOnly)
	encoder.AssignTable(1, 1, allClasses)
	encoder.AssignTable(1, 2, readOnly)
	encoder.flushTraced("proxy 1 gets both tables in one round")
	encoder.forgetProxy(1)
	encoder.SetWeight(1, 3, 0.6)
	encoder.SetWeight(2, 2, 0.9)
	encoder.flushTraced("the session of proxy 1 has ended")
	golden.CompareForTest(t, encoder.trace.String())
}
