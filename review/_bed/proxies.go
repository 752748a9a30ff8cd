package main

import (
	"fmt"
	"math"
	"net"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"
)

// table is what a proxy holds for a class.
type table struct {
	weights map[string]float64
	gate    float64
	again   int
}

// proxy is a stand-in of a proxy.
type proxy struct {
	bed    *bed
	number int
	zone   string
	rate   float64 // requests a second

	// The bed's mutex guards the fields below.
	alive       bool
	boots       int
	barred      bool // it reaches no steward
	fresh       bool
	home        *steward // joined to it; nil: none
	prefers     *steward
	joinedAt    time.Time
	conn        net.Conn
	stream      int // counts the streams
	applyAt     time.Time
	tables      []table // by class
	dropped     map[string]bool
	failures    map[string]int
	avoided     map[string]time.Time
	bareSince   []time.Time // by class; zero: it has a line
	arrived     []int       // by class, since the last RATE
	unserved    []int
	tries       map[string]*tally // by host, since the last LOAD
	lateTries   map[string]int    // tries after the grace, by host
	refused     int               // streams that the steward ended or did not take
	messages    int
	sent        []time.Time // messages in the window
	silent      bool        // its stream has fallen silent
	abandon     chan struct{}
	travelling  []func()  // messages on their way, oldest first
	lastWritten time.Time // when the last message that it has applied was written
}

type tally struct {
	tries, failed int
	totalMs       float64
}

// addProxies adds proxies of a zone, with so many requests a second each.
func (b *bed) addProxies(zone string, count int, rate float64) {
	for range count {
		p := &proxy{bed: b, number: len(b.proxies), zone: zone, rate: rate}
		b.mu.Lock()
		b.proxies = append(b.proxies, p)
		p.boot()
		b.mu.Unlock()
	}
}

// boot gives a proxy its standing tables, drawn from the list. The caller holds the mutex.
func (p *proxy) boot() {
	b := p.bed
	classes := len(b.set.Classes)
	p.alive, p.fresh = true, true
	p.boots++
	p.tables = make([]table, classes)
	p.bareSince = make([]time.Time, classes)
	p.arrived, p.unserved = make([]int, classes), make([]int, classes)
	p.dropped, p.failures, p.avoided = map[string]bool{}, map[string]int{}, map[string]time.Time{}
	p.tries, p.lateTries = map[string]*tally{}, map[string]int{}
	var own, all []*host
	for _, h := range b.order {
		if h.listed == "Ready" {
			all = append(all, h)
			if h.zone == p.zone {
				own = append(own, h)
			}
		}
	}
	drawn := all
	if len(own) >= 3 {
		drawn = own
	}
	for class := range p.tables {
		p.tables[class] = table{weights: map[string]float64{}, gate: 1, again: b.set.UsualHow}
		pool := drawn
		if b.set.Classes[class].StaysLocal {
			pool = own
		}
		for i, k := range b.random.Perm(len(pool)) {
			if i < 12 {
				p.tables[class].weights[pool[k].id] = 1
			}
		}
	}
}

// startProxies has all proxies run.
func (b *bed) startProxies() {
	for _, p := range b.proxies {
		go p.dialing()
		go p.sending()
		go p.reporting()
	}
	go b.watchRules()
}

func (p *proxy) pause(from, to float64) bool {
	p.bed.mu.Lock()
	wait := seconds(p.bed.between(from, to))
	p.bed.mu.Unlock()
	select {
	case <-p.bed.stop:
		return false
	case <-time.After(wait):
		return true
	}
}

// dialing keeps a stream to a steward.
func (p *proxy) dialing() {
	b := p.bed
	for p.pause(0.01, 0.3) {
		b.mu.Lock()
		var target *steward
		if p.alive && !p.barred {
			target = p.choose()
		}
		b.mu.Unlock()
		if target == nil {
			continue
		}
		p.session(target)
		if !p.pause(0.31, 2.1) {
			return
		}
	}
}

