// Package rehearse plays a scripted day on loopback: real stewards on sockets, stand-in hosts and forwarders,
// and troubles at stated times. Service is counted and the rules are reckoned from what passed on the sockets.
package rehearse

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"

	"barleysail/internal/config"
	"barleysail/internal/config/configpb"
	"barleysail/internal/daemon"
	"barleysail/internal/fake"
	"barleysail/internal/record"
	"barleysail/internal/rehearse/daypb"
	"barleysail/internal/rules"
)

// Result of a day.
type Result struct {
	Service  float64
	Verdicts []rules.Verdict
	Kept     bool
}

// day is one that is being played.
type day struct {
	script     *daypb.Day
	config     *configpb.Config
	version    string
	records    string // folder for recordings, empty: none
	lives      int
	recordings []func() error // to be ended
	dir        string
	out        io.Writer
	log        zerolog.Logger
	start      time.Time
	journal    *rules.EventLog
	service    *service

	gaps       gaps
	taken      taken
	kills      []kill
	identities *identities // nil: all is plain
	rogue      string      // address of an impostor steward; empty: none
	program    string      // that stewards are started with; empty: they run in this process

	mu         sync.Mutex
	hosts      []*member
	forwarders []*fake.Forwarder
	stewards   []running
	addresses  []string
	note       string
}

// member is a host with what the list says of it.
type member struct {
	*fake.Host
	zone     string
	listed   bool
	draining bool
	started  float64
}

// Play plays the day of a script file, with progress and the report on out. With a folder for records each life
// of a steward is recorded there.
//
// With a program, stewards are processes of their own.
func Play(ctx context.Context, file, version, records, program string, out io.Writer, log zerolog.Logger) (*Result, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("reading the script: %w", err)
	}
	script := &daypb.Day{}
	if err := prototext.Unmarshal(text, script); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return playDay(ctx, script, version, records, program, out, log, func(*rules.Limits) {})
}

// playDay plays a script; judge may change the figures that the rules are reckoned by.
func playDay(ctx context.Context, script *daypb.Day, version, records, program string, out io.Writer,
	log zerolog.Logger, judge func(*rules.Limits)) (*Result, error) {
	return playing(ctx, script, version, records, program, out, log, judge, func(*day) {})
}

// playing plays a script, and shows the day before it is taken down.
func playing(ctx context.Context, script *daypb.Day, version, records, program string, out io.Writer,
	log zerolog.Logger, judge func(*rules.Limits), show func(*day)) (*Result, error) {
	d := &day{script: script, version: version, records: records, program: program, out: out, log: log, journal: rules.NewEventLog(),
		taken: taken{client: &http.Client{Timeout: time.Second}}}
	if err := d.check(); err != nil {
		return nil, err
	}
	var err error
	if d.dir, err = os.MkdirTemp("", "barleysail-rehearsal"); err != nil {
		return nil, fmt.Errorf("making a folder: %w", err)
	}
	defer os.RemoveAll(d.dir)
	defer d.end()
	if err := d.begin(); err != nil {
		return nil, err
	}
	d.run(ctx)
	figures := d.figures()
	judge(&figures)
	show(d)
	return d.report(figures), ctx.Err()
}

