// Command _standin plays the platform of a case of the review: discovery's agent, hosts, proxies, collectors and
// clients, all on loopback and by the real clock, round one controller that it starts by the command of the deploy
// file. It ends with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

type class struct {
	name                       string
	share, workMs              float64
	aimMs, patienceMs, earning float64
	staysLocal                 bool
	effect                     string // idempotent if it is empty
	scope                      string // of its key: all if it is empty
	windowMs                   float64
}

// site holds the figures of a deployment.
type site struct {
	zones         []string
	classes       []class
	hostsPerZone  int
	proxiesByZone int
	rate          float64 // lines a second
	head          float64 // lines of a message beside its own
	lateMs        float64
	mostWaiting   float64
	messagesMost  int
	bareMs        float64
	graceMs       float64
	coldFrom      float64
	coldMs        float64
	fallMultiple  float64
	fallMs        float64
	ejects        int
	retryDefault  int
	clientRepeats int
	requestRate   float64
	cores         int
	speed         float64
	holds         int // requests that a host holds at most; it turns others away
	reports       []string
	admission     string
	logRequests   bool
	hears         int // report lines a second
	heardLateMs   float64
	elsewhere     int     // proxies that are joined to other controllers at first
	instances     int     // controllers; 0: one
	spread        float64 // of the work, lognormal; 0: even within a tenth of the mean
	oldKnown      bool    // the disruption is an old list of known hosts
}

type world struct {
	site    site
	trouble bool
	rule    string
	steward string

	mu      sync.Mutex // guards all below
	agent   *agent
	hosts   map[string]*host
	proxies []*proxy
	stats   map[string]map[string]*zoneStats // by zone and host

	freeMs       float64 // when the channel is free
	queue        []queued
	mostWaiting  float64
	mostMessages int
	lastMs       float64 // when the last message entered

	startMs                                  float64
	readyMs                                  float64 // when the controller first answered
	served, unserved, ended                  int
	latestSendMs, longestBareMs, highestPush float64
	broken                                   map[string]int

	recordMu sync.Mutex
	out      *bufio.Writer
}

var (
	stewardCommand *exec.Cmd
	stewardEnded   = make(chan struct{})
	stopping       atomic.Bool // the controller is to end
)

func main() {
	name := flag.String("case", "", "the case to play")
	record := flag.String("record", "record.txt", "the file to write the record to")
	run := flag.String("run", "", "the command of the deploy file that starts a controller")
	root := flag.String("root", ".", "the root of the repository")
	flag.Parse()
	runtime.LockOSThread() // the thread that starts the controller lives as long as the process
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { cannotRun("ended by signal %v", <-signals) }()
	play, ok := cases[*name]
	if !ok {
		cannotRun("unknown case %q", *name)
	}
	file, err := os.Create(*record)
	if err != nil {
		cannotRun("%v", err)
	}
	w := &world{trouble: os.Getenv("TROUBLE") != "0", hosts: map[string]*host{}, stats: map[string]map[string]*zoneStats{},
		broken: map[string]int{}, startMs: nowMs(), out: bufio.NewWriter(file)}
	w.site, w.rule = play.site(), play.rule
	w.agent = newAgent(w)
	for _, zone := range w.site.zones {
		w.stats[zone] = map[string]*zoneStats{}
	}
	w.mu.Lock()
	w.populate()
	w.mu.Unlock()
	w.startSteward(*run, *root)
	w.startTraffic()
	over := make(chan struct{})
	if w.trouble && play.trouble != nil {
		go func() {
			play.trouble(w)
			close(over)
		}()
	} else {
		time.AfterFunc(70*time.Second, func() { close(over) })
	}
	select {
	case <-over:
	case <-time.After(100 * time.Second):
	}
	stopSteward()
	w.finish(file)
}

// populate starts the hosts, lists them and makes the proxies.
func (w *world) populate() {
	var entries []entry
	for z, zone := range w.site.zones {
		for i := range w.site.hostsPerZone {
			h := w.addHost(fmt.Sprintf("s-%d%03d", z, i), zone, 0)
			entries = append(entries, w.entryOf(h, "Ready"))
		}
	}
	w.agent.set(entries...)
	count := len(w.site.zones) * w.site.proxiesByZone
	for number := range count {
		w.addProxy(number, w.site.zones[number%len(w.site.zones)], w.site.requestRate/float64(count))
	}
}

