// Package daemon runs a controller as a network service ("barleysail run"). It owns the sockets (the HTTP API, the
// runtime sockets, and the drivers that program proxies by their own runtime sockets), the endpoint sources, health
// checks, the persisted state, the standby role, the clock, the log and the recording. It never makes a routing
// decision: packages controller and routing make them, and do no I/O.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/prototext"

	"barleysail/auth"
	"barleysail/intake"
	"barleysail/internal/config"
	"barleysail/internal/config/configpb"
	"barleysail/internal/http1"
	"barleysail/internal/identity"
	"barleysail/internal/record"
	"barleysail/internal/record/recordpb"
)

// Daemon is a running controller with its sockets and background work. It reads its configuration only at the start:
// unlike "barleysail node" it has no reload on SIGHUP, which ends the process. Stop or Kill ends it together with all
// goroutines that it started.
type Daemon struct {
	config      *configpb.Config
	version     string
	incarnation string
	seed        uint64
	log         zerolog.Logger

	cancel         context.CancelFunc // ends the background work
	loop           *controllerLoop
	server         *http1.Server
	listener       net.Listener
	recordingFile  *os.File // nil: nothing is recorded
	httpClients    []*http1.Client
	runtimeSockets []runtimeSocket
	healthChecker  *healthChecker
	endpoints      *endpointService        // nil: the list is a file
	persister      *persister              // nil: no state is persisted
	standby        *standbyReplica         // nil: this is no standby
	credentials    *identity.Source        // nil: connections are plain
	tokens         *identity.TokenVerifier // nil: bearer tokens are not accepted

	closeOnce     sync.Once
	servers       sync.WaitGroup // goroutines that accept connections; closing their listeners ends them
	socketDrivers sync.WaitGroup // goroutines of socket drivers; canceling the context ends them
	background    sync.WaitGroup // all other goroutines; canceling the context ends them
}

// Start starts a controller with a validated configuration, and returns when its sockets are open. The program's
// version is reported in the status. The error is the first one of opening a file, a socket, the credentials or the
// state folder, or of reading the endpoint list; nothing is left running then.
func Start(cfg *configpb.Config, version string, log zerolog.Logger) (*Daemon, error) {
	if err := config.CheckPlaintext(cfg); err != nil {
		return nil, err
	}
	incarnation, seed, err := newIncarnation(cfg.Seed)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{config: cfg, version: version, incarnation: incarnation, seed: seed, log: log, cancel: cancel}
	if err := d.start(ctx); err != nil {
		d.close()
		return nil, err
	}
	log.Info().Str("listen", d.Addr()).Str("incarnation", incarnation).Str("version", version).Msg("controller started")
	return d, nil
}

const (
	incarnationBytes = 6 // of random data in the name of an incarnation
	seedBytes        = 8
)

// newIncarnation returns a random name for this incarnation, unique among all controllers and restarts, and the seed of
// the controller's random draws: the configured one, or a random one if that is 0.
func newIncarnation(configuredSeed uint64) (incarnation string, seed uint64, err error) {
	var random [2 * seedBytes]byte
	if _, err := rand.Read(random[:]); err != nil {
		return "", 0, fmt.Errorf("generating a random incarnation name: %w", err)
	}
	incarnation = hex.EncodeToString(random[:incarnationBytes])
	if configuredSeed != 0 {
		return incarnation, configuredSeed, nil
	}
	return incarnation, binary.LittleEndian.Uint64(random[seedBytes:]), nil
}

