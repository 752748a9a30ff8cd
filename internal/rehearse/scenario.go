// Package rehearse runs scripted fault scenarios on loopback: real controllers with fake hosts and proxies, and faults
// that are injected at stated times. It measures the service level, and checks the invariants of package rules against
// the traffic that was observed on the sockets.
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

// Limits of a script.
const (
	maxLengthS     = 3600.0 // in s
	maxControllers = 16
	maxClassRate   = 5000.0 // requests of a class per second
)

// Defaults of a script.
const (
	defaultCollapseMs = 3000.0 // in ms
	defaultCores      = 4
	defaultSpeed      = 1.0
	defaultQueueLimit = 64
)

// fallbackHostsPerProxy is the number of hosts of its zone that a proxy uses until its first tables arrive.
const fallbackHostsPerProxy = 4

// Result is the result of a scenario.
type Result struct {
	ServiceLevel float64 // fraction of the requests that met their latency objective, by priority weight
	Verdicts     []rules.Verdict
	Passed       bool // all invariants held, and no unauthorized request was accepted
}

// scenario is a scenario that is being run.
type scenario struct {
	script           *daypb.Day
	config           *configpb.Config
	version          string
	recordingsFolder string // empty: nothing is recorded
	incarnations     int    // of all controllers
	closeRecordings  []func() error
	tempDir          string
	out              io.Writer
	log              zerolog.Logger
	start            time.Time
	eventLog         *rules.EventLog
	serviceLevel     *serviceLevel

	optimality        optimalityGaps
	ingest            ingestStats
	restarts          []controllerRestart
	identities        *identities // nil: plain HTTP
	rogueAddress      string      // controller with an untrusted certificate; empty: none
	controllerProgram string      // started for each controller; empty: they run in this process

	mu                  sync.Mutex
	hosts               []*scenarioHost
	proxies             []*fake.Proxy
	controllers         []controllerInstance
	controllerAddresses []string
	progressNotes       string // printed on the next line of progress
}

// scenarioHost is a host with its state on the endpoint list.
type scenarioHost struct {
	*fake.Host
	zone      string
	listed    bool
	draining  bool
	startedMs float64 // time of the last restart, ms since 1970; 0: it has not restarted
}

// Run runs the scenario of a script file, and prints its progress and a report to out. If recordingsFolder is not
// empty, each proxy and each incarnation of a controller is recorded there. If controllerProgram is not empty, each
// controller is a process of that program.
func Run(
	ctx context.Context, file, version, recordingsFolder, controllerProgram string, out io.Writer, log zerolog.Logger,
) (*Result, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("reading the script: %w", err)
	}
	script := &daypb.Day{}
	if err := prototext.Unmarshal(text, script); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return runScript(ctx, script, version, recordingsFolder, controllerProgram, out, log, func(*rules.Limits) {})
}

// runScript runs a script. adjustLimits may change the limits that the invariants are checked against.
func runScript(
	ctx context.Context, script *daypb.Day, version, recordingsFolder, controllerProgram string, out io.Writer,
	log zerolog.Logger, adjustLimits func(*rules.Limits),
) (*Result, error) {
	return runAndInspect(ctx, script, version, recordingsFolder, controllerProgram, out, log, adjustLimits,
		func(*scenario) {})
}

// runAndInspect runs a script like runScript, and calls inspect before the controllers are stopped.
func runAndInspect(
	ctx context.Context, script *daypb.Day, version, recordingsFolder, controllerProgram string, out io.Writer,
	log zerolog.Logger, adjustLimits func(*rules.Limits), inspect func(*scenario),
) (*Result, error) {
	s := &scenario{
		script:            script,
		version:           version,
		recordingsFolder:  recordingsFolder,
		controllerProgram: controllerProgram,
		out:               out,
		log:               log,
		eventLog:          rules.NewEventLog(),
		ingest:            ingestStats{client: &http.Client{Timeout: time.Second}},
	}
	if err := s.validate(); err != nil {
		return nil, err
	}
	var err error
	if s.tempDir, err = os.MkdirTemp("", "barleysail-rehearsal"); err != nil {
		return nil, fmt.Errorf("creating a temporary folder: %w", err)
	}
	defer os.RemoveAll(s.tempDir)
	defer s.tearDown()
	if err := s.setUp(); err != nil {
		return nil, err
	}
	s.run(ctx)
	limits := s.limits()
	adjustLimits(&limits)
	inspect(s)
	return s.report(limits), ctx.Err()
}