// choose returns the steward to dial: the proxy's own if it is up, else another. The caller holds the mutex.
func (p *proxy) choose() *steward {
	if p.prefers != nil && p.prefers.up {
		return p.prefers
	}
	var up []*steward
	for _, s := range p.bed.stewards {
		if s.up {
			up = append(up, s)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[p.bed.random.Intn(len(up))]
}

// session holds one stream until it ends.
func (p *proxy) session(s *steward) {
	b := p.bed
	conn, err := net.DialTimeout("tcp", s.address, 2*time.Second)
	if err != nil {
		return
	}
	b.mu.Lock()
	fresh := "0"
	if p.fresh {
		fresh = "1"
	}
	message := encode("SUBSCRIBE", "proxy", strconv.Itoa(p.number), "zone", p.zone, "weight",
		strconv.FormatFloat(p.rate, 'f', 2, 64), "fresh", fresh)
	b.mu.Unlock()
	if _, err := conn.Write(message); err != nil {
		_ = conn.Close()
		return
	}
	abandon := make(chan struct{})
	b.mu.Lock()
	p.abandon = abandon
	p.stream++
	stream := p.stream
	p.conn = conn
	p.home, p.joinedAt = s, time.Now()
	p.sent = nil
	for class := range p.bareSince {
		p.bareSince[class] = time.Time{}
	}
	p.lateTries = map[string]int{}
	b.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		reader := newDecoder(conn)
		var parts [][]string
		for {
			words, err := reader.read()
			if err == nil {
				parts, err = p.receive(s, stream, parts, words)
			}
			if err != nil {
				return
			}
		}
	}()
	select {
	case <-abandon: // it has fallen silent: it stays open
	case <-ended:
		_ = conn.Close()
	}
	b.mu.Lock()
	if p.stream == stream {
		p.home = nil
		p.conn = nil
		p.stream++
		if s.up {
			p.refused++
		}
	}
	b.mu.Unlock()
}

// silence has some streams fall silent: nothing arrives any more, and the proxies notice seconds later.
func (b *bed) silence(part float64) {
	b.mu.Lock()
	var some []*proxy
	for _, p := range b.proxies {
		if p.conn != nil && b.random.Float64() < part {
			p.home = nil
			p.silent = true
			some = append(some, p)
		}
	}
	b.mu.Unlock()
	for _, p := range some {
		go func() {
			p.pause(1, 3)
			b.mu.Lock()
			p.silent = false
			old := p.conn
			if old != nil {
				close(p.abandon)
				p.conn = nil
				p.stream++
			}
			b.mu.Unlock()
			if p.pause(5, 20) && old != nil {
				_ = old.Close()
			}
		}()
	}
}

// breakStream ends the proxy's stream, as a fault of the network does. The caller holds the mutex.
func (p *proxy) breakStream() {
	if p.conn != nil {
		if tcp, ok := p.conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = p.conn.Close()
		p.home = nil
	}
}

// fields returns the fields of a message.
func fields(words []string) (map[string]string, error) {
	if len(words)%2 != 1 {
		return nil, errNotRESP
	}
	values := map[string]string{}
	for i := 1; i < len(words); i += 2 {
		values[words[i]] = words[i+1]
	}
	return values, nil
}

// receive takes a message from the steward: a whole one enters the channel.
func (p *proxy) receive(s *steward, stream int, parts [][]string, words []string) ([][]string, error) {
	if len(words) == 1 && words[0] == "PONG" {
		return parts, nil
	}
	if len(words) == 0 || words[0] != "CONFIG" {
		return nil, errNotRESP
	}
	values, err := fields(words)
	if err != nil {
		return nil, err
	}
	parts = append(parts, words)
	if values["part"] == "1" {
		if len(parts) >= 64 {
			return nil, errNotRESP
		}
		return parts, nil
	}
	b := p.bed
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.stream != stream {
		return nil, nil // the stream has fallen silent
	}
	lines := b.set.Head
	for _, part := range parts {
		count, err := b.countLines(part)
		if err != nil {
			b.breach("order", "proxy %d was sent what it can't use: %v", p.number, err)
			return nil, err
		}
		lines += count
	}
	now := time.Now()
	if p.number == 0 && os.Getenv("VERBOSE") != "" {
		b.logf("proxy 0 is written %q", parts)
	}
	p.countMessage(now)
	leaves := s.enter(now, lines)
	p.messages++
	whole := parts
	applies := leaves.Add(micros(b.set.LateUs * b.between(0.5, 1.5)))
	if next := p.applyAt.Add(3 * time.Millisecond); applies.Before(next) {
		applies = next
	}
	p.applyAt = applies
	p.travelling = append(p.travelling, func() { p.apply(stream, whole, now) })
	time.AfterFunc(time.Until(applies), p.arrive)
	return nil, nil
}

// countMessage checks the limit of messages to one proxy. The caller holds the mutex.
func (p *proxy) countMessage(now time.Time) {
	set := p.bed.set
	if set.MessagesMost == 0 {
		return
	}
	p.sent = append(p.sent, now)
	for now.Sub(p.sent[0]) > micros(set.MessagesOverUs) {
		p.sent = p.sent[1:]
	}
	if len(p.sent) > set.MessagesMost {
		p.bed.breach("messages", "proxy %d was written %d messages", p.number, len(p.sent))
	}
}

// enter adds a message to the channel and returns when it leaves it. The caller holds the mutex.
func (s *steward) enter(now time.Time, lines float64) time.Time {
	c := &s.channel
	if c.freeAt.Before(now) {
		c.freeAt = now
	}
	c.freeAt = c.freeAt.Add(seconds(lines / (s.bed.set.ChannelRate * c.factor)))
	c.waiting += lines
	c.most = math.Max(c.most, c.waiting)
	if c.waiting > s.bed.set.MostWaiting {
		s.bed.breach("backlog", "%.0f lines wait in the channel of steward %d", c.waiting, s.index)
	}
	life := s.life
	time.AfterFunc(time.Until(c.freeAt), func() {
		s.bed.mu.Lock()
		defer s.bed.mu.Unlock()
		if s.life == life {
			s.channel.waiting -= lines
		}
	})
	return c.freeAt
}

// classesOf returns the positions of the classes that a message is for.
func (b *bed) classesOf(values map[string]string) ([]int, error) {
	var classes []int
	names := strings.Split(values["for"], "+")
	for i, c := range b.set.Classes {
		if values["for"] == "" {
			classes = append(classes, i)
			continue
		}
		for _, name := range names {
			if name == c.Name {
				classes = append(classes, i)
			}
		}
	}
	if values["for"] != "" && len(classes) != len(names) {
		return nil, fmt.Errorf("classes %q", values["for"])
	}
	return classes, nil
}

// rowsOf returns the lines of a message.
func (b *bed) rowsOf(values map[string]string) (map[string]float64, error) {
	rows := map[string]float64{}
	if values["rows"] == "" {
		return rows, nil
	}
	for _, row := range strings.Split(values["rows"], ",") {
		name, digits, _ := strings.Cut(row, ":")
		weight, err := strconv.ParseFloat(digits, 64)
		if err != nil || weight < 0 || math.IsNaN(weight) || math.IsInf(weight, 0) || b.hosts[name] == nil {
			return nil, fmt.Errorf("row %q", row)
		}
		rows[name] = weight
	}
	return rows, nil
}

// countLines returns the lines of a part of a message. The caller holds the mutex.
func (b *bed) countLines(words []string) (float64, error) {
	values, err := fields(words)
	if err != nil {
		return 0, err
	}
	classes, err := b.classesOf(values)
	if err != nil {
		return 0, err
	}
	rows, err := b.rowsOf(values)
	if err != nil {
		return 0, err
	}
	lines := float64(len(rows))
	if values["replace"] == "1" {
		lines++
	}
	if values["gate"] != "" {
		lines += float64(len(classes))
	}
	if values["stamp"] != "" {
		lines++
	}
	for _, field := range []string{"drop", "undrop"} {
		if values[field] != "" {
			lines += float64(len(strings.Split(values[field], ",")))
		}
	}
	return lines, nil
}

// arrive has the proxy apply the oldest message on its way, so that none overtakes another.
func (p *proxy) arrive() {
	p.bed.mu.Lock()
	defer p.bed.mu.Unlock()
	next := p.travelling[0]
	p.travelling = p.travelling[1:]
	next()
}

// apply has the proxy go by a message, unless its stream has ended. The caller holds the mutex.
func (p *proxy) apply(stream int, parts [][]string, writtenAt time.Time) {
	b := p.bed
	if b.closed || p.stream != stream || !p.alive || p.home == nil {
		return
	}
	p.fresh = false
	p.lastWritten = writtenAt
	stamp := ""
	for _, part := range parts {
		values, _ := fields(part)
		classes, _ := b.classesOf(values)
		rows, _ := b.rowsOf(values)
		for _, class := range classes {
			p.tables[class].apply(values, rows, b.set.UsualHow)
		}
		for _, name := range strings.Split(values["drop"], ",") {
			p.dropped[name] = name != ""
		}
		for _, name := range strings.Split(values["undrop"], ",") {
			delete(p.dropped, name)
		}
		stamp += values["stamp"]
	}
	if stamp != "" && p.conn != nil {
		took := float64(time.Since(writtenAt).Microseconds()) / 1000
		p.write(encode("ACK", "proxy", strconv.Itoa(p.number), "mark", stamp, "took_ms",
			strconv.FormatFloat(took, 'f', 1, 64)))
	}
}

func (t *table) apply(values map[string]string, rows map[string]float64, usualHow int) {
	if values["replace"] == "1" {
		*t = table{weights: map[string]float64{}, gate: 1, again: usualHow}
	}
	for name, weight := range rows {
		if weight == 0 {
			delete(t.weights, name)
		} else {
			t.weights[name] = weight
		}
	}
	if values["gate"] != "" {
		t.gate, _ = strconv.ParseFloat(values["gate"], 64)
		t.again, _ = strconv.Atoi(values["again"])
	}
}

// write writes a message on the proxy's stream. The caller holds the mutex.
func (p *proxy) write(message []byte) {
	if p.conn != nil && !p.silent {
		_ = p.conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		_, _ = p.conn.Write(message)
	}
}

// pick returns the host for a request of a class, nil if the proxy has none. The caller holds the mutex.
func (p *proxy) pick(class int, now time.Time) *host {
	total := 0.0
	var names []string
	for name := range p.tables[class].weights {
		names = append(names, name)
	}
	sort.Strings(names)
	var usable []string
	for _, name := range names {
		if !p.dropped[name] && now.After(p.avoided[name]) {
			usable = append(usable, name)
			total += p.tables[class].weights[name]
		}
	}
	drawn := p.bed.random.Float64() * total
	for _, name := range usable {
		drawn -= p.tables[class].weights[name]
		if drawn <= 0 {
			return p.bed.hosts[name]
		}
	}
	return nil
}

// sending sends requests.
func (p *proxy) sending() {
	b := p.bed
	for {
		b.mu.Lock()
		wait := seconds(math.Min(b.random.ExpFloat64()/p.rate, 30))
		b.mu.Unlock()
		select {
		case <-b.stop:
			return
		case <-time.After(wait):
		}
		b.mu.Lock()
		if p.alive && !b.closed {
			p.request(b.random.Intn(len(b.set.Classes)), time.Now())
		}
		b.mu.Unlock()
	}
}

// request sends one request. The caller holds the mutex.
func (p *proxy) request(class int, now time.Time) {
	b := p.bed
	p.arrived[class]++
	if b.random.Float64() >= p.tables[class].gate {
		return
	}
	h := p.pick(class, now)
	if h == nil {
		p.unserved[class]++
		return
	}
	p.checkDrain(h, now)
	t := p.tries[h.id]
	if t == nil {
		t = &tally{}
		p.tries[h.id] = t
	}
	t.tries++
	answered, ms := h.take(now, p.zone, p.knows(h, now))
	if answered {
		t.totalMs += ms
		p.failures[h.id] = 0
		return
	}
	if h.mode == hanging {
		// The try is given up after a part of the class's patience.
		boots := p.boots
		time.AfterFunc(micros(b.set.Classes[class].MaxUs*b.between(0.4, 1)), func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			if p.boots == boots && !b.closed {
				p.failed(h, class, time.Now())
			}
		})
		return
	}
	p.failed(h, class, now)
}

