package main

import (
	"bufio"
	"math"
	"math/rand/v2"
	"net"
	"sort"
	"strconv"
	"strings"
	"time"
)

// proxy is a stand-in for a plain proxy. It does what its tables say.
type proxy struct {
	number   int
	zone     string
	weight   float64 // requests a second
	tables   []map[string]float64
	levels   []level
	shut     map[string]bool
	conn     net.Conn
	out      chan []byte // what it writes on its stream, in order
	joinedMs float64     // 0: not joined

	messagesMs []float64 // when its messages entered the channel, since it joined
	pending    []map[string]string
	arriveMs   float64  // when the last message on its way arrives
	onWay      []func() // what the messages on their way do when they arrive, in order
	sentMs     float64  // when the last message that it has applied was sent

	failures map[string]int // tries at a host in a row that failed
	avoidMs  map[string]float64
	bareMs   []float64 // by class: since when it has no line, while the list shows an open and warm host; 0: it has one

	arrived, unserved []int // by class, in the period
}

type level struct {
	set  bool
	gate float64
	how  int
}

// zoneStats is what the proxies of a zone met at a host in a period.
type zoneStats struct {
	tries, failed int
	okMs          float64
	sinceMs       float64 // when the period began
}

func (w *world) addProxy(number int, zone string, weight float64) *proxy {
	p := &proxy{number: number, zone: zone, weight: weight, shut: map[string]bool{}, failures: map[string]int{},
		avoidMs: map[string]float64{}}
	var near []string
	for _, h := range w.hosts {
		if h.zone == zone {
			near = append(near, h.id)
		}
	}
	sort.Strings(near)
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	for range w.site.classes {
		table := map[string]float64{}
		for _, id := range near[:min(len(near), 12)] {
			table[id] = 1
		}
		p.tables = append(p.tables, table)
		p.levels = append(p.levels, level{})
	}
	p.bareMs = make([]float64, len(w.site.classes))
	p.arrived = make([]int, len(w.site.classes))
	p.unserved = make([]int, len(w.site.classes))
	w.proxies = append(w.proxies, p)
	return p
}

// join opens the proxy's stream.
func (w *world) join(p *proxy, fresh string) {
	conn, err := net.Dial("tcp", w.steward)
	if err != nil {
		cannotRun("a proxy dials the steward: %v", err)
	}
	w.mu.Lock()
	p.conn = conn
	p.out = make(chan []byte, 1000)
	p.joinedMs = nowMs()
	p.messagesMs = nil
	p.pending = nil
	go write(conn, p.out)
	p.write("SUBSCRIBE", "proxy", strconv.Itoa(p.number), "zone", p.zone, "weight", num(p.weight), "fresh", fresh)
	w.mu.Unlock()
	go w.readStream(p, conn)
}

// write writes messages on a stream until the stream ends.
func write(conn net.Conn, out <-chan []byte) {
	for text := range out {
		_ = conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
		if _, err := conn.Write(text); err != nil {
			return
		}
	}
}

// write puts a message in the queue of the proxy's stream.
func (p *proxy) write(words ...string) {
	select {
	case p.out <- message(words...):
	default: // the steward has not read for long
	}
}

func (w *world) send(conn net.Conn, words ...string) {
	_ = conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, _ = conn.Write(message(words...))
}

func num(value float64) string { return strconv.FormatFloat(value, 'f', 1, 64) }

// readStream takes the steward's messages into its channel.
func (w *world) readStream(p *proxy, conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		words, err := readMessage(reader)
		w.mu.Lock()
		if p.conn != conn {
			w.mu.Unlock()
			return
		}
		if err != nil || len(words) == 0 || words[0] != "CONFIG" {
			w.record("stream ended proxy=%d err=%v words=%.60q", p.number, err, words)
			p.conn, p.joinedMs = nil, 0
			w.ended++
			w.mu.Unlock()
			return
		}
		part := fields(words)
		p.pending = append(p.pending, part)
		if part["part"] != "1" {
			w.enter(p, conn, p.pending)
			p.pending = nil
		}
		w.mu.Unlock()
	}
}

