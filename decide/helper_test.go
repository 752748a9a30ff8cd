package decide

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// bench drives one Steward through small hand-made rounds and prints what it decides. Probes are answered
// by hand.
type bench struct {
	*Steward
	now    float64
	out    strings.Builder
	wakeAt float64
	quiet  bool // leave out probes and marks
	marks  int
}

func (b *bench) say(format string, args ...any) {
	fmt.Fprintf(&b.out, "%7.0f  %s\n", b.now, fmt.Sprintf(format, args...))
}

func (b *bench) Line(table, host int, weight float64) {
	b.say("table %d host %d weight %.3f", table, host, weight)
}
func (b *bench) Bind(p, table, classes int) {
	b.say("bind proxy %d to table %d classes %d", p, table, classes)
}
func (b *bench) Level(table, classes int, share float64, tries int) {
	b.say("level %.2f classes %b tries %d", share, classes, tries)
}
func (b *bench) Mark(number int) {
	b.marks = number
	if !b.quiet {
		b.say("mark %d", number)
	}
}
func (b *bench) Probe(host int) {
	if !b.quiet {
		b.say("probe host %d", host)
	}
}
func (b *bench) Wake(at float64) { b.wakeAt = at }
func (b *bench) Watch()          { b.say("watch the list") }
func (b *bench) Log(text string) { b.say("log: %s", text) }

// deployment holds the settings of a plain one; a case changes what it is about.
type deployment struct {
	Fleet
	classes []Class
	Channel
	Guard
	Goal
}

func plain() deployment {
	return deployment{
		Fleet{Instances: 1, Zones: 2, Proxies: 2, Seed: 7, Period: 1000, UsualTries: 1, Admits: true, MayProbe: true},
		[]Class{{Due: 1000, Patience: 3000, Earnings: 1}, {Due: 500, Patience: 1500, Earnings: 5}},
		Channel{LinesPerS: 10000, Head: 5, MostWaiting: 10000, Late: 200, MessagesOver: 10000},
		Guard{Bare: 5000, Grace: 3000, ColdFrom: 0.2, Cold: 10000, FallMultiple: 4}, Goal{Whole: 0.9, WorstClass: 0.1, ProbePrice: 0.02}}
}

// start lists n ready hosts of weight 1, the even ones in zone 0, and joins the proxies.
func start(set deployment, n int) *bench {
	b := &bench{Steward: New(set.Fleet, set.classes, set.Channel, set.Guard, set.Goal), now: 1000, quiet: true}
	b.WholeList(true)
	for h := range n {
		b.Entry(h, h%2, Ready, 1, 0)
	}
	for p := range set.Proxies {
		b.Joined(p, p%2, 1)
	}
	b.Round(b.now, b)
	b.WholeList(false)
	for h := range n {
		b.Entry(h, h%2, Ready, 1, 0)
	}
	return b
}

// run lets time pass in timer steps; each second the host gets its sums: tries, failed, mean time. A
// missing host is not heard of. All proxies answer every mark at once.
func (b *bench) run(ms float64, sums map[int][3]float64) {
	for end := b.now + ms; b.now < end; {
		b.now += 200
		if int(b.now)%1000 == 0 {
			for h := range b.servers {
				if s, ok := sums[h]; ok {
					b.Heard(h, int(s[0]), int(s[1]), s[2], 1000, NoLoad)
				}
			}
		}
		for p := range b.proxies {
			b.Answered(p, b.marks)
		}
		b.Round(b.now, b)
	}
}

// check compares the trace with the kept one; KEEP=1 writes it anew, to be read before it is committed.
func (b *bench) check(t *testing.T) {
	t.Helper()
	file := filepath.Join("testdata", strings.TrimPrefix(t.Name(), "Test")+".txt")
	if os.Getenv("KEEP") != "" {
		if err := os.WriteFile(file, []byte(b.out.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	kept, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(strings.Split(string(kept), "\n"), strings.Split(b.out.String(), "\n")); diff != "" {
		t.Errorf("trace differs from %s (-kept +now):\n%s", file, diff)
	}
}