// failed counts a failed try, and has the proxy keep away from a host at which so many failed in a row. The caller holds
// the mutex.
func (p *proxy) failed(h *host, class int, now time.Time) {
	b := p.bed
	t := p.tries[h.id]
	if t == nil {
		t = &tally{tries: 1}
		p.tries[h.id] = t
	}
	t.failed = min(t.failed+1, t.tries)
	p.unserved[class]++
	p.failures[h.id]++
	if b.set.Ejects > 0 && p.failures[h.id] >= b.set.Ejects {
		p.failures[h.id] = 0
		p.avoided[h.id] = now.Add(seconds(b.between(2.5, 7.9)))
	}
}

// knows reports whether a try counts as sent in knowledge of a host's start. The caller holds the mutex.
func (p *proxy) knows(h *host, now time.Time) bool {
	s := p.home
	if s == nil || !s.up || h.startedMs == 0 {
		return false
	}
	told := s.told[h.id]
	if told == nil || told.startedMs != h.startedMs {
		return false
	}
	since := told.startAt
	if first := s.limitsFrom; first.After(since) {
		since = first
	}
	return p.lastWritten.After(told.startAt) || now.Sub(since) > seconds(p.bed.set.GraceUs/1e6/s.channel.pace)+slack
}

// checkDrain judges the rule on draining for a try. The caller holds the mutex.
func (p *proxy) checkDrain(h *host, now time.Time) {
	b := p.bed
	s := p.home
	if s == nil || !s.up {
		return
	}
	told := s.told[h.id]
	if told == nil || told.lifecycle == "Ready" || told.lifecycle == "" {
		return
	}
	limit := told.at
	if p.joinedAt.After(limit) {
		limit = p.joinedAt
	}
	if first := s.limitsFrom; first.After(limit) {
		limit = first
	}
	limit = limit.Add(seconds(b.set.GraceUs/1e6/s.channel.pace) + slack)
	if now.After(limit) {
		p.lateTries[h.id]++
		b.breach("drain", "proxy %d of zone %s sends to %s of zone %s, %.1f s after the grace (told %s %.1f s ago, joined %.1f s ago)",
			p.number, p.zone, h.id, h.zone, now.Sub(limit).Seconds(), told.lifecycle, now.Sub(told.at).Seconds(),
			now.Sub(p.joinedAt).Seconds())
	}
}