// start opens everything that the configuration names, in the order of dependencies. After an error the caller has to
// call close.
func (d *Daemon) start(ctx context.Context) error {
	recorder, err := d.openRecording()
	if err != nil {
		return err
	}
	policy, secure, err := d.openCredentials(ctx)
	if err != nil {
		return err
	}
	if d.listener, err = net.Listen("tcp", d.config.Listen); err != nil {
		return fmt.Errorf("listening for proxies: %w", err)
	}
	limiter := intake.NewRateLimiter(intake.RateLimits{
		PerSource: *d.config.Intake.SourceLinesPerS,
		Total:     *d.config.Intake.LinesPerS,
	})
	instance := config.NewController(d.config, d.incarnation, d.seed)
	d.loop = newControllerLoop(instance, limiter, d.log, recorder)
	d.startHealthChecker(ctx)
	if err := d.recordStart(); err != nil {
		return err
	}
	if err := d.openPersister(); err != nil {
		return err
	}
	if err := d.openStandby(); err != nil {
		return err
	}
	if err := d.startEndpointSource(ctx); err != nil {
		return err
	}
	d.serveAPI(policy, secure)
	if err := d.openRuntimeSockets(); err != nil {
		return err
	}
	d.startSocketDrivers(ctx, d.config)
	d.startBackground(ctx)
	d.loop.wake()
	return nil
}

// openRecording creates the file of the recording. It returns nil if nothing is to be recorded.
func (d *Daemon) openRecording() (*recorder, error) {
	if d.config.Record == "" {
		return nil, nil
	}
	var err error
	if d.recordingFile, err = os.Create(d.config.Record); err != nil {
		return nil, fmt.Errorf("starting the recording: %w", err)
	}
	return &recorder{writer: record.NewWriter(d.recordingFile), log: d.log}, nil
}

// recordStart writes the first record, which holds all that a replay needs to create the same controller.
func (d *Daemon) recordStart() error {
	if d.loop.recorder == nil {
		return nil
	}
	text, err := prototext.MarshalOptions{Multiline: true}.Marshal(d.config)
	if err != nil {
		return fmt.Errorf("starting the recording: %w", err)
	}
	start := &recordpb.Start{
		Format:  record.Format,
		Program: d.version,
		Config:  string(text),
		Life:    d.incarnation,
		Seed:    d.seed,
	}
	d.loop.recorder.write(&recordpb.Record{At: d.loop.clock.Now(), What: &recordpb.Record_Start{Start: start}})
	return nil
}

// openPersister opens the state folder, if one is configured, and restores the state in it.
func (d *Daemon) openPersister() (err error) {
	settings := d.config.State
	if settings.Folder == "" {
		return nil
	}
	d.persister, err = openPersister(persisterConfig{
		folder:   settings.Folder,
		interval: milliseconds(*settings.EveryMs),
		maxBytes: int(*settings.MostBytes),
		coldMs:   *d.config.Guard.ColdMs,
		program:  d.version,
	}, d.loop, d.log)
	return err
}

// openStandby makes this controller a standby if the configuration names its leader.
func (d *Daemon) openStandby() (err error) {
	settings := d.config.Standby
	if settings.Of == "" {
		return nil
	}
	d.standby, err = newStandbyReplica(standbyConfig{
		leaderURL: settings.Of,
		tls:       d.clientTLS(settings.Id),
		leaseMs:   *settings.FreshMs,
		coldMs:    *d.config.Guard.ColdMs,
	}, d.loop, d.log)
	if err != nil {
		return err
	}
	d.httpClients = append(d.httpClients, d.standby.client)
	return nil
}

// serveAPI serves the HTTP API on the listener.
func (d *Daemon) serveAPI(policy *auth.Policy, secure *http1.TLSOptions) {
	settings := d.config.Server
	d.server = http1.NewServer(d.newAPI(policy).routes(), http1.Config{
		Limits:        http1.Limits{BodyBytes: int64(*settings.BodyBytes)},
		HeaderTimeout: milliseconds(*settings.HeaderMs),
		BodyTimeout:   milliseconds(*settings.BodyMs),
		IdleTimeout:   milliseconds(*settings.IdleMs),
		WriteTimeout:  milliseconds(*settings.WriteMs),
		MaxConns:      int(*settings.Connections),
		TLS:           secure,
		AcceptError:   func(err error) { d.log.Warn().Err(err).Msg("accepting a connection failed") },
	})
	d.servers.Go(func() {
		if err := d.server.Serve(d.listener); err != nil {
			d.log.Error().Err(err).Msg("accepting connections failed")
		}
	})
}