// startSteward writes the configuration and starts a controller by the command of the deploy file.
func (w *world) startSteward(run, root string) {
	// An address of its own: no other listener can take the port before the controller does.
	own := fmt.Sprintf("127.%d.%d.%d:0", 64+rand.IntN(128), 1+rand.IntN(254), 1+rand.IntN(254))
	listener, err := net.Listen("tcp", own)
	if err != nil {
		cannotRun("listening: %v", err)
	}
	w.steward = listener.Addr().String()
	_ = listener.Close()
	folder, err := os.MkdirTemp("", "case")
	if err != nil {
		cannotRun("%v", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	config, err := json.Marshal(map[string]any{
		"name": "n0", "listen": w.steward, "discovery": w.agent.listener.Addr().String(), "seed": fmt.Sprintf("%016x", rand.Uint64()),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    w.known(),
		"settings": w.settings(),
	})
	if err != nil {
		cannotRun("%v", err)
	}
	file := filepath.Join(folder, "config.json")
	if err := os.WriteFile(file, config, 0o600); err != nil {
		cannotRun("%v", err)
	}
	command := exec.Command("/bin/sh", "-c", run)
	command.Dir = root
	command.Env = append(os.Environ(), "EDGE_CONFIG="+file, "EDGE_NAME=n0", "EDGE_LISTEN="+w.steward,
		"EDGE_DISCOVERY="+w.agent.listener.Addr().String())
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it never outlives the stand-in
	command.Stderr = logWriter{w}
	command.Stdout = logWriter{w}
	if err := command.Start(); err != nil {
		cannotRun("starting the steward: %v", err)
	}
	stewardCommand = command
	go func() {
		_ = command.Wait()
		close(stewardEnded)
		if !stopping.Load() {
			cannotRun("the steward has ended")
		}
	}()
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		conn, err := net.Dial("tcp", w.steward)
		if err == nil {
			_ = conn.SetDeadline(time.Now().Add(time.Second))
			_, _ = conn.Write(message("PING"))
			words, err := readMessage(bufio.NewReader(conn))
			_ = conn.Close()
			if err == nil && len(words) == 1 && words[0] == "PONG" {
				break
			}
		}
		if time.Since(began) > 30*time.Second {
			cannotRun("the steward is not ready after 30 s")
		}
	}
	w.mu.Lock()
	w.readyMs = nowMs()
	w.mu.Unlock()
	w.record("steward ready")
}

// known returns the list as the controller last had it: the present one, or one whose hosts have all been replaced.
func (w *world) known() map[string]any {
	var entries []entry
	version := 41
	for _, h := range w.hosts {
		e := w.entryOf(h, "Ready")
		if w.site.oldKnown && w.trouble {
			version = 7
			e.InstanceID = "s-old" + e.InstanceID[2:]
			e.HostPort = fmt.Sprintf("127.9.%d.%d:9000", 1+len(entries)/200, 1+len(entries)%200) // nothing listens there
		}
		entries = append(entries, e)
	}
	return map[string]any{"generation": version, "reset": true, "instances": entries}
}

type logWriter struct{ w *world }

func (l logWriter) Write(text []byte) (int, error) {
	l.w.record("log %s", text[:max(len(text)-1, 0)])
	return len(text), nil
}

func stopSteward() {
	if stewardCommand == nil || stewardCommand.Process == nil {
		return
	}
	stopping.Store(true)
	_ = stewardCommand.Process.Signal(syscall.SIGTERM)
	select {
	case <-stewardEnded:
	case <-time.After(2 * time.Second):
		_ = stewardCommand.Process.Kill()
		<-stewardEnded
	}
}

// settings returns the settings in the form of the simulator's first message.
func (w *world) settings() map[string]any {
	s := w.site
	us := func(ms float64) int64 { return int64(ms * 1000) }
	var services []any
	var local, writes []bool
	for _, c := range s.classes {
		effect := c.effect
		if effect == "" {
			effect = "idempotent"
		}
		scope, windowMs := c.scope, c.windowMs
		if scope == "" {
			scope, windowMs = "all", 5000
		}
		services = append(services, map[string]any{"AimUs": us(c.aimMs), "Effect": effect, "HardLimitUs": us(c.patienceMs),
			"KeyScope": scope, "LateWorth": 0.1, "Name": c.name, "Value": c.earning, "WindowUs": us(windowMs)})
		local = append(local, c.staysLocal)
		writes = append(writes, false)
	}
	return map[string]any{
		"Discovery": "automatic", "FailureDomains": s.zones, "Family": "control",
		"FamilyInfo": map[string]any{"Admission": s.admission, "BareUs": us(s.bareMs), "ChannelRate": s.rate, "ClassWrites": writes,
			"DataPlaneSize": len(s.zones) * s.proxiesByZone, "Ejects": s.ejects, "Exclusive": false, "FirstWait": 0.8, "HearsPerS": s.hears,
			"InFlightMaxUs": 20000, "InitialSet": 12, "IntervalUs": 1000000, "LateUs": us(s.lateMs), "LocalFirst": true,
			"MessagesMost": s.messagesMost, "MinConnCap": 398.0, "MostWaiting": s.mostWaiting, "MovePrice": 0.01, "OrderPrice": 0.02,
			"PerMessage": s.head, "Pick": "weighted", "PushDelayMaxUs": 675000, "RetryDefault": s.retryDefault, "Shards": 0,
			"StaysLocal": local, "TenureUs": 2500000, "UpdateWindowUs": 10000000, "WaitsForTableUs": 300000, "WarmKeys": false},
		"Index": 0, "Instances": max(s.instances, 1), "Kinds": []string{"full-4core", "slow-4core"},
		"Limits": map[string]any{"ConnIdleUs": 15000000, "CpuUsPerS": 900000, "DialTimeoutUs": 250000, "MayProbe": true,
			"Peers": false, "StreamsPerConn": 100},
		"Prices": map[string]any{"Connection": 0.02, "CrossZone": 0.01, "Discovery": 0.0, "Handshake": 0.02, "LateFail": 0.03,
			"Moves": 0.0, "Peer": 0.0, "Probe": 0.02, "Waste": 0.03},
		"Rules": map[string]any{"AskWithinUs": 10000000, "ColdFrom": s.coldFrom, "ColdUs": us(s.coldMs),
			"FallMultiple": s.fallMultiple, "FallUs": us(s.fallMs), "StopSendingWithinUs": us(s.graceMs)},
		"ScoreParts": map[string]any{"Nines": 0.15, "NinesFull": 2.0, "Whole": 0.55, "WorstClass": 0.1, "WorstTenant": 0.0,
			"WorstWindow": 0.2},
		"Services": services, "Stats": map[string]any{"Fields": s.reports, "How": "answers"},
		"StepUs": 2000, "Weights": "none", "WorthBy": "request", "Zone": s.zones[0],
	}
}

// startTraffic joins the proxies and collectors, and starts the clients.
func (w *world) startTraffic() {
	for _, p := range w.proxies {
		w.join(p, "1")
		go w.reportDemand(p)
		go w.clients(p)
	}
	collectors := map[string]net.Conn{}
	for _, zone := range w.site.zones {
		conn, err := net.Dial("tcp", w.steward)
		if err != nil {
			cannotRun("a collector dials the steward: %v", err)
		}
		w.send(conn, "SOURCE", "zone", zone)
		collectors[zone] = conn
	}
	go w.collect(collectors)
	go func() {
		for range time.Tick(time.Second) {
			w.mu.Lock()
			for _, h := range w.hosts {
				h.rate, h.count = float64(h.count), 0
			}
			w.mu.Unlock()
		}
	}()
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			w.mu.Lock()
			for _, p := range w.proxies {
				w.checkBare(p)
			}
			w.mu.Unlock()
		}
	}()
}