// validate sets the defaults of the script, checks it, and derives the controllers' configuration from it.
func (s *scenario) validate() error {
	script := s.script
	if script.Stewards == 0 {
		script.Stewards = 1
	}
	if script.FallMs == 0 {
		script.FallMs = defaultCollapseMs
	}
	if script.LengthS <= 0 || script.LengthS > maxLengthS ||
		script.Stewards < 0 || script.Stewards > maxControllers || script.Steward == nil ||
		script.Standby && script.Stewards < 2 ||
		len(script.Hosts) == 0 || len(script.Forwarders) == 0 || len(script.Traffic) == 0 {
		return fmt.Errorf("the script needs length_s (at most %g), stewards (at most %d; at least 2 with standby), "+
			"steward, hosts, forwarders and traffic", maxLengthS, maxControllers)
	}
	controllerConfig := proto.Clone(script.Steward).(*configpb.Config)
	controllerConfig.List = &configpb.List{File: "hosts.textproto"}
	if controllerConfig.Fleet == nil {
		controllerConfig.Fleet = &configpb.Fleet{}
	}
	for _, class := range controllerConfig.Classes {
		for _, traffic := range script.Traffic {
			class.Once = class.Once || traffic.Class == class.Name && traffic.Effect == daypb.Effect_ONCE
			if traffic.Class == class.Name && class.WorkMs == nil {
				class.WorkMs = proto.Float64(traffic.WorkMs)
			}
		}
	}
	if controllerConfig.Identity == nil { // all peers are on loopback
		controllerConfig.Identity = &configpb.Identity{PlainLoopback: true}
	}
	controllerConfig.Listen, controllerConfig.Record, controllerConfig.Fleet.Stewards = "127.0.0.1:0", "", &script.Stewards
	proxyCount := int32(0)
	for _, group := range script.Forwarders {
		proxyCount += group.Count
	}
	controllerConfig.Fleet.Proxies = &proxyCount
	text, err := prototext.Marshal(controllerConfig)
	if err != nil {
		return err
	}
	if s.config, err = config.Parse("the script's field steward", text); err != nil {
		return err
	}
	known := map[string]bool{}
	for _, class := range controllerConfig.Classes {
		known[class.Name] = true
	}
	for _, traffic := range script.Traffic {
		if !known[traffic.Class] || traffic.Rate <= 0 || traffic.Rate > maxClassRate || traffic.WorkMs <= 0 {
			return fmt.Errorf("the script's traffic of class %q, rate %g, work_ms %g: the class must be one of steward, "+
				"rate above 0 and at most %g, and work_ms above 0",
				traffic.Class, traffic.Rate, traffic.WorkMs, maxClassRate)
		}
	}
	for i, step := range script.Steps {
		if step.What == daypb.What_NONE || step.AtS < 0 || step.ForS < 0 ||
			step.What == daypb.What_KILL && (step.Steward < 0 || step.Steward >= script.Stewards) {
			return fmt.Errorf("the script's steps[%d]: what is missing, a time is negative, or steward is out of range", i)
		}
	}
	return nil
}

// limits returns the limits of the invariants that follow from the controllers' configuration.
func (s *scenario) limits() rules.Limits {
	return config.RuleLimits(s.config, s.script.FallMs)
}