func (d *day) check() error {
	s := d.script
	if s.Stewards == 0 {
		s.Stewards = 1
	}
	if s.FallMs == 0 {
		s.FallMs = 3000
	}
	if s.LengthS <= 0 || s.LengthS > 3600 || s.Stewards < 0 || s.Stewards > 16 || s.Steward == nil ||
		s.Standby && s.Stewards < 2 || len(s.Hosts) == 0 || len(s.Forwarders) == 0 || len(s.Traffic) == 0 {
		return fmt.Errorf("the script: a day needs length_s (to 3600), stewards (to 16; two for a standby), steward, hosts, forwarders and traffic")
	}
	c := proto.Clone(s.Steward).(*configpb.Config)
	c.List = &configpb.List{File: "hosts.textproto"}
	if c.Fleet == nil {
		c.Fleet = &configpb.Fleet{}
	}
	for _, k := range c.Classes {
		for _, t := range s.Traffic {
			k.Once = k.Once || t.Class == k.Name && t.Effect == daypb.Effect_ONCE
			if t.Class == k.Name && k.WorkMs == nil {
				k.WorkMs = proto.Float64(t.WorkMs)
			}
		}
	}
	if c.Identity == nil { // stand-ins on this machine alone
		c.Identity = &configpb.Identity{PlainLoopback: true}
	}
	c.Listen, c.Record, c.Fleet.Stewards = "127.0.0.1:0", "", &s.Stewards
	proxies := int32(0)
	for _, g := range s.Forwarders {
		proxies += g.Count
	}
	c.Fleet.Proxies = &proxies
	text, err := prototext.Marshal(c)
	if err != nil {
		return err
	}
	if d.config, err = config.Parse("the script's steward", text); err != nil {
		return err
	}
	known := map[string]bool{}
	for _, k := range c.Classes {
		known[k.Name] = true
	}
	for _, t := range s.Traffic {
		if !known[t.Class] || t.Rate <= 0 || t.Rate > 5000 || t.WorkMs <= 0 {
			return fmt.Errorf("the script's traffic: class %q, %g a second of %g ms, does not do", t.Class, t.Rate, t.WorkMs)
		}
	}
	for i, st := range s.Steps {
		if st.What == daypb.What_NONE || st.AtS < 0 || st.ForS < 0 || st.What == daypb.What_KILL && (st.Steward < 0 || st.Steward >= s.Stewards) {
			return fmt.Errorf("the script's steps[%d] names nothing that can be done", i)
		}
	}
	return nil
}

// figures are the rules' figures by the configuration.
func (d *day) figures() rules.Limits {
	return config.RuleLimits(d.config, d.script.FallMs)
}

func (d *day) begin() error {
	f := d.figures()
	for _, g := range d.script.Hosts {
		set := fake.HostSettings{Zone: g.Zone, Cores: max(int(g.Cores), 1), Speed: g.Speed, Queue: int(g.Queue),
			ColdFrom: f.SlowStartInitialFactor, Cold: f.SlowStartMs, Multiple: f.CollapseMultiple, Fall: f.CollapseMs, Once: f.NonIdempotentClasses, Rate: g.ReportMs > 0}
		if g.Cores == 0 {
			set.Cores = 4
		}
		if g.Speed == 0 {
			set.Speed = 1
		}
		if g.Queue == 0 {
			set.Queue = 64
		}
		for range g.Count {
			h, err := fake.NewHost(set, d.journal)
			if err != nil {
				return fmt.Errorf("starting a host: %w", err)
			}
			d.hosts = append(d.hosts, &member{Host: h, zone: g.Zone, listed: true})
		}
	}
	d.config.List.File = filepath.Join(d.dir, "hosts.textproto")
	if err := d.list(); err != nil {
		return err
	}
	d.start = time.Now()
	d.service = newService(fake.Now())
	for _, k := range d.config.Classes {
		d.service.class(k.Name, *k.Earnings, *k.DueMs)
	}
	if err := d.identify(); err != nil {
		return fmt.Errorf("giving out identities: %w", err)
	}
	if err := d.forward(daypb.Front_SOCKET); err != nil {
		return err
	}
	for i := range d.script.Stewards {
		s, err := d.steward(int(i), "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("starting a steward: %w", err)
		}
		d.stewards, d.addresses = append(d.stewards, s), append(d.addresses, s.Addr())
	}
	if d.identities != nil {
		var err error
		if d.rogue, err = d.rogueSteward(); err != nil {
			return err
		}
	}
	return d.forward(daypb.Front_POLLS)
}

// steward starts one at an address.
func (d *day) steward(i int, address string) (running, error) {
	c := proto.Clone(d.config).(*configpb.Config)
	c.Listen = address
	d.mu.Lock()
	d.lives++
	name := fmt.Sprintf("steward-%d-%d", i, d.lives)
	d.mu.Unlock()
	if d.records != "" {
		c.Record = filepath.Join(d.records, name+".day")
	}
	if d.script.State {
		c.State.Folder = filepath.Join(d.dir, fmt.Sprintf("state-%d", i))
	}
	if last := int(d.script.Stewards) - 1; d.script.Standby && i == last && c.Standby.Of == "" {
		c.Standby.Of = d.scheme() + d.addresses[0]
	}
	if err := d.identified(c, i); err != nil {
		return nil, err
	}
	if d.program != "" {
		return d.apart(c, name)
	}
	return daemon.Start(c, d.version, d.log)
}

