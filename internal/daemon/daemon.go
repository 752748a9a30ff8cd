// Package daemon puts a steward on sockets: the HTTP front, the host list, probes, the clock, logs and the
// recording. All decisions come from packages steward and decide.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/prototext"

	"barleysail/auth"
	"barleysail/controller"
	"barleysail/intake"
	"barleysail/internal/config"
	"barleysail/internal/config/configpb"
	"barleysail/internal/http1"
	"barleysail/internal/identity"
	"barleysail/internal/record"
	"barleysail/internal/record/recordpb"
	"barleysail/internal/runtimeapi"
	"barleysail/internal/socketproxy"
)

// Daemon is a running steward.
type Daemon struct {
	core     *core
	server   *http1.Server
	listener net.Listener
	cancel   context.CancelFunc
	record   *os.File
	clients  []*http1.Client
	fronts   []front
	driven   sync.WaitGroup
	keeper   *keeper
	standing *standing
	source   *identity.Source // nil: plain
	tokens   *identity.Tokens // nil: none are taken
	kept     sync.WaitGroup
}

// front is a runtime socket.
type front struct {
	listener net.Listener
	server   *runtimeapi.Server
}

// Start starts a steward by a checked configuration.
func Start(c *configpb.Config, version string, log zerolog.Logger) (_ *Daemon, err error) {
	if err := config.MayStart(c); err != nil {
		return nil, err
	}
	var random [16]byte
	if _, err := rand.Read(random[:]); err != nil {
		return nil, fmt.Errorf("drawing a name for this life: %w", err)
	}
	life, seed := hex.EncodeToString(random[:6]), c.Seed
	if seed == 0 {
		seed = binary.LittleEndian.Uint64(random[8:])
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{cancel: cancel} // not the result, which is nil by the time it is closed after an error
	defer func() {
		if err != nil {
			d.close()
		}
	}()
	var rec *record.Writer
	if c.Record != "" {
		if d.record, err = os.Create(c.Record); err != nil {
			return nil, fmt.Errorf("starting the recording: %w", err)
		}
		rec = record.NewWriter(d.record)
	}
	policy, secure, err := d.identify(ctx, c, log)
	if err != nil {
		return nil, err
	}
	if d.listener, err = net.Listen("tcp", c.Listen); err != nil {
		return nil, fmt.Errorf("listening for proxies: %w", err)
	}
	d.core = newCore(config.Steward(c, life, seed), intake.NewRateLimiter(intake.RateLimits{PerSource: *c.Intake.SourceLinesPerS, Total: *c.Intake.LinesPerS}), log, rec)
	if rec != nil {
		text, _ := prototext.MarshalOptions{Multiline: true}.Marshal(c)
		d.core.write(&recordpb.Record{At: d.core.clock.Now(), What: &recordpb.Record_Start{Start: &recordpb.Start{
			Format: record.Format, Program: version, Config: string(text), Life: life, Seed: seed}}})
	}
	if c.State.Folder != "" {
		if d.keeper, err = openKeeper(c.State.Folder, ms(*c.State.EveryMs), int(*c.State.MostBytes), *c.Guard.ColdMs, version, d.core, log); err != nil {
			return nil, err
		}
	}
	if c.Standby.Of != "" {
		if d.standing, err = newStanding(c.Standby.Of, d.tlsFor(c.Standby.Id), *c.Standby.FreshMs, *c.Guard.ColdMs, d.core, log); err != nil {
			return nil, err
		}
		d.clients = append(d.clients, d.standing.client)
	}
	probes := &http1.Client{Limits: http1.Limits{Line: 8 << 10, Header: 32 << 10, Body: 64 << 10}, Idle: 1024}
	d.clients = append(d.clients, probes)
	p := &prober{client: probes, path: c.Probes.Path, timeout: ms(*c.Probes.TimeoutMs),
		slots: make(chan struct{}, *c.Probes.AtOnce), ctx: ctx, done: d.core.probed}
	d.core.probe = p.probe
	if err := d.follow(ctx, c, log); err != nil {
		return nil, err
	}
	a := &api{core: d.core, policy: policy, source: d.source, tokens: d.tokens, used: auth.NewTokens(mostTokens), keeper: d.keeper, standing: d.standing, following: &following{core: d.core, life: life}, ops: d.Operators(), version: version}
	d.server = http1.NewServer(a.mux(), http1.Config{Limits: http1.Limits{Body: int64(*c.Server.BodyBytes)},
		Header: ms(*c.Server.HeaderMs), Body: ms(*c.Server.BodyMs), Idle: ms(*c.Server.IdleMs),
		Write: ms(*c.Server.WriteMs), Conns: int(*c.Server.Connections),
		Secure: secure})
	go func() {
		if err := d.server.Serve(d.listener); err != nil {
			log.Error().Err(err).Msg("no more connections are taken")
		}
	}()
	if err := d.runtime(c, version, log); err != nil {
		return nil, err
	}
	d.drive(ctx, c, life, log)
	if d.standing != nil {
		d.kept.Add(1)
		go func() { defer d.kept.Done(); d.standing.run(ctx) }()
	}
	if d.keeper != nil {
		d.kept.Add(1)
		go func() { defer d.kept.Done(); d.keeper.run(ctx) }()
	}
	d.core.do(func(float64) {})
	log.Info().Str("listen", d.Addr()).Str("life", life).Str("version", version).Msg("steward started")
	return d, nil
}

func ms(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

// follow takes up the host list.
func (d *Daemon) follow(ctx context.Context, c *configpb.Config, log zerolog.Logger) error {
	if c.List.File != "" {
		d.core.watch = func() {}
		l := &listFile{file: c.List.File, log: log, take: d.takes()}
		if err := l.read(); err != nil {
			return err
		}
		go l.follow(ctx)
		return nil
	}
	l, err := newListService(c.List.Url, d.source != nil, ms(*c.List.WaitMs))
	if err != nil {
		return err
	}
	l.log, l.ctx, l.take, l.failed = log, ctx, d.takes(), d.core.listFailed
	l.client.TLS = d.tlsFor(c.List.Id)
	d.clients = append(d.clients, l.client)
	d.core.watch = l.watch
	return nil
}

// takes is who takes the list: the steward, or one that stands by.
func (d *Daemon) takes() func([]controller.Endpoint) error {
	if d.standing != nil {
		return d.standing.took
	}
	return d.core.listed
}

// Operators is the way for operators.
func (d *Daemon) Operators() *Operators { return &Operators{core: d.core} }

// runtime opens the runtime sockets.
func (d *Daemon) runtime(c *configpb.Config, version string, log zerolog.Logger) error {
	for _, r := range c.Runtime {
		l, err := listenOn(r.Address)
		if err != nil {
			return fmt.Errorf("opening the runtime socket: %w", err)
		}
		level, _ := runtimeapi.ParseLevel(r.Level)
		f := front{l, runtimeapi.New(d.Operators(), runtimeapi.Config{Level: level, Version: version})}
		d.fronts = append(d.fronts, f)
		go func() {
			if err := f.server.Serve(f.listener); err != nil {
				log.Error().Err(err).Msg("the runtime socket takes no more connections")
			}
		}()
	}
	return nil
}

// drive drives the proxies that are told what to do by their own sockets.
func (d *Daemon) drive(ctx context.Context, c *configpb.Config, life string, log zerolog.Logger) {
	for _, p := range c.Sockets {
		x := socketproxy.New(polling{d.core}, socketproxy.Config{Proxy: p.Proxy, Zone: p.Zone, Address: p.Address, Rate: p.GetRate(), Life: life,
			Grace: *c.Guard.GraceMs, Period: ms(*c.Fleet.PeriodMs), Log: func(text string) { log.Info().Msg(text) }})
		d.driven.Add(1)
		go func() { defer d.driven.Done(); x.Run(ctx) }()
	}
}

// polling is a steward as proxies of sockets poll it, from within.
type polling struct{ core *core }

func (p polling) Poll(q controller.PollRequest, to func(controller.Response)) (int64, error) {
	return p.core.poll(q, to)
}
func (p polling) PollGone(proxy string, id int64) { p.core.pollGone(proxy, id) }
func (p polling) Sums(proxy string, u controller.ProxyStats) (bool, error) {
	return p.core.sums(proxy, u)
}
func (p polling) Now() float64 { return p.core.clock.Now() }
func (p polling) Listed(host string) bool {
	return look(p.core, func(s *controller.Controller) bool { return s.HasEndpoint(host) })
}

// listenOn listens at unix:PATH or address:port. A socket's file that nobody listens at any more is replaced.
func listenOn(address string) (net.Listener, error) {
	network, path := socketproxy.Network(address)
	if network == "tcp" {
		return net.Listen(network, path)
	}
	if c, err := net.Dial("unix", path); err == nil {
		c.Close()
		return nil, fmt.Errorf("%s: another program listens there", path)
	}
	if info, err := os.Stat(path); err == nil && info.Mode()&os.ModeSocket != 0 {
		os.Remove(path)
	}
	l, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	return l, os.Chmod(path, 0o600)
}

// RuntimeAddr is the address of a runtime socket, in the order of the configuration.
func (d *Daemon) RuntimeAddr(i int) string { return d.fronts[i].listener.Addr().String() }

// Addr is the address at which proxies are served.
func (d *Daemon) Addr() string { return d.listener.Addr().String() }

// Stop answers the polls that are held, takes no more, and ends cleanly; when the context ends first,
// connections are cut.
func (d *Daemon) Stop(ctx context.Context) error {
	d.listener.Close()
	if d.keeper != nil {
		d.keeper.save()
	}
	d.core.stop(true)
	err := d.server.Shutdown(ctx)
	d.close()
	return err
}

// Kill ends at once, as the end of the process would: connections are cut and held polls get no answer.
func (d *Daemon) Kill() {
	d.listener.Close()
	d.server.Cut()
	d.core.stop(false)
	d.close()
}

func (d *Daemon) close() {
	d.cancel()
	d.driven.Wait()
	d.kept.Wait()
	if d.keeper != nil {
		d.keeper.close()
	}
	for _, f := range d.fronts {
		f.listener.Close()
		f.server.Close()
	}
	if d.listener != nil {
		d.listener.Close()
	}
	for _, c := range d.clients {
		c.Close()
	}
	if d.tokens != nil {
		d.tokens.Close()
	}
	if d.source != nil {
		d.source.Close()
	}
	if d.record != nil {
		d.record.Close()
	}
}