// setUp starts the hosts, the controllers and the proxies. Proxies with a runtime socket are created before the
// controllers, whose configuration lists their sockets; the others after them, since they need their addresses.
func (s *scenario) setUp() error {
	limits := s.limits()
	for _, group := range s.script.Hosts {
		settings := fake.HostSettings{
			Zone: group.Zone, Cores: max(int(group.Cores), 1), Speed: group.Speed, QueueLimit: int(group.Queue),
			SlowStartInitialFactor: limits.SlowStartInitialFactor, SlowStartMs: limits.SlowStartMs,
			CollapseMultiple: limits.CollapseMultiple, CollapseMs: limits.CollapseMs,
			NonIdempotentClasses: limits.NonIdempotentClasses, ReportsRequestRate: group.ReportMs > 0,
		}
		if group.Cores == 0 {
			settings.Cores = defaultCores
		}
		if group.Speed == 0 {
			settings.Speed = defaultSpeed
		}
		if group.Queue == 0 {
			settings.QueueLimit = defaultQueueLimit
		}
		for range group.Count {
			host, err := fake.NewHost(settings, s.eventLog)
			if err != nil {
				return fmt.Errorf("starting a host: %w", err)
			}
			s.hosts = append(s.hosts, &scenarioHost{Host: host, zone: group.Zone, listed: true})
		}
	}
	s.config.List.File = filepath.Join(s.tempDir, "hosts.textproto")
	if err := s.writeEndpointList(); err != nil {
		return err
	}
	s.start = time.Now()
	s.serviceLevel = newServiceLevel(fake.Now())
	for _, class := range s.config.Classes {
		s.serviceLevel.addClass(class.Name, *class.Earnings, *class.DueMs)
	}
	if err := s.setUpIdentities(); err != nil {
		return fmt.Errorf("creating the identities: %w", err)
	}
	if err := s.createProxies(daypb.Front_SOCKET); err != nil {
		return err
	}
	for i := range s.script.Stewards {
		controller, err := s.startController(int(i), "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("starting a controller: %w", err)
		}
		s.controllers = append(s.controllers, controller)
		s.controllerAddresses = append(s.controllerAddresses, controller.Addr())
	}
	if s.identities != nil {
		var err error
		if s.rogueAddress, err = s.startRogueController(); err != nil {
			return err
		}
	}
	return s.createProxies(daypb.Front_POLLS)
}

// startController starts the next incarnation of a controller.
func (s *scenario) startController(index int, address string) (controllerInstance, error) {
	controllerConfig := proto.Clone(s.config).(*configpb.Config)
	controllerConfig.Listen = address
	s.mu.Lock()
	s.incarnations++
	name := fmt.Sprintf("steward-%d-%d", index, s.incarnations)
	s.mu.Unlock()
	if s.recordingsFolder != "" {
		controllerConfig.Record = filepath.Join(s.recordingsFolder, name+".day")
	}
	if s.script.State {
		controllerConfig.State.Folder = filepath.Join(s.tempDir, fmt.Sprintf("state-%d", index))
	}
	if last := int(s.script.Stewards) - 1; s.script.Standby && index == last && controllerConfig.Standby.Of == "" {
		controllerConfig.Standby.Of = s.scheme() + s.controllerAddresses[0]
	}
	if err := s.setControllerIdentity(controllerConfig, index); err != nil {
		return nil, err
	}
	if s.controllerProgram != "" {
		return s.startControllerProcess(controllerConfig, name)
	}
	return daemon.Start(controllerConfig, s.version, s.log)
}

