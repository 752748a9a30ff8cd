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
	ServiceLevel float64
	Verdicts     []rules.Verdict
	Passed       bool
}

// day is one that is being played.
type scenario struct {
	script           *daypb.Day
	config           *configpb.Config
	version          string
	recordingsFolder string // folder for recordings, empty: none
	incarnations     int
	closeRecordings  []func() error // to be ended
	tempDir          string
	out              io.Writer
	log              zerolog.Logger
	start            time.Time
	eventLog         *rules.EventLog
	serviceLevel     *serviceLevel

	optimality        optimalityGaps
	ingest            ingestStats
	restarts          []controllerRestart
	identities        *identities // nil: all is plain
	rogueAddress      string      // address of an impostor steward; empty: none
	controllerProgram string      // that stewards are started with; empty: they run in this process

	mu                  sync.Mutex
	hosts               []*scenarioHost
	proxies             []*fake.Forwarder
	controllers         []controllerInstance
	controllerAddresses []string
	progressNotes       string
}

// member is a host with what the list says of it.
type scenarioHost struct {
	*fake.Host
	zone      string
	listed    bool
	draining  bool
	startedMs float64
}

// Play plays the day of a script file, with progress and the report on out. With a folder for records each life
// of a steward is recorded there.
//
// With a program, stewards are processes of their own.
func Run(ctx context.Context, file, version, recordingsFolder, controllerProgram string, out io.Writer, log zerolog.Logger) (*Result, error) {
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

// playDay plays a script; judge may change the figures that the rules are reckoned by.
func runScript(ctx context.Context, script *daypb.Day, version, recordingsFolder, controllerProgram string, out io.Writer,
	log zerolog.Logger, adjustLimits func(*rules.Limits)) (*Result, error) {
	return runAndInspect(ctx, script, version, recordingsFolder, controllerProgram, out, log, adjustLimits, func(*scenario) {})
}

// playing plays a script, and shows the day before it is taken down.
func runAndInspect(ctx context.Context, script *daypb.Day, version, recordingsFolder, controllerProgram string, out io.Writer,
	log zerolog.Logger, adjustLimits func(*rules.Limits), inspect func(*scenario)) (*Result, error) {
	d := &scenario{script: script, version: version, recordingsFolder: recordingsFolder, controllerProgram: controllerProgram, out: out, log: log, eventLog: rules.NewEventLog(),
		ingest: ingestStats{client: &http.Client{Timeout: time.Second}}}
	if err := d.validate(); err != nil {
		return nil, err
	}
	var err error
	if d.tempDir, err = os.MkdirTemp("", "barleysail-rehearsal"); err != nil {
		return nil, fmt.Errorf("making a folder: %w", err)
	}
	defer os.RemoveAll(d.tempDir)
	defer d.tearDown()
	if err := d.setUp(); err != nil {
		return nil, err
	}
	d.run(ctx)
	limits := d.limits()
	adjustLimits(&limits)
	inspect(d)
	return d.report(limits), ctx.Err()
}

func (d *scenario) validate() error {
	script := d.script
	if script.Stewards == 0 {
		script.Stewards = 1
	}
	if script.FallMs == 0 {
		script.FallMs = 3000
	}
	if script.LengthS <= 0 || script.LengthS > 3600 || script.Stewards < 0 || script.Stewards > 16 || script.Steward == nil ||
		script.Standby && script.Stewards < 2 || len(script.Hosts) == 0 || len(script.Forwarders) == 0 || len(script.Traffic) == 0 {
		return fmt.Errorf("the script: a day needs length_s (to 3600), stewards (to 16; two for a standby), steward, hosts, forwarders and traffic")
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
	if controllerConfig.Identity == nil { // stand-ins on this machine alone
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
	if d.config, err = config.Parse("the script's steward", text); err != nil {
		return err
	}
	known := map[string]bool{}
	for _, class := range controllerConfig.Classes {
		known[class.Name] = true
	}
	for _, traffic := range script.Traffic {
		if !known[traffic.Class] || traffic.Rate <= 0 || traffic.Rate > 5000 || traffic.WorkMs <= 0 {
			return fmt.Errorf("the script's traffic: class %q, %g a second of %g ms, does not do", traffic.Class, traffic.Rate, traffic.WorkMs)
		}
	}
	for i, step := range script.Steps {
		if step.What == daypb.What_NONE || step.AtS < 0 || step.ForS < 0 || step.What == daypb.What_KILL && (step.Steward < 0 || step.Steward >= script.Stewards) {
			return fmt.Errorf("the script's steps[%d] names nothing that can be done", i)
		}
	}
	return nil
}

// figures are the rules' figures by the configuration.
func (d *scenario) limits() rules.Limits {
	return config.Rules(d.config, d.script.FallMs)
}

func (d *scenario) setUp() error {
	limits := d.limits()
	for _, group := range d.script.Hosts {
		settings := fake.HostSettings{Zone: group.Zone, Cores: max(int(group.Cores), 1), Speed: group.Speed, Queue: int(group.Queue),
			ColdFrom: limits.SlowStartInitialFactor, Cold: limits.SlowStartMs, Multiple: limits.CollapseMultiple, Fall: limits.CollapseMs, Once: limits.NonIdempotentClasses, Rate: group.ReportMs > 0}
		if group.Cores == 0 {
			settings.Cores = 4
		}
		if group.Speed == 0 {
			settings.Speed = 1
		}
		if group.Queue == 0 {
			settings.Queue = 64
		}
		for range group.Count {
			host, err := fake.NewHost(settings, d.eventLog)
			if err != nil {
				return fmt.Errorf("starting a host: %w", err)
			}
			d.hosts = append(d.hosts, &scenarioHost{Host: host, zone: group.Zone, listed: true})
		}
	}
	d.config.List.File = filepath.Join(d.tempDir, "hosts.textproto")
	if err := d.writeEndpointList(); err != nil {
		return err
	}
	d.start = time.Now()
	d.serviceLevel = newServiceLevel(fake.Now())
	for _, class := range d.config.Classes {
		d.serviceLevel.addClass(class.Name, *class.Earnings, *class.DueMs)
	}
	if err := d.setUpIdentities(); err != nil {
		return fmt.Errorf("giving out identities: %w", err)
	}
	if err := d.createProxies(daypb.Front_SOCKET); err != nil {
		return err
	}
	for i := range d.script.Stewards {
		controller, err := d.startController(int(i), "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("starting a steward: %w", err)
		}
		d.controllers, d.controllerAddresses = append(d.controllers, controller), append(d.controllerAddresses, controller.Addr())
	}
	if d.identities != nil {
		var err error
		if d.rogueAddress, err = d.startRogueController(); err != nil {
			return err
		}
	}
	return d.createProxies(daypb.Front_POLLS)
}

// steward starts one at an address.
func (d *scenario) startController(index int, address string) (controllerInstance, error) {
	controllerConfig := proto.Clone(d.config).(*configpb.Config)
	controllerConfig.Listen = address
	d.mu.Lock()
	d.incarnations++
	name := fmt.Sprintf("steward-%d-%d", index, d.incarnations)
	d.mu.Unlock()
	if d.recordingsFolder != "" {
		controllerConfig.Record = filepath.Join(d.recordingsFolder, name+".day")
	}
	if d.script.State {
		controllerConfig.State.Folder = filepath.Join(d.tempDir, fmt.Sprintf("state-%d", index))
	}
	if last := int(d.script.Stewards) - 1; d.script.Standby && index == last && controllerConfig.Standby.Of == "" {
		controllerConfig.Standby.Of = d.scheme() + d.controllerAddresses[0]
	}
	if err := d.setControllerIdentity(controllerConfig, index); err != nil {
		return nil, err
	}
	if d.controllerProgram != "" {
		return d.startControllerProcess(controllerConfig, name)
	}
	return daemon.Start(controllerConfig, d.version, d.log)
}

// forward makes the forwarders of a front, the stewards dealt out to them in turn, each with a few hosts of its zone.
// All stewards are told of those with sockets, and settle among themselves who drives which.
func (d *scenario) createProxies(front daypb.Front) error {
	proxyCount, index := 0, 0
	for _, group := range d.script.Forwarders {
		proxyCount += int(group.Count)
	}
	classes := map[string]*configpb.Class{}
	for _, class := range d.config.Classes {
		classes[class.Name] = class
	}
	for _, group := range d.script.Forwarders {
		if group.Front != front {
			index += int(group.Count)
			continue
		}
		var fallbackHosts []string
		for _, host := range d.hosts {
			if host.zone == group.Zone && len(fallbackHosts) < 4 {
				fallbackHosts = append(fallbackHosts, host.Address)
			}
		}
		for range group.Count {
			settings := fake.ForwarderSettings{Name: fmt.Sprintf("forwarder-%d", index), Zone: group.Zone, Of: proxyCount, Standing: fallbackHosts,
				Seed: d.script.Seed + uint64(index), Wait: 10 * time.Second, Ejects: int(*d.config.Fleet.Ejects),
				Period:  time.Duration(*d.config.Fleet.PeriodMs * float64(time.Millisecond)),
				Journal: d.eventLog, Ended: d.serviceLevel.countRequest, Log: func(text string) { d.log.Debug().Msg(text) }}
			settings.Socket = front == daypb.Front_SOCKET
			settings.Stewards = d.controllerURLs(index)
			if identities := d.identities; identities != nil {
				source, tlsConfig, err := identities.controllerTLS(fmt.Sprint("f", index), "/forwarder/"+settings.Zone+"/"+settings.Name)
				if err != nil {
					return fmt.Errorf("giving a forwarder its identity: %w", err)
				}
				settings.TLS, settings.Signed = tlsConfig, source.Signed(verifyController)
			}
			for _, traffic := range d.script.Traffic {
				class := classes[traffic.Class]
				settings.Traffic = append(settings.Traffic, fake.Traffic{Class: traffic.Class, Rate: traffic.Rate / float64(proxyCount),
					Work: traffic.WorkMs, Due: *class.DueMs, Patience: *class.PatienceMs, Repeats: traffic.Effect == daypb.Effect_SAFE})
			}
			if d.recordingsFolder != "" {
				if err := d.recordProxy(&settings); err != nil {
					return err
				}
			}
			proxy, err := fake.NewForwarder(settings)
			if err != nil {
				return fmt.Errorf("making a forwarder: %w", err)
			}
			d.proxies = append(d.proxies, proxy)
			if settings.Socket {
				d.config.Sockets = append(d.config.Sockets, &configpb.SocketProxy{Proxy: settings.Name, Zone: settings.Zone, Address: proxy.SocketAddress(),
					Rate: proto.Float64(settings.Options().RequestRate)})
			}
			index++
		}
	}
	return nil
}

// stewardsOf are those that a forwarder turns to, in order: dealt out in turn, one that stands by at the end.
func (d *scenario) controllerURLs(proxyIndex int) (urls []string) {
	active := d.controllerAddresses
	if d.script.Standby && len(active) > 1 {
		active = active[:len(active)-1]
	}
	for i := range active {
		urls = append(urls, d.scheme()+active[(proxyIndex+i)%len(active)])
	}
	for _, standby := range d.controllerAddresses[len(active):] {
		urls = append(urls, d.scheme()+standby)
	}
	if d.rogueAddress != "" {
		urls = append(urls, d.scheme()+d.rogueAddress)
	}
	return urls
}

// recordProxy has a forwarder's transactions recorded.
func (d *scenario) recordProxy(settings *fake.ForwarderSettings) error {
	file, err := os.Create(filepath.Join(d.recordingsFolder, settings.Name+".day"))
	if err != nil {
		return fmt.Errorf("starting a recording: %w", err)
	}
	recording := record.NewProxy(file, d.version, settings.Options())
	d.closeRecordings = append(d.closeRecordings, func() error { return errors.Join(recording.Close(), file.Close()) })
	settings.Transacted, settings.Applied = recording.Ended, recording.Applied
	return nil
}

// list writes the host list as it now stands, and notes it: stewards can know it from then on.
func (d *scenario) writeEndpointList() error {
	list, logged := &configpb.HostList{}, map[string]rules.Listed{}
	d.mu.Lock()
	for _, host := range d.hosts {
		if !host.listed {
			continue
		}
		cores, speed := host.Stated()
		entry := &configpb.Host{Address: host.Address, Zone: host.zone, StartedUnixMs: host.startedMs, Cores: cores, Speed: &speed}
		if host.draining {
			entry.Phase = configpb.Phase_DRAINING
		}
		list.Hosts = append(list.Hosts, entry)
		logged[host.Address] = rules.Listed{Ready: !host.draining, Started: host.startedMs}
	}
	d.mu.Unlock()
	text, err := prototext.MarshalOptions{Multiline: true}.Marshal(list)
	if err != nil {
		return err
	}
	tempFile := d.config.List.File + ".next"
	if err := os.WriteFile(tempFile, text, 0o644); err != nil {
		return fmt.Errorf("writing the host list: %w", err)
	}
	d.eventLog.LogEndpoints(fake.Now(), logged)
	return os.Rename(tempFile, d.config.List.File)
}

// largeDay is a fleet, hosts by forwarders, whose gap is measured each ten seconds only, since that takes long.
const largeFleet = 50000

// run plays the day: traffic, steps and progress.
func (d *scenario) run(ctx context.Context) {
	running, stop := context.WithCancel(ctx)
	defer stop()
	var workers sync.WaitGroup
	for _, proxy := range d.proxies {
		workers.Add(1)
		go func() { defer workers.Done(); proxy.Run(running) }()
	}
	d.startLoadReports(running)
	if identities := d.identities; identities != nil {
		go identities.renewPeriodically(running)
		if err := d.startUnauthorizedClients(running); err != nil {
			d.log.Error().Err(err).Msg("the impostors could not begin")
		}
	}
	for _, step := range d.script.Steps {
		workers.Add(1)
		go func() { defer workers.Done(); d.runStep(running, step) }()
	}
	end := time.After(time.Duration(d.script.LengthS * float64(time.Second)))
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for done := false; !done; {
		select {
		case <-ticker.C:
			d.printProgress()
			d.sampleIngest()
			if elapsedS := time.Since(d.start).Seconds(); len(d.hosts)*len(d.proxies) < largeFleet || int(elapsedS)%10 == 0 {
				d.sampleGap(elapsedS)
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

func (d *scenario) printProgress() {
	elapsedS := time.Since(d.start).Seconds()
	windowIndex := int(elapsedS * 1000 / windowMs)
	level, count := d.serviceLevel.fraction(windowIndex, windowIndex+1)
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.out, "%4.0f s  service %.3f of %4d  %s\n", elapsedS, level, count, d.progressNotes)
	d.progressNotes = ""
}

func (d *scenario) addNote(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.progressNotes != "" {
		d.progressNotes += "; "
	}
	d.progressNotes += fmt.Sprintf(format, args...)
}

func (d *scenario) report(limits rules.Limits) *Result {
	result := &Result{Passed: true, Verdicts: d.eventLog.Check(limits, fake.Now())}
	result.ServiceLevel, _ = d.serviceLevel.fraction(0, 1<<30)
	for _, host := range d.hosts {
		if host.Fallen() {
			result.Verdicts = append(result.Verdicts, rules.Verdict{Rule: "hosts that fell over", Margin: -1, Seen: host.Address})
		}
	}
	d.serviceLevel.print(d.out)
	fmt.Fprintln(d.out)
	d.optimality.print(d.out)
	d.ingest.print(d.out)
	d.printRestarts()
	if identities := d.identities; identities != nil {
		identities.print(d.out)
		if result.Passed = identities.allRejected(); !result.Passed {
			fmt.Fprintln(d.out, "BROKEN  an impostor achieved something")
		}
	}
	for _, verdict := range result.Verdicts {
		word := "kept"
		if !verdict.Kept {
			word, result.Passed = "BROKEN", false
		}
		fmt.Fprintf(d.out, "%-6s  %-28s margin %5.2f  %s\n", word, verdict.Rule, verdict.Margin, verdict.Seen)
	}
	return result
}

func (d *scenario) tearDown() {
	if d.identities != nil {
		defer d.identities.close()
	}
	for _, controller := range d.controllers {
		if controller == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		if err := controller.Stop(ctx); err != nil {
			d.log.Warn().Err(err).Msg("a steward did not end in time")
		}
		cancel()
	}
	for _, host := range d.hosts {
		host.Crash()
	}
	for _, closeRecording := range d.closeRecordings {
		if err := closeRecording(); err != nil {
			d.log.Error().Err(err).Msg("a recording could not be ended")
		}
	}
}
