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

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/prototext"

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
	loop           *controllerLoop
	server         *http1.Server
	listener       net.Listener
	cancel         context.CancelFunc
	recordingFile  *os.File
	httpClients    []*http1.Client
	runtimeSockets []runtimeSocket
	socketDrivers  sync.WaitGroup
	persister      *persister
	standby        *standbyReplica
	credentials    *identity.Source // nil: plain
	tokens         *identity.Tokens // nil: none are taken
	background     sync.WaitGroup
}

// runtimeSocket is a runtime socket.
type runtimeSocket struct {
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
	var rec *recorder
	if c.Record != "" {
		if d.recordingFile, err = os.Create(c.Record); err != nil {
			return nil, fmt.Errorf("starting the recording: %w", err)
		}
		rec = &recorder{writer: record.NewWriter(d.recordingFile), log: log}
	}
	policy, secure, err := d.openCredentials(ctx, c, log)
	if err != nil {
		return nil, err
	}
	if d.listener, err = net.Listen("tcp", c.Listen); err != nil {
		return nil, fmt.Errorf("listening for proxies: %w", err)
	}
	d.loop = newControllerLoop(config.Steward(c, life, seed), intake.NewRateLimiter(intake.RateLimits{PerSource: *c.Intake.SourceLinesPerS, Total: *c.Intake.LinesPerS}), log, rec)
	if rec != nil {
		text, _ := prototext.MarshalOptions{Multiline: true}.Marshal(c)
		d.loop.recorder.write(&recordpb.Record{At: d.loop.clock.Now(), What: &recordpb.Record_Start{Start: &recordpb.Start{
			Format: record.Format, Program: version, Config: string(text), Life: life, Seed: seed}}})
	}
	if c.State.Folder != "" {
		if d.persister, err = openPersister(c.State.Folder, milliseconds(*c.State.EveryMs), int(*c.State.MostBytes), *c.Guard.ColdMs, version, d.loop, log); err != nil {
			return nil, err
		}
	}
	if c.Standby.Of != "" {
		if d.standby, err = newStandbyReplica(c.Standby.Of, d.clientTLS(c.Standby.Id), *c.Standby.FreshMs, *c.Guard.ColdMs, d.loop, log); err != nil {
			return nil, err
		}
		d.httpClients = append(d.httpClients, d.standby.client)
	}
	probes := &http1.Client{Limits: http1.Limits{Line: 8 << 10, Header: 32 << 10, Body: 64 << 10}, Idle: 1024}
	d.httpClients = append(d.httpClients, probes)
	p := &healthChecker{client: probes, path: c.Probes.Path, timeout: milliseconds(*c.Probes.TimeoutMs),
		slots: make(chan struct{}, *c.Probes.AtOnce), ctx: ctx, report: d.loop.observeHealthCheck}
	d.loop.startHealthCheck = p.check
	if err := d.startEndpointSource(ctx, c, log); err != nil {
		return nil, err
	}
	a := &api{
		loop:           d.loop,
		authorizer:     newAuthorizer(policy, d.credentials, d.tokens, d.loop),
		credentials:    d.credentials,
		persister:      d.persister,
		standby:        d.standby,
		statePublisher: &statePublisher{loop: d.loop, incarnation: life},
		operators:      d.Operators(),
		version:        version,
	}
	d.server = http1.NewServer(a.routes(), http1.Config{Limits: http1.Limits{Body: int64(*c.Server.BodyBytes)},
		Header: milliseconds(*c.Server.HeaderMs), Body: milliseconds(*c.Server.BodyMs), Idle: milliseconds(*c.Server.IdleMs),
		Write: milliseconds(*c.Server.WriteMs), Conns: int(*c.Server.Connections),
		Secure: secure})
	go func() {
		if err := d.server.Serve(d.listener); err != nil {
			log.Error().Err(err).Msg("no more connections are taken")
		}
	}()
	if err := d.openRuntimeSockets(c, version, log); err != nil {
		return nil, err
	}
	d.startSocketDrivers(ctx, c, life, log)
	if d.standby != nil {
		d.background.Add(1)
		go func() { defer d.background.Done(); d.standby.run(ctx) }()
	}
	if d.persister != nil {
		d.background.Add(1)
		go func() { defer d.background.Done(); d.persister.run(ctx) }()
	}
	d.loop.call(func(float64) {})
	log.Info().Str("listen", d.Addr()).Str("life", life).Str("version", version).Msg("steward started")
	return d, nil
}