// newAPI returns the handlers of the HTTP API.
func (d *Daemon) newAPI(policy *auth.Policy) *api {
	return &api{
		loop:           d.loop,
		authorizer:     newAuthorizer(policy, d.credentials, d.tokens, d.loop),
		credentials:    d.credentials,
		persister:      d.persister,
		standby:        d.standby,
		statePublisher: &statePublisher{loop: d.loop, incarnation: d.incarnation},
		operators:      d.Operators(),
		version:        d.version,
	}
}

// startBackground starts the standby's polls of its leader and the persister's saves.
func (d *Daemon) startBackground(ctx context.Context) {
	if d.standby != nil {
		d.background.Go(func() { d.standby.run(ctx) })
	}
	if d.persister != nil {
		d.background.Go(func() { d.persister.run(ctx) })
	}
}

// Operators returns the operators' view of the controller, for any front end.
func (d *Daemon) Operators() *Operators { return &Operators{loop: d.loop, persister: d.persister} }

// Addr returns the address:port of the HTTP API.
func (d *Daemon) Addr() string { return d.listener.Addr().String() }

// RuntimeAddr returns the address of the runtime socket with this index in the configuration.
func (d *Daemon) RuntimeAddr(index int) string {
	return d.runtimeSockets[index].listener.Addr().String()
}

// Stop is the graceful shutdown, by which "barleysail run" ends on the first SIGTERM or SIGINT. It accepts no more
// connections, saves the state, responds to pending polls with the current tables, closes the recording, and waits
// until requests in progress are done. If the context ends first, Stop closes the remaining connections and returns the
// context's error.
func (d *Daemon) Stop(ctx context.Context) error {
	d.closeAndLog("listener", d.listener)
	if d.persister != nil {
		_ = d.persister.save() // the report and the log have the error
	}
	d.loop.shutDown()
	err := d.server.Shutdown(ctx)
	d.close()
	return err
}

// Kill ends the daemon at once, without a graceful shutdown, as if the process were killed: it closes all connections,
// pending polls get no response, and neither the state is saved nor the recording completed. "barleysail run" calls it
// on a second SIGTERM or SIGINT.
func (d *Daemon) Kill() {
	d.closeAndLog("listener", d.listener)
	d.server.Close()
	d.loop.stop()
	d.close()
}

// close ends all goroutines of the daemon, waits for them, and closes all resources. It also works for a daemon whose
// start failed halfway. Only the first call has an effect.
func (d *Daemon) close() { d.closeOnce.Do(d.closeAll) }

func (d *Daemon) closeAll() {
	d.cancel()
	if d.server != nil {
		d.server.Close() // needed after a failed start: Stop and Kill have closed the connections before
	}
	if d.loop != nil {
		d.loop.stop()
	}
	if d.healthChecker != nil {
		d.healthChecker.close()
	}
	if d.endpoints != nil {
		d.endpoints.close()
	}
	d.socketDrivers.Wait()
	d.background.Wait()
	if d.persister != nil {
		d.persister.close()
	}
	d.closeRuntimeSockets()
	if d.listener != nil {
		d.closeAndLog("listener", d.listener)
	}
	d.servers.Wait()
	for _, client := range d.httpClients {
		client.Close()
	}
	if d.tokens != nil {
		d.closeAndLog("token keys", d.tokens)
	}
	if d.credentials != nil {
		d.closeAndLog("credentials", d.credentials)
	}
	if d.recordingFile != nil {
		d.closeAndLog("recording", d.recordingFile)
	}
}

// closeAndLog closes a resource. A failure is only logged: nothing can be done about it at this point.
func (d *Daemon) closeAndLog(name string, resource io.Closer) {
	err := resource.Close()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		d.log.Warn().Err(err).Str("resource", name).Msg("closing failed")
	}
}