// checkLines judges the rule on proxies without a host. The caller holds the mutex.
func (p *proxy) checkLines(now time.Time) {
	b := p.bed
	s := p.home
	for class := range p.tables {
		if !p.alive || s == nil || !s.up || p.hasLine(class) || !s.showsWarm(p.zone, b.set.Classes[class].StaysLocal, now) {
			p.bareSince[class] = time.Time{}
			continue
		}
		if p.bareSince[class].IsZero() {
			p.bareSince[class] = now
			if first := s.limitsFrom; first.After(now) {
				p.bareSince[class] = first
			}
		}
		limit := seconds(b.set.BareUs/1e6/s.channel.pace) + slack
		if bare := now.Sub(p.bareSince[class]); bare > limit {
			b.breach("lost", "proxy %d of zone %s has had no host for class %s for %.1f s, while steward %d has %s listed as ready and warm (%d messages to the proxy in the window)",
				p.number, p.zone, b.set.Classes[class].Name, bare.Seconds(), s.index,
				s.warmHost(p.zone, b.set.Classes[class].StaysLocal, now), len(p.sent))
			p.bareSince[class] = now.Add(time.Hour) // once for each time
		}
	}
}

func (p *proxy) hasLine(class int) bool {
	for name := range p.tables[class].weights {
		if !p.dropped[name] {
			return true
		}
	}
	return false
}