// startEndpointSource takes up the host list.
func (d *Daemon) startEndpointSource(ctx context.Context, c *configpb.Config, log zerolog.Logger) error {
	if c.List.File != "" {
		d.loop.startWatch = func() {}
		l := &endpointFile{path: c.List.File, log: log, publish: d.endpointSink()}
		if err := l.reload(); err != nil {
			return err
		}
		go l.watch(ctx)
		return nil
	}
	l, err := newEndpointService(c.List.Url, d.credentials != nil, milliseconds(*c.List.WaitMs))
	if err != nil {
		return err
	}
	l.log, l.ctx, l.publish, l.reportFailure = log, ctx, d.endpointSink(), d.loop.observeWatchFailure
	l.client.TLS = d.clientTLS(c.List.Id)
	d.httpClients = append(d.httpClients, l.client)
	d.loop.startWatch = l.startWatch
	return nil
}

// endpointSink is who takes the list: the steward, or one that stands by.
func (d *Daemon) endpointSink() func([]controller.Endpoint) error {
	if d.standby != nil {
		return d.standby.setEndpoints
	}
	return d.loop.setEndpoints
}

// Operators is the way for operators.
func (d *Daemon) Operators() *Operators { return &Operators{loop: d.loop} }

// openRuntimeSockets opens the runtime sockets.
func (d *Daemon) openRuntimeSockets(c *configpb.Config, version string, log zerolog.Logger) error {
	for _, r := range c.Runtime {
		l, err := listenRuntimeSocket(r.Address)
		if err != nil {
			return fmt.Errorf("opening the runtime socket: %w", err)
		}
		level, _ := runtimeapi.ParseLevel(r.Level)
		f := runtimeSocket{l, runtimeapi.New(d.Operators(), runtimeapi.Config{Level: level, Version: version})}
		d.runtimeSockets = append(d.runtimeSockets, f)
		go func() {
			if err := f.server.Serve(f.listener); err != nil {
				log.Error().Err(err).Msg("the runtime socket takes no more connections")
			}
		}()
	}
	return nil
}

// startSocketDrivers drives the proxies that are told what to do by their own sockets.
func (d *Daemon) startSocketDrivers(ctx context.Context, c *configpb.Config, life string, log zerolog.Logger) {
	for _, p := range c.Sockets {
		x := socketproxy.New(localController{d.loop}, socketproxy.Config{Proxy: p.Proxy, Zone: p.Zone, Address: p.Address, Rate: p.GetRate(), Life: life,
			Grace: *c.Guard.GraceMs, Period: milliseconds(*c.Fleet.PeriodMs), Log: func(text string) { log.Info().Msg(text) }})
		d.socketDrivers.Add(1)
		go func() { defer d.socketDrivers.Done(); x.Run(ctx) }()
	}
}

// localController is a steward as proxies of sockets poll it, from within.
type localController struct{ loop *controllerLoop }

func (p localController) Poll(q controller.PollRequest, to func(controller.Response)) (int64, error) {
	return p.loop.poll(q, to)
}
func (p localController) PollGone(proxy string, id int64) { p.loop.cancelPoll(proxy, id) }
func (p localController) Sums(proxy string, u controller.ProxyStats) (bool, error) {
	return p.loop.observeProxyStats(proxy, u)
}
func (p localController) Now() float64 { return p.loop.clock.Now() }
func (p localController) Listed(host string) bool {
	return query(p.loop, func(s *controller.Controller) bool { return s.HasEndpoint(host) })
}

// listenRuntimeSocket listens at unix:PATH or address:port. A socket's file that nobody listens at any more is replaced.
func listenRuntimeSocket(address string) (net.Listener, error) {
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
func (d *Daemon) RuntimeAddr(i int) string { return d.runtimeSockets[i].listener.Addr().String() }

// Addr is the address at which proxies are served.
func (d *Daemon) Addr() string { return d.listener.Addr().String() }

// Stop answers the polls that are held, takes no more, and ends cleanly; when the context ends first,
// connections are cut.
func (d *Daemon) Stop(ctx context.Context) error {
	d.listener.Close()
	if d.persister != nil {
		d.persister.save()
	}
	d.loop.stop(true)
	err := d.server.Shutdown(ctx)
	d.close()
	return err
}

// Kill ends at once, as the end of the process would: connections are cut and held polls get no answer.
func (d *Daemon) Kill() {
	d.listener.Close()
	d.server.Cut()
	d.loop.stop(false)
	d.close()
}

func (d *Daemon) close() {
	d.cancel()
	d.socketDrivers.Wait()
	d.background.Wait()
	if d.persister != nil {
		d.persister.close()
	}
	for _, f := range d.runtimeSockets {
		f.listener.Close()
		f.server.Close()
	}
	if d.listener != nil {
		d.listener.Close()
	}
	for _, c := range d.httpClients {
		c.Close()
	}
	if d.tokens != nil {
		d.tokens.Close()
	}
	if d.credentials != nil {
		d.credentials.Close()
	}
	if d.recordingFile != nil {
		d.recordingFile.Close()
	}
}