func (w *world) clients(p *proxy) {
	for {
		time.Sleep(time.Duration(rand.ExpFloat64() / p.weight * float64(time.Second)))
		w.mu.Lock()
		drawn := rand.Float64()
		for i, c := range w.site.classes {
			drawn -= c.share
			if drawn < 0 || i == len(w.site.classes)-1 {
				w.request(p, i, 0)
				break
			}
		}
		w.mu.Unlock()
	}
}

// demandPeriod is the time between two reports of a proxy on its usage: a fleet of many proxies reports in turns.
func (w *world) demandPeriod() time.Duration {
	return time.Duration(max(1, len(w.proxies)/12)) * time.Second
}

// reportDemand writes a proxy's usage on its stream once a period, some time late.
func (w *world) reportDemand(p *proxy) {
	time.Sleep(time.Duration(rand.Float64() * float64(w.demandPeriod())))
	for range time.Tick(w.demandPeriod()) {
		w.mu.Lock()
		conn := p.conn
		for i, c := range w.site.classes {
			arrived, unserved := p.arrived[i], p.unserved[i]
			p.arrived[i], p.unserved[i] = 0, 0
			if conn != nil && arrived > 0 {
				w.at(nowMs()+w.site.heardLateMs, func() {
					w.mu.Lock()
					defer w.mu.Unlock()
					if p.conn == conn {
						p.write("RATE", "proxy", strconv.Itoa(p.number), "class", c.name, "tries", strconv.Itoa(arrived),
							"failed", strconv.Itoa(min(unserved, arrived)), "span_ms", num(float64(w.demandPeriod().Milliseconds())))
					}
				})
			}
		}
		w.mu.Unlock()
	}
}

