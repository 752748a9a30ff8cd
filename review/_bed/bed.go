package main

import (
	"fmt"
	"io"
	"math/rand"
	"os"
	"sort"
	"sync"
	"time"
)

// slack is what the protocol page adds to the time limits on sockets, and firstLimits how long after a steward's first
// answer they begin.
const (
	slack       = 300 * time.Millisecond
	firstLimits = time.Second
)

// A bed is the platform that a case plays on.
type bed struct {
	root    string
	out     io.Writer
	set     *settings
	trouble bool
	began   time.Time
	folder  string
	net     int // second byte of the addresses of hosts

	outMu sync.Mutex

	mu         sync.Mutex // guards everything below, and the fields of hosts, stewards and proxies
	random     *rand.Rand
	hosts      map[string]*host
	order      []*host
	hostCount  int
	generation int64
	changes    []change
	changed    chan struct{} // closed when the list changes
	stewards   []*steward
	proxies    []*proxy
	findings   map[string][]string // by rule
	rule       string              // the rule that the case judges
	closed     bool
	closers    []func()
	stop       chan struct{}
}

func newBed(root string, out io.Writer, seed int64, set *settings) *bed {
	folder, err := os.MkdirTemp("", "bed")
	if err != nil {
		fmt.Fprintln(os.Stderr, "bed:", err)
		os.Exit(2)
	}
	return &bed{
		root: root, out: out, set: set, began: time.Now(), folder: folder, net: 16 + os.Getpid()%200,
		random: rand.New(rand.NewSource(seed)), hosts: map[string]*host{}, generation: 40,
		changed: make(chan struct{}), findings: map[string][]string{}, stop: make(chan struct{}),
	}
}

// logf writes a line of the record.
func (b *bed) logf(format string, args ...any) {
	b.outMu.Lock()
	defer b.outMu.Unlock()
	fmt.Fprintf(b.out, "%8.3f ", time.Since(b.began).Seconds())
	fmt.Fprintf(b.out, format+"\n", args...)
}

// sleepUntil waits until a time after the bed's start.
func (b *bed) sleepUntil(seconds float64) {
	time.Sleep(time.Until(b.began.Add(time.Duration(seconds * float64(time.Second)))))
}

// breach records that a rule was broken. The caller holds the mutex.
func (b *bed) breach(rule, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	b.findings[rule] = append(b.findings[rule], text)
	if count := len(b.findings[rule]); count <= 20 {
		b.logf("BROKEN %s: %s", rule, text)
	}
}

// verdict writes what the rules say, and returns the exit status.
func (b *bed) verdict() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	var rules []string
	for rule := range b.findings {
		rules = append(rules, rule)
	}
	sort.Strings(rules)
	for _, rule := range rules {
		b.logf("rule %s: broken %d times, first: %s", rule, len(b.findings[rule]), b.findings[rule][0])
	}
	if len(b.findings[b.rule]) > 0 {
		fmt.Printf("rule %s was broken %d times: %s\n", b.rule, len(b.findings[b.rule]), b.findings[b.rule][0])
		return 1
	}
	b.logf("rule %s held", b.rule)
	fmt.Printf("rule %s held\n", b.rule)
	return 0
}

// close ends everything that the case has started.
func (b *bed) close() {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return
	}
	b.closed = true
	close(b.stop)
	closers := b.closers
	b.mu.Unlock()
	for i := len(closers) - 1; i >= 0; i-- {
		closers[i]()
	}
	_ = os.RemoveAll(b.folder)
}

// onClose registers what ends something.
func (b *bed) onClose(closer func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closers = append(b.closers, closer)
}

// between draws a number.
func (b *bed) between(from, to float64) float64 {
	return from + (to-from)*b.random.Float64()
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

func micros(value float64) time.Duration { return time.Duration(value * float64(time.Microsecond)) }

// watchRules looks at the rule on proxies without a host, twenty times a second, and at stewards that crash.
func (b *bed) watchRules() {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-b.stop:
			return
		case <-ticker.C:
		}
		b.mu.Lock()
		if !b.closed {
			now := time.Now()
			for _, p := range b.proxies {
				p.checkLines(now)
			}
		}
		b.mu.Unlock()
	}
}