// createProxies creates the proxies of one kind. Those that poll are assigned to the controllers in turn. The runtime
// sockets of the others are listed in the configuration of every controller; the controllers agree on which of them
// drives which socket.
func (s *scenario) createProxies(front daypb.Front) error {
	proxyCount, index := 0, 0
	for _, group := range s.script.Forwarders {
		proxyCount += int(group.Count)
	}
	classes := map[string]*configpb.Class{}
	for _, class := range s.config.Classes {
		classes[class.Name] = class
	}
	for _, group := range s.script.Forwarders {
		if group.Front != front {
			index += int(group.Count)
			continue
		}
		var fallbackHosts []string
		for _, host := range s.hosts {
			if host.zone == group.Zone && len(fallbackHosts) < fallbackHostsPerProxy {
				fallbackHosts = append(fallbackHosts, host.Address)
			}
		}
		for range group.Count {
			settings := fake.ProxySettings{
				Name:               fmt.Sprintf("forwarder-%d", index),
				Zone:               group.Zone,
				ProxyCount:         proxyCount,
				FallbackHosts:      fallbackHosts,
				Seed:               s.script.Seed + uint64(index),
				PollTimeout:        10 * time.Second,
				EjectAfterFailures: int(*s.config.Fleet.Ejects),
				ReportInterval:     time.Duration(*s.config.Fleet.PeriodMs * float64(time.Millisecond)),
				EventLog:           s.eventLog,
				OnResult:           s.serviceLevel.countRequest,
				Log:                func(text string) { s.log.Debug().Msg(text) },
			}
			settings.RuntimeSocket = front == daypb.Front_SOCKET
			settings.Controllers = s.controllerURLs(index)
			if identities := s.identities; identities != nil {
				source, tlsConfig, err := identities.addClientWorkload(
					fmt.Sprint("f", index), "/forwarder/"+settings.Zone+"/"+settings.Name)
				if err != nil {
					return fmt.Errorf("creating a proxy's identity: %w", err)
				}
				settings.TLS, settings.VerifySigner = tlsConfig, source.SignerVerifier(verifyController)
			}
			for _, traffic := range s.script.Traffic {
				class := classes[traffic.Class]
				settings.Traffic = append(settings.Traffic, fake.Traffic{
					Class:              traffic.Class,
					RequestsPerSecond:  traffic.Rate / float64(proxyCount),
					MeanWorkMs:         traffic.WorkMs,
					LatencyObjectiveMs: *class.DueMs,
					DeadlineMs:         *class.PatienceMs,
					Idempotent:         traffic.Effect == daypb.Effect_SAFE,
				})
			}
			if s.recordingsFolder != "" {
				if err := s.recordProxy(&settings); err != nil {
					return err
				}
			}
			proxy, err := fake.NewProxy(settings)
			if err != nil {
				return fmt.Errorf("creating a proxy: %w", err)
			}
			s.proxies = append(s.proxies, proxy)
			if settings.RuntimeSocket {
				s.config.Sockets = append(s.config.Sockets, &configpb.SocketProxy{
					Proxy:   settings.Name,
					Zone:    settings.Zone,
					Address: proxy.SocketAddress(),
					Rate:    proto.Float64(settings.ClientOptions().RequestRate),
				})
			}
			index++
		}
	}
	return nil
}

// controllerURLs returns the controllers that a proxy polls, in order of preference: the active controllers, beginning
// with the next one for each proxy in turn, then a standby, then the rogue controller.
func (s *scenario) controllerURLs(proxyIndex int) (urls []string) {
	active := s.controllerAddresses
	if s.script.Standby && len(active) > 1 {
		active = active[:len(active)-1]
	}
	for i := range active {
		urls = append(urls, s.scheme()+active[(proxyIndex+i)%len(active)])
	}
	for _, standby := range s.controllerAddresses[len(active):] {
		urls = append(urls, s.scheme()+standby)
	}
	if s.rogueAddress != "" {
		urls = append(urls, s.scheme()+s.rogueAddress)
	}
	return urls
}

// recordProxy sets up the recording of a proxy's requests.
func (s *scenario) recordProxy(settings *fake.ProxySettings) error {
	file, err := os.Create(filepath.Join(s.recordingsFolder, settings.Name+".day"))
	if err != nil {
		return fmt.Errorf("starting a recording: %w", err)
	}
	recording := record.NewProxyRecorder(file, s.version, settings.ClientOptions())
	s.closeRecordings = append(s.closeRecordings, func() error { return errors.Join(recording.Close(), file.Close()) })
	settings.OnRequestEnd, settings.OnTablesApplied = recording.RecordRequest, recording.RecordTables
	return nil
}

// writeEndpointList replaces the endpoint list file, and logs the list as known to controllers from then on.
func (s *scenario) writeEndpointList() error {
	list, logged := &configpb.HostList{}, map[string]rules.Listed{}
	s.mu.Lock()
	for _, host := range s.hosts {
		if !host.listed {
			continue
		}
		cores, speed := host.NominalCapacity()
		entry := &configpb.Host{
			Address: host.Address, Zone: host.zone, StartedUnixMs: host.startedMs, Cores: cores, Speed: &speed,
		}
		if host.draining {
			entry.Phase = configpb.Phase_DRAINING
		}
		list.Hosts = append(list.Hosts, entry)
		logged[host.Address] = rules.Listed{Ready: !host.draining, Started: host.startedMs}
	}
	s.mu.Unlock()
	text, err := prototext.MarshalOptions{Multiline: true}.Marshal(list)
	if err != nil {
		return err
	}
	tempFile := s.config.List.File + ".next"
	if err := os.WriteFile(tempFile, text, 0o644); err != nil {
		return fmt.Errorf("writing the endpoint list: %w", err)
	}
	s.eventLog.LogEndpoints(fake.Now(), logged)
	return os.Rename(tempFile, s.config.List.File)
}