// showsWarm reports whether the steward's list shows a warm host as ready that is open to a class. The caller holds the
// mutex.
func (s *steward) showsWarm(zone string, local bool, now time.Time) bool {
	return s.warmHost(zone, local, now) != ""
}

// warmHost returns such a host, or an empty string. The caller holds the mutex.
func (s *steward) warmHost(zone string, local bool, now time.Time) string {
	for id, told := range s.told {
		if told.lifecycle != "Ready" || local && s.bed.hosts[id].zone != zone {
			continue
		}
		age := float64(now.UnixMicro())/1000 - told.startedMs
		if told.startedMs == 0 || age >= s.bed.set.ColdUs/1000 {
			return id
		}
	}
	return ""
}

// reporting sends what came to the proxy.
func (p *proxy) reporting() {
	b := p.bed
	for {
		interval := b.set.IntervalUs / 1e6
		if !p.pause(interval*0.95, interval*1.05) {
			return
		}
		b.mu.Lock()
		for class := range p.arrived {
			if p.arrived[class] > 0 && p.home != nil {
				p.write(encode("RATE", "proxy", strconv.Itoa(p.number), "class", b.set.Classes[class].Name,
					"tries", strconv.Itoa(p.arrived[class]), "failed", strconv.Itoa(p.unserved[class]),
					"span_ms", strconv.FormatFloat(interval*1000, 'f', 1, 64)))
			}
			p.arrived[class], p.unserved[class] = 0, 0
		}
		b.mu.Unlock()
	}
}