// enter puts a message into the channel: it leaves after those before it, and arrives some time later.
func (w *world) enter(p *proxy, conn net.Conn, parts []map[string]string) {
	lines := 0.0
	for _, part := range parts {
		for name, value := range part {
			switch name {
			case "rows", "drop", "undrop":
				lines += float64(strings.Count(value, ",") + 1)
			case "replace", "gate", "stamp":
				lines++
			}
		}
	}
	lines += w.site.head
	at := nowMs()
	w.waiting(at)
	w.freeMs = math.Max(w.freeMs, at) + lines/w.site.rate*1000
	w.queue = append(w.queue, queued{w.freeMs, lines})
	if waiting := w.waiting(at); waiting > w.mostWaiting {
		w.mostWaiting = waiting
	}
	p.messagesMs = append(p.messagesMs, at)
	w.lastMs = at
	inWindow := 0
	for _, sent := range p.messagesMs {
		if sent > at-10000 {
			inWindow++
		}
	}
	w.mostMessages = max(w.mostMessages, inWindow)
	w.record("message proxy=%d lines=%.0f waiting=%.0f in_10s=%d %v", p.number, lines, w.waiting(at), inWindow, brief(parts))
	arrive := math.Max(p.arriveMs, w.freeMs+w.site.lateMs*(0.7+0.6*rand.Float64()))
	p.arriveMs = arrive
	p.onWay = append(p.onWay, func() {
		if p.conn != conn {
			return
		}
		w.apply(p, parts)
		p.sentMs = at
		if stamp := parts[len(parts)-1]["stamp"]; stamp != "" {
			p.write("ACK", "proxy", strconv.Itoa(p.number), "mark", stamp, "took_ms", num(nowMs()-at))
		}
	})
	w.at(arrive, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		first := p.onWay[0]
		p.onWay = p.onWay[1:]
		first()
	})
}

func brief(parts []map[string]string) string {
	var out []string
	for _, part := range parts {
		for _, name := range []string{"for", "replace", "rows", "gate", "again", "drop", "undrop", "stamp"} {
			if value, ok := part[name]; ok {
				if len(value) > 160 {
					value = value[:160] + "..."
				}
				out = append(out, name+" "+value)
			}
		}
	}
	return strings.Join(out, " ")
}

// waiting returns the lines that wait in the channel.
func (w *world) waiting(atMs float64) float64 {
	for len(w.queue) > 0 && w.queue[0].leavesMs <= atMs {
		w.queue = w.queue[1:]
	}
	total := 0.0
	for _, q := range w.queue {
		total += q.lines
	}
	return total
}

type queued struct {
	leavesMs, lines float64
}

// apply changes a proxy's tables as a message says.
func (w *world) apply(p *proxy, parts []map[string]string) {
	for _, part := range parts {
		for class := range w.site.classes {
			if names, limited := part["for"]; limited && !contains(strings.Split(names, "+"), w.site.classes[class].name) {
				continue
			}
			if part["replace"] == "1" {
				p.tables[class] = map[string]float64{}
				p.levels[class] = level{}
			}
			if rows := part["rows"]; rows != "" {
				for _, row := range strings.Split(rows, ",") {
					cut := strings.LastIndexByte(row, ':')
					weight, err := strconv.ParseFloat(row[cut+1:], 64)
					if err != nil || weight < 0 {
						cannotRun("a row can't be read: %q", row)
					}
					if weight == 0 {
						delete(p.tables[class], row[:cut])
					} else {
						p.tables[class][row[:cut]] = weight
					}
				}
			}
			if gate, ok := part["gate"]; ok {
				value, _ := strconv.ParseFloat(gate, 64)
				how, _ := strconv.Atoi(part["again"])
				p.levels[class] = level{true, value, how}
			}
		}
		for _, id := range list(part["drop"]) {
			p.shut[id] = true
		}
		for _, id := range list(part["undrop"]) {
			delete(p.shut, id)
		}
	}
	w.checkBare(p)
}