// largeFleet is the number of hosts times proxies from which the optimality gap is sampled only every 10 s instead of
// every second, since a measurement takes long.
const largeFleet = 50000

// run generates the traffic, runs the steps, and samples and prints the progress until the scenario ends.
func (s *scenario) run(ctx context.Context) {
	running, stop := context.WithCancel(ctx)
	defer stop()
	var workers sync.WaitGroup
	for _, proxy := range s.proxies {
		workers.Add(1)
		go func() { defer workers.Done(); proxy.Run(running) }()
	}
	s.startLoadReports(running)
	if identities := s.identities; identities != nil {
		go identities.renewPeriodically(running)
		if err := s.startUnauthorizedClients(running); err != nil {
			s.log.Error().Err(err).Msg("cannot start the unauthorized clients")
		}
	}
	for _, step := range s.script.Steps {
		workers.Add(1)
		go func() { defer workers.Done(); s.runStep(running, step) }()
	}
	end := time.After(time.Duration(s.script.LengthS * float64(time.Second)))
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for done := false; !done; {
		select {
		case <-ticker.C:
			s.printProgress()
			s.sampleIngest()
			elapsedS := time.Since(s.start).Seconds()
			if len(s.hosts)*len(s.proxies) < largeFleet || int(elapsedS)%10 == 0 {
				s.sampleGap(elapsedS)
			}
		case <-end:
			done = true
		case <-ctx.Done():
			done = true
		}
	}
	stop()
	workers.Wait()
}

func (s *scenario) printProgress() {
	elapsedS := time.Since(s.start).Seconds()
	windowIndex := int(elapsedS * 1000 / windowMs)
	level, count := s.serviceLevel.fraction(windowIndex, windowIndex+1)
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.out, "%4.0f s  service %.3f of %4d  %s\n", elapsedS, level, count, s.progressNotes)
	s.progressNotes = ""
}

// addNote adds an event to the next line of progress.
func (s *scenario) addNote(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.progressNotes != "" {
		s.progressNotes += "; "
	}
	s.progressNotes += fmt.Sprintf(format, args...)
}

// report checks the invariants and prints the results.
func (s *scenario) report(limits rules.Limits) *Result {
	result := &Result{Passed: true, Verdicts: s.eventLog.Check(limits, fake.Now())}
	result.ServiceLevel, _ = s.serviceLevel.fraction(0, allWindows)
	for _, host := range s.hosts {
		if host.Collapsed() {
			result.Verdicts = append(result.Verdicts,
				rules.Verdict{Rule: "hosts that fell over", Margin: -1, Seen: host.Address})
		}
	}
	s.serviceLevel.print(s.out)
	fmt.Fprintln(s.out)
	s.optimality.print(s.out)
	s.ingest.print(s.out)
	s.printRestarts()
	if identities := s.identities; identities != nil {
		identities.print(s.out)
		if result.Passed = identities.allRejected(); !result.Passed {
			fmt.Fprintln(s.out, "BROKEN  an unauthorized request or connection was accepted")
		}
	}
	for _, verdict := range result.Verdicts {
		word := "kept"
		if !verdict.Kept {
			word, result.Passed = "BROKEN", false
		}
		fmt.Fprintf(s.out, "%-6s  %-28s margin %5.2f  %s\n", word, verdict.Rule, verdict.Margin, verdict.Seen)
	}
	return result
}

// tearDown stops the controllers and hosts, and closes the recordings.
func (s *scenario) tearDown() {
	if s.identities != nil {
		defer s.identities.close()
	}
	for _, controller := range s.controllers {
		if controller == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		if err := controller.Stop(ctx); err != nil {
			s.log.Warn().Err(err).Msg("a controller did not shut down in time")
		}
		cancel()
	}
	for _, host := range s.hosts {
		host.Crash()
	}
	for _, closeRecording := range s.closeRecordings {
		if err := closeRecording(); err != nil {
			s.log.Error().Err(err).Msg("cannot close a recording")
		}
	}
}