// startCollectors has a collector in each zone report to each steward.
func (b *bed) startCollectors() {
	for _, s := range b.stewards {
		for _, zone := range b.set.Zones {
			go b.collect(s, zone)
		}
	}
}

func (b *bed) collect(s *steward, zone string) {
	var conn net.Conn
	for {
		select {
		case <-b.stop:
			if conn != nil {
				_ = conn.Close()
			}
			return
		case <-time.After(micros(b.set.IntervalUs)):
		}
		b.mu.Lock()
		up := s.up
		reports := b.reports(s, zone)
		b.mu.Unlock()
		if !up {
			if conn != nil {
				_ = conn.Close()
				conn = nil
			}
			continue
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", s.address, time.Second); err != nil {
				conn = nil
				continue
			}
			_, _ = conn.Write(encode("SOURCE", "zone", zone))
		}
		time.Sleep(500 * time.Millisecond)
		for _, report := range reports {
			if _, err := conn.Write(report); err != nil {
				_ = conn.Close()
				conn = nil
				break
			}
		}
	}
}

// reports returns what the joined proxies of a zone met at the hosts. The caller holds the mutex.
func (b *bed) reports(s *steward, zone string) [][]byte {
	sums := map[string]*tally{}
	for _, p := range b.proxies {
		if p.zone != zone || p.home != s {
			continue
		}
		for id, t := range p.tries {
			sum := sums[id]
			if sum == nil {
				sum = &tally{}
				sums[id] = sum
			}
			sum.tries += t.tries
			sum.failed += t.failed
			sum.totalMs += t.totalMs
		}
		p.tries = map[string]*tally{}
	}
	var reports [][]byte
	now := time.Now()
	for _, h := range b.order {
		t := sums[h.id]
		if t == nil {
			continue
		}
		mean := 0.0
		words := []string{"LOAD", "zone", zone, "server", h.id, "tries", strconv.Itoa(t.tries), "failed",
			strconv.Itoa(t.failed)}
		if t.tries > t.failed {
			mean = t.totalMs / float64(t.tries-t.failed)
		}
		words = append(words, "mean_ms", strconv.FormatFloat(mean, 'f', 1, 64), "span_ms",
			strconv.FormatFloat(b.set.IntervalUs/1000, 'f', 1, 64))
		if t.tries > t.failed {
			rate := h.rate(now)
			words = append(words, "load", fmt.Sprintf("util:%.2f,qps:%.1f", math.Min(1, rate/h.capacity), rate))
		}
		reports = append(reports, encode(words...))
	}
	return reports
}

// summary writes what the proxies met to the record.
func (b *bed) summary(title string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	type sums struct{ joined, messages, refused, gone, bare, window int }
	byZone := map[string]*sums{}
	for _, p := range b.proxies {
		z := byZone[p.zone]
		if z == nil {
			z = &sums{}
			byZone[p.zone] = z
		}
		z.messages += p.messages
		z.window = max(z.window, len(p.sent))
		z.refused += p.refused
		if p.home == nil {
			continue
		}
		z.joined++
		holdsGone, bare := false, false
		for class := range p.tables {
			bare = bare || !p.hasLine(class)
			for name := range p.tables[class].weights {
				told := p.home.told[name]
				holdsGone = holdsGone || told != nil && told.lifecycle != "Ready"
			}
		}
		if holdsGone {
			z.gone++
		}
		if bare {
			z.bare++
		}
	}
	for _, zone := range b.set.Zones {
		if z := byZone[zone]; z != nil {
			b.logf("%s: zone %s: %d proxies joined, %d messages so far, %d streams ended by the steward, "+
				"%d proxies hold a line of a draining or gone host, %d lack a line for a class, "+
				"%d messages to one proxy in the last ten seconds",
				title, zone, z.joined, z.messages, z.refused, z.gone, z.bare, z.window)
		}
	}
	for _, s := range b.stewards {
		b.logf("%s: steward %d: %.0f lines wait, %.0f at most", title, s.index, s.channel.waiting, s.channel.most)
	}
}