// forward makes the forwarders of a front, the stewards dealt out to them in turn, each with a few hosts of its zone.
// All stewards are told of those with sockets, and settle among themselves who drives which.
func (d *day) forward(front daypb.Front) error {
	total, n := 0, 0
	for _, g := range d.script.Forwarders {
		total += int(g.Count)
	}
	classes := map[string]*configpb.Class{}
	for _, k := range d.config.Classes {
		classes[k.Name] = k
	}
	for _, g := range d.script.Forwarders {
		if g.Front != front {
			n += int(g.Count)
			continue
		}
		var near []string
		for _, h := range d.hosts {
			if h.zone == g.Zone && len(near) < 4 {
				near = append(near, h.Address)
			}
		}
		for range g.Count {
			set := fake.ForwarderSettings{Name: fmt.Sprintf("forwarder-%d", n), Zone: g.Zone, Of: total, Standing: near,
				Seed: d.script.Seed + uint64(n), Wait: 10 * time.Second, Ejects: int(*d.config.Fleet.Ejects),
				Period:  time.Duration(*d.config.Fleet.PeriodMs * float64(time.Millisecond)),
				Journal: d.journal, Ended: d.service.ended, Log: func(text string) { d.log.Debug().Msg(text) }}
			set.Socket = front == daypb.Front_SOCKET
			set.Stewards = d.stewardsOf(n)
			if x := d.identities; x != nil {
				source, secure, err := x.proving(fmt.Sprint("f", n), "/forwarder/"+set.Zone+"/"+set.Name)
				if err != nil {
					return fmt.Errorf("giving a forwarder its identity: %w", err)
				}
				set.TLS, set.Signed = secure, source.SignerVerifier(aSteward)
			}
			for _, t := range d.script.Traffic {
				k := classes[t.Class]
				set.Traffic = append(set.Traffic, fake.Traffic{Class: t.Class, Rate: t.Rate / float64(total),
					Work: t.WorkMs, Due: *k.DueMs, Patience: *k.PatienceMs, Repeats: t.Effect == daypb.Effect_SAFE})
			}
			if d.records != "" {
				if err := d.recordProxy(&set); err != nil {
					return err
				}
			}
			f, err := fake.NewForwarder(set)
			if err != nil {
				return fmt.Errorf("making a forwarder: %w", err)
			}
			d.forwarders = append(d.forwarders, f)
			if set.Socket {
				d.config.Sockets = append(d.config.Sockets, &configpb.SocketProxy{Proxy: set.Name, Zone: set.Zone, Address: f.SocketAddress(),
					Rate: proto.Float64(set.Options().RequestRate)})
			}
			n++
		}
	}
	return nil
}

// stewardsOf are those that a forwarder turns to, in order: dealt out in turn, one that stands by at the end.
func (d *day) stewardsOf(n int) (urls []string) {
	first := d.addresses
	if d.script.Standby && len(first) > 1 {
		first = first[:len(first)-1]
	}
	for i := range first {
		urls = append(urls, d.scheme()+first[(n+i)%len(first)])
	}
	for _, a := range d.addresses[len(first):] {
		urls = append(urls, d.scheme()+a)
	}
	if d.rogue != "" {
		urls = append(urls, d.scheme()+d.rogue)
	}
	return urls
}

// recordProxy has a forwarder's transactions recorded.
func (d *day) recordProxy(set *fake.ForwarderSettings) error {
	f, err := os.Create(filepath.Join(d.records, set.Name+".day"))
	if err != nil {
		return fmt.Errorf("starting a recording: %w", err)
	}
	p := record.NewProxyRecorder(f, d.version, set.Options())
	d.recordings = append(d.recordings, func() error { return errors.Join(p.Close(), f.Close()) })
	set.Transacted, set.Applied = p.RecordRequest, p.RecordTables
	return nil
}