func list(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

func contains(all []string, one string) bool {
	for _, each := range all {
		if each == one {
			return true
		}
	}
	return false
}

// lines returns the hosts that a proxy may pick for a class, with their weights.
func (w *world) lines(p *proxy, class int) (ids []string, weights []float64) {
	for id, weight := range p.tables[class] {
		h := w.hosts[id]
		if h == nil || p.shut[id] || w.site.classes[class].staysLocal && h.zone != p.zone {
			continue
		}
		ids = append(ids, id)
		weights = append(weights, weight)
	}
	return ids, weights
}

// pick draws a host by weight, but none that the proxy avoids for now, unless it avoids all.
func (w *world) pick(p *proxy, class int, except string) string {
	ids, weights := w.lines(p, class)
	at := nowMs()
	total := 0.0
	for i, id := range ids {
		if p.avoidMs[id] > at || id == except {
			weights[i] = 0
		}
		total += weights[i]
	}
	if total == 0 {
		return ""
	}
	drawn := rand.Float64() * total
	for i, id := range ids {
		drawn -= weights[i]
		if drawn < 0 {
			return id
		}
	}
	return ""
}

// request plays one request of a client: the proxy's tries, and the client's own repeat.
func (w *world) request(p *proxy, class, repeat int) {
	spec := w.site.classes[class]
	p.arrived[class]++
	if gate := p.levels[class]; gate.set && rand.Float64() >= gate.gate {
		return // it is not let in, and would be refused again
	}
	work := spec.workMs * (0.9 + 0.2*rand.Float64())
	if w.site.spread > 0 {
		work = spec.workMs * math.Exp(w.site.spread*rand.NormFloat64()-w.site.spread*w.site.spread/2)
	}
	giveUpMs := spec.patienceMs * 0.7
	answered := func(ok bool, why string) {
		if w.site.logRequests {
			w.record("request proxy=%d class=%s repeat=%d ok=%v %s", p.number, spec.name, repeat, ok, why)
		}
		if ok {
			w.served++
			return
		}
		w.unserved++
		p.unserved[class]++
		if repeat < w.site.clientRepeats {
			w.at(nowMs()+300, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.request(p, class, repeat+1)
			})
		}
	}
	how := w.site.retryDefault
	if p.levels[class].set {
		how = p.levels[class].how
	}
	w.try(p, class, work, giveUpMs, "", how, answered)
}

// try sends a request to one host.
func (w *world) try(p *proxy, class int, work, giveUpMs float64, except string, how int, answered func(bool, string)) {
	id := w.pick(p, class, except)
	if id == "" {
		answered(false, "no host to pick")
		return
	}
	at := nowMs()
	h := w.hosts[id]
	w.checkDrain(p, h, at)
	stats := w.stats[p.zone][id]
	if stats == nil || p.joinedMs == 0 { // what a proxy without a stream meets is not reported
		stats = &zoneStats{sinceMs: at}
	}
	if p.joinedMs > 0 {
		w.stats[p.zone][id] = stats
	}
	stats.tries++
	failed := func(neverRan bool, why string) {
		stats.failed++
		p.failures[id]++
		if w.site.ejects > 0 && p.failures[id] >= w.site.ejects {
			p.failures[id] = 0
			p.avoidMs[id] = nowMs() + 4000
		}
		if neverRan && how == 1 && except == "" {
			w.try(p, class, work, giveUpMs, id, 0, answered)
			return
		}
		answered(false, "at "+id+" "+why)
	}
	if !h.up {
		failed(true, "refused connection")
		return
	}
	h.drain(w, at)
	speed := w.site.speed * w.fraction(h, at)
	wait := 0.0 // while a core is free
	if h.inflight >= w.site.cores {
		wait = h.backlogMs / (float64(w.site.cores) * speed)
	}
	if h.fallen || h.inflight >= w.site.holds {
		failed(true, "turned away")
		return
	}
	told := w.agent.told[id]
	knows := told.StartedAtMs == math.Round(h.startedMs) && (p.sentMs >= told.atMs || at >= told.atMs+w.site.graceMs)
	h.pushes = append(h.pushes, push{at, work, knows})
	w.checkCold(h, at)
	h.backlogMs += work
	h.count++
	h.inflight++
	took := wait + work/speed
	end := math.Min(took, giveUpMs)
	w.at(at+end, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		h.inflight = max(h.inflight-1, 0)
		switch {
		case !h.up:
			failed(false, "host died")
		case took > giveUpMs:
			failed(false, "timed out")
		default:
			h.latencyMs += 0.1 * (work/speed - h.latencyMs)
			stats.okMs += took
			p.failures[id] = 0
			answered(true, "at "+id)
		}
	})
}