// collect forwards, once a second and some time late, what the joined proxies met at each host. At most hears lines go in
// one second, the oldest first; the rest adds up and follows.
func (w *world) collect(conns map[string]net.Conn) {
	type pair struct{ zone, host string }
	for range time.Tick(time.Second) {
		w.mu.Lock()
		var due []pair
		for zone, hosts := range w.stats {
			for id, s := range hosts {
				if s.tries > 0 {
					due = append(due, pair{zone, id})
				}
			}
		}
		sort.Slice(due, func(i, j int) bool {
			first, second := w.stats[due[i].zone][due[i].host], w.stats[due[j].zone][due[j].host]
			return first.sinceMs < second.sinceMs
		})
		for _, d := range due[:min(len(due), max(w.site.hears-len(w.proxies)/4, 0))] {
			s, h, now := w.stats[d.zone][d.host], w.hosts[d.host], nowMs()
			mean := 0.0
			if s.tries > s.failed {
				mean = s.okMs / float64(s.tries-s.failed)
			}
			words := []string{"LOAD", "zone", d.zone, "server", d.host, "tries", strconv.Itoa(s.tries), "failed",
				strconv.Itoa(min(s.failed, s.tries)), "mean_ms", num(mean), "span_ms", num(max(now-s.sinceMs, 1))}
			if s.tries > s.failed {
				var values []string
				for name, value := range w.load(h) {
					values = append(values, fmt.Sprintf("%s:%.2f", name, value))
				}
				words = append(words, "load", strings.Join(values, ","))
			}
			conn := conns[d.zone]
			w.at(now+w.site.heardLateMs, func() { w.send(conn, words...) })
			w.stats[d.zone][d.host] = &zoneStats{sinceMs: now}
		}
		w.mu.Unlock()
	}
}

// at runs a function at an instant, in a goroutine of its own.
func (w *world) at(whenMs float64, run func()) {
	time.AfterFunc(time.Duration((whenMs-nowMs())*float64(time.Millisecond)), run)
}

func (w *world) record(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.out, "%8.3f  ", (nowMs()-w.startMs)/1000)
	fmt.Fprintf(w.out, format+"\n", args...)
}

func (w *world) breakRule(rule, format string, args ...any) {
	w.broken[rule]++
	if w.broken[rule] <= 20 {
		w.record("BROKEN %s: "+format, append([]any{rule}, args...)...)
	}
}

// finish writes the sums and ends with the verdict on the case's rule.
func (w *world) finish(file *os.File) {
	w.mu.Lock()
	summary := fmt.Sprintf("served %d, not served %d, streams that the steward ended %d, most lines waiting %.0f of %.0f, most messages "+
		"to a proxy in 10 s %d of %d, latest send to a host told as draining or gone %.0f ms (%.0f allowed), longest time without a "+
		"line %.0f ms (%.0f allowed), most that a cold host was sent %.1f times what it could do (%.1f allowed), broken %v",
		w.served, w.unserved, w.ended, w.mostWaiting, w.site.mostWaiting, w.mostMessages, w.site.messagesMost, w.latestSendMs,
		w.site.graceMs+slackMs, w.longestBareMs, w.site.bareMs+slackMs, w.highestPush, w.site.fallMultiple, w.broken)
	w.record("%s", summary)
	count := w.broken[w.rule]
	w.recordMu.Lock()
	_ = w.out.Flush()
	_ = file.Close()
	fmt.Println(summary)
	if count > 0 {
		fmt.Printf("rule %s: broken\n", w.rule)
		os.Exit(1)
	}
	fmt.Printf("rule %s: held\n", w.rule)
	os.Exit(0)
}