// list writes the host list as it now stands, and notes it: stewards can know it from then on.
func (d *day) list() error {
	l, seen := &configpb.HostList{}, map[string]rules.Listed{}
	d.mu.Lock()
	for _, h := range d.hosts {
		if !h.listed {
			continue
		}
		cores, speed := h.Stated()
		e := &configpb.Host{Address: h.Address, Zone: h.zone, StartedUnixMs: h.started, Cores: cores, Speed: &speed}
		if h.draining {
			e.Phase = configpb.Phase_DRAINING
		}
		l.Hosts = append(l.Hosts, e)
		seen[h.Address] = rules.Listed{Ready: !h.draining, Started: h.started}
	}
	d.mu.Unlock()
	text, err := prototext.MarshalOptions{Multiline: true}.Marshal(l)
	if err != nil {
		return err
	}
	next := d.config.List.File + ".next"
	if err := os.WriteFile(next, text, 0o644); err != nil {
		return fmt.Errorf("writing the host list: %w", err)
	}
	d.journal.LogEndpoints(fake.Now(), seen)
	return os.Rename(next, d.config.List.File)
}

// largeDay is a fleet, hosts by forwarders, whose gap is measured each ten seconds only, since that takes long.
const largeDay = 50000

// run plays the day: traffic, steps and progress.
func (d *day) run(ctx context.Context) {
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	var all sync.WaitGroup
	for _, f := range d.forwarders {
		all.Add(1)
		go func() { defer all.Done(); f.Run(traffic) }()
	}
	d.hostReports(traffic)
	if x := d.identities; x != nil {
		go x.renewing(traffic)
		if err := d.impostors(traffic); err != nil {
			d.log.Error().Err(err).Msg("the impostors could not begin")
		}
	}
	for _, st := range d.script.Steps {
		all.Add(1)
		go func() { defer all.Done(); d.step(traffic, st) }()
	}
	end := time.After(time.Duration(d.script.LengthS * float64(time.Second)))
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for over := false; !over; {
		select {
		case <-tick.C:
			d.progress()
			d.sampleIntake()
			if passed := time.Since(d.start).Seconds(); len(d.hosts)*len(d.forwarders) < largeDay || int(passed)%10 == 0 {
				d.sampleGap(passed)
			}
		case <-end:
			over = true
		case <-ctx.Done():
			over = true
		}
	}
	stop()
	all.Wait()
}

func (d *day) progress() {
	passed := time.Since(d.start).Seconds()
	i := int(passed * 1000 / window)
	part, n := d.service.share(i, i+1)
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.out, "%4.0f s  service %.3f of %4d  %s\n", passed, part, n, d.note)
	d.note = ""
}

func (d *day) say(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.note != "" {
		d.note += "; "
	}
	d.note += fmt.Sprintf(format, args...)
}

func (d *day) report(f rules.Limits) *Result {
	r := &Result{Kept: true, Verdicts: d.journal.Check(f, fake.Now())}
	r.Service, _ = d.service.share(0, 1<<30)
	for _, h := range d.hosts {
		if h.Fallen() {
			r.Verdicts = append(r.Verdicts, rules.Verdict{Rule: "hosts that fell over", Margin: -1, Seen: h.Address})
		}
	}
	d.service.print(d.out)
	fmt.Fprintln(d.out)
	d.gaps.print(d.out)
	d.taken.print(d.out)
	d.printRestarts()
	if x := d.identities; x != nil {
		x.print(d.out)
		if r.Kept = x.kept(); !r.Kept {
			fmt.Fprintln(d.out, "BROKEN  an impostor achieved something")
		}
	}
	for _, v := range r.Verdicts {
		word := "kept"
		if !v.Kept {
			word, r.Kept = "BROKEN", false
		}
		fmt.Fprintf(d.out, "%-6s  %-28s margin %5.2f  %s\n", word, v.Rule, v.Margin, v.Seen)
	}
	return r
}

func (d *day) end() {
	if d.identities != nil {
		defer d.identities.end()
	}
	for _, s := range d.stewards {
		if s == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		if err := s.Stop(ctx); err != nil {
			d.log.Warn().Err(err).Msg("a steward did not end in time")
		}
		cancel()
	}
	for _, h := range d.hosts {
		h.Crash()
	}
	for _, end := range d.recordings {
		if err := end(); err != nil {
			d.log.Error().Err(err).Msg("a recording could not be ended")
		}
	}
}
