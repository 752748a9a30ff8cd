package platform

import (
	"bytes"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"barleysail/internal/instance"
	"barleysail/internal/simwire"
	"barleysail/routing"
)

// wired writes a node's orders as the bench's adapter does.
type wired struct {
	*simwire.Writer
	inst *instance.Instance
}

func (w wired) SetWeight(table, host int, weight float64) {
	w.Weigh(0, table, w.inst.HostID(host), weight)
}
func (w wired) AssignTable(proxy, table, classes int) { w.AttachTable(0, proxy, table, classes) }
func (w wired) SetAdmission(table, classes int, share float64, tries int) {
	w.Throttle(0, table, classes, share, tries)
}
func (w wired) StampVersion(number int)  { w.Seal(0, number) }
func (w wired) CheckHealth(host int)     { w.Writer.Probe(0, w.inst.HostID(host)) }
func (w wired) ScheduleRound(at float64) { w.After(0, int64(at*1000), 1) }
func (w wired) WatchEndpoints()          { w.Subscribe(0) }
func (w wired) Log(event routing.Event)  { w.Remark(0, event.Text(routing.HostIndex)) }

// The steward on streams and the bench's adapter drive the module alike: the same that comes in, each in its own form,
// brings the same orders, round by round.
func TestLikeTheAdapter(t *testing.T) {
	simadapter := filepath.Join(t.TempDir(), "simadapter")
	if out, err := exec.Command("go", "build", "-o", simadapter, "barleysail/cmd/simadapter").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	n := node(t)
	var steward, lines bytes.Buffer
	out := wired{simwire.NewWriter(&steward), n.balancer}
	batch := 0
	round := func(ms float64, events ...string) {
		batch++
		fmt.Fprintf(&lines, `{"event_type":"Turn","SimTimeUs":%d,"n":%d}`+"\n%s\n"+`{"event_type":"End"}`+"\n", int64(ms*1000), batch, strings.Join(events, "\n"))
		n.balancer.Round(ms, out)
		if err := out.Done(int64(batch)); err != nil {
			t.Fatal(err)
		}
	}
	host := func(id, zone, lifecycle string, started float64) entry {
		return entry{InstanceID: id, HostPort: "127.0.0.1:1", Zone: zone, Lifecycle: lifecycle, Weight: 1, StartedAtMs: started}
	}
	record := func(id, zone string, phase int, started float64) string {
		return fmt.Sprintf(`{"Host":"%s","Area":"%s","Phase":%d,"W":1,"LaunchedUs":%d}`, id, zone, phase, int64(started*1000))
	}
	hosts := []entry{host("s-1", "a", "Ready", 0), host("s-2", "b", "Ready", 0)}
	records := record("s-1", "a", 1, 0) + "," + record("s-2", "b", 1, 0)
	n.applyWatchEvent(watchEvent{Reset: true, Instances: hosts}, true)
	n.connect(&session{proxy: 2, zone: 1, weight: 3})
	round(1000, fmt.Sprintf(`{"event_type":"Start","I":0,"Prng":%d,"Settings":%s}`, 0x1f, strings.ReplaceAll(settings, "\n", "")),
		`{"event_type":"Endpoints","I":0,"How":4,"Number":1,"Records":[`+records+`]}`, `{"event_type":"CheckedIn","I":0,"Px":2,"Area":"b","W":3,"Flag":true}`)
	n.applyWatchEvent(watchEvent{Reset: true, Instances: append(hosts, host("s-3", "a", "Ready", 1500))}, false)
	round(1600, `{"event_type":"Endpoints","I":0,"How":1,"Number":2,"Records":[`+records+","+record("s-3", "a", 1, 1500)+`]}`)
	for i := range 40 {
		var events []string
		for h, mean := range []float64{100, 300} {
			text := fmt.Sprintf("LOAD zone a server s-%d tries 20 failed %d mean_ms %g span_ms 1000 load util:0.6,qps:20", h+1, h, mean)
			f, _ := parseFields(strings.Fields(text))
			if err := n.handle(&session{proxy: -1}, "LOAD", f); err != nil {
				t.Fatal(err)
			}
			events = append(events, fmt.Sprintf(`{"event_type":"Stats","I":0,"WindowUs":1000000,"Errors":%d,"Host":"s-%d","CostTimeUs":%d,"Area":"a","Count":20,"Report":{"util":0.6,"qps":20}}`, h, h+1, int64(mean*1000)))
		}
		f, _ := parseFields(strings.Fields("RATE proxy 2 class sign tries 9 failed 0 span_ms 1000"))
		if err := n.handle(&session{proxy: -1}, "RATE", f); err != nil {
			t.Fatal(err)
		}
		events = append(events, `{"event_type":"Arrivals","I":0,"Px":2,"Kind":"sign","Count":9,"Errors":0,"WindowUs":1000000}`)
		switch i {
		case 20:
			n.applyWatchEvent(watchEvent{Instances: []entry{host("s-2", "b", "Terminating", 0)}}, false)
			events = append(events, `{"event_type":"Endpoints","I":0,"How":3,"Number":3,"Records":[`+record("s-2", "b", 2, 0)+`]}`)
		case 30:
			n.disconnect(n.sessions[2])
			events = append(events, `{"event_type":"Disconnected","I":0,"Px":2}`)
		}
		round(2000+1000*float64(i), events...)
	}
	run := exec.Command(simadapter)
	run.Stdin = &lines
	adapter, err := run.Output()
	if err != nil {
		t.Fatal(err)
	}
	if steward.Len() < 2000 {
		t.Errorf("only %d bytes of orders", steward.Len())
	}
	if diff := cmp.Diff(strings.Split(string(adapter), "\n"), strings.Split(steward.String(), "\n")); diff != "" {
		t.Errorf("(-adapter +steward):\n%s", diff)
	}
}
