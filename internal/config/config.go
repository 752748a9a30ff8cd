// Package config reads the controller's configuration file, its endpoint list file and the solver's fleet file, in
// protobuf text format (package configpb). Errors name the file, the line and the field.
package config

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/spiffe/go-spiffe/v2/spiffeid"
	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"

	"barleysail/auth"
	"barleysail/controller"
	"barleysail/guard"
	"barleysail/intake"
	"barleysail/internal/config/configpb"
	"barleysail/internal/runtimeapi"
	"barleysail/routing"
)

const hourMs = 3600e3

const (
	maxZones           = 64
	maxClasses         = 60
	maxSocketPathBytes = 100 // Linux allows 107
)

// Defaults returns the defaults of all fields that may be left out. config.proto documents them.
func Defaults() *configpb.Config {
	f64, i32 := proto.Float64, proto.Int32
	return &configpb.Config{
		Listen: "127.0.0.1:7070",
		Fleet: &configpb.Fleet{Stewards: i32(1), Proxies: i32(8), PeriodMs: f64(1000), Ejects: i32(0), UsualTries: i32(1),
			Admits: proto.Bool(true)},
		Channel: &configpb.Channel{LinesPerS: f64(7000), HeadLines: f64(6), MostWaiting: f64(7000), LateMs: f64(20),
			Price: f64(0.02), MessagesMost: i32(20), MessagesOverMs: f64(10000)},
		Guard: &configpb.Guard{BareMs: f64(5000), GraceMs: f64(3000), ColdFrom: f64(0.15), ColdMs: f64(18000),
			FallMultiple: f64(4)},
		Goal: &configpb.Goal{Whole: f64(0.75), WorstClass: f64(0.1), ProbePrice: f64(0.02)},
		Polls: &configpb.Polls{StepMs: f64(10), WaitMostMs: f64(60000), FirstWaitMs: f64(300), LeaveAfterMs: f64(5000),
			ForgetAfterMs: f64(600000), History: i32(32)},
		TableGuard: &configpb.TableGuard{Over: f64(1), Jump: f64(0.5), ListHoldMs: f64(hourMs)},
		Intake: &configpb.Intake{SourceLinesPerS: f64(5000), LinesPerS: f64(50000), Waiting: i32(50000),
			RoundLines: i32(20000), FreshMs: f64(2000), HalfLifeMs: f64(10000), OldestMs: f64(60000),
			Doubt: proto.Bool(true), SilentMs: f64(5000), UnsureMs: f64(10000), Blind: f64(0.85)},
		Identity: &configpb.Identity{Handshakes: i32(32)},
		Standby:  &configpb.Standby{FreshMs: f64(3000)},
		State:    &configpb.State{EveryMs: f64(1000), MostBytes: i32(64 << 20)},
		Solved:   &configpb.Solved{EveryMs: f64(30000), LeastGain: f64(0.005)},
		List:     &configpb.List{WaitMs: f64(30000)},
		Probes:   &configpb.Probes{On: proto.Bool(true), Path: "/health", TimeoutMs: f64(250), AtOnce: i32(64)},
		Server: &configpb.Server{Connections: i32(20000), BodyBytes: i32(4 << 20), IdleMs: f64(120000),
			HeaderMs: f64(10000), BodyMs: f64(20000), WriteMs: f64(10000)},
	}
}

// Load reads and checks a configuration file. Relative paths of the endpoint list file and of the state folder are
// relative to the configuration file's folder.
func Load(file string) (*configpb.Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	c, err := Parse(file, text)
	if err == nil && c.List.File != "" && !filepath.IsAbs(c.List.File) {
		c.List.File = filepath.Join(filepath.Dir(file), c.List.File)
	}
	if err == nil && c.State.Folder != "" && !filepath.IsAbs(c.State.Folder) {
		c.State.Folder = filepath.Join(filepath.Dir(file), c.State.Folder)
	}
	return c, err
}

// Parse parses a configuration, applies the defaults and checks it. The errors name the given file.
func Parse(file string, text []byte) (*configpb.Config, error) {
	parsed := &configpb.Config{}
	if err := prototext.Unmarshal(text, parsed); err != nil {
		return nil, parseError(file, err)
	}
	c := Defaults()
	proto.Merge(c, parsed)
	v := validator{file: file, lines: fieldLines(text)}
	v.checkConfig(c)
	return c, v.err
}

// parseErrorPattern matches the errors of prototext that name a line and a column.
var parseErrorPattern = regexp.MustCompile(`^proto: (?:syntax error )?\(line (\d+):(\d+)\): (.*)$`)

// parseError returns the error of a text that cannot be parsed, with the file and, if it is known, the line and the
// column.
func parseError(file string, err error) error {
	text := strings.ReplaceAll(err.Error(), "\u00a0", " ") // protobuf randomly uses a space or a no-break space
	if match := parseErrorPattern.FindStringSubmatch(text); match != nil {
		return fmt.Errorf("%s:%s:%s: %s", file, match[1], match[2], match[3])
	}
	return fmt.Errorf("%s: %s", file, text)
}

// validator checks the fields of a file and keeps the first error.
type validator struct {
	file  string
	lines map[string]int // line of each field, by path
	err   error
}

// fail keeps the error of a field, unless there is an earlier one.
func (v *validator) fail(field, format string, args ...any) {
	if v.err == nil {
		v.err = fmt.Errorf("%s:%d: %s: %s", v.file, lineOf(v.lines, field), field, fmt.Sprintf(format, args...))
	}
}

// checkRange checks that a number is finite and from low to high.
func (v *validator) checkRange(field string, value, low, high float64) {
	if !(value >= low && value <= high) || math.IsInf(value, 0) {
		v.fail(field, "%g is not from %g to %g", value, low, high)
	}
}

func (v *validator) checkIntRange(field string, value, low, high int32) {
	v.checkRange(field, float64(value), float64(low), float64(high))
}

// namePattern matches the names of zones, request classes and proxies.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$`)

// checkNames checks that there are 1 to maxCount names, valid and unique.
func (v *validator) checkNames(field string, names []string, maxCount int) {
	if len(names) == 0 || len(names) > maxCount {
		v.fail(field, "got %d entries, want 1 to %d", len(names), maxCount)
	}
	for i, name := range names {
		path := fmt.Sprintf("%s[%d]", field, i)
		if !namePattern.MatchString(name) {
			v.fail(path, "%q is not a valid name", name)
		}
		for _, other := range names[:i] {
			if other == name {
				v.fail(path, "%q is a duplicate", name)
			}
		}
	}
}

// checkConfig checks all fields, and sets the defaults of repeated messages, which Defaults cannot hold.
func (v *validator) checkConfig(c *configpb.Config) {
	v.checkNames("zones", c.Zones, maxZones)
	if len(c.Classes) == 0 || len(c.Classes) > maxClasses {
		v.fail("classes", "got %d entries, want 1 to %d", len(c.Classes), maxClasses)
	}
	for i, class := range c.Classes {
		path := fmt.Sprintf("classes[%d]", i)
		if !namePattern.MatchString(class.Name) {
			v.fail(path+".name", "%q is not a valid name", class.Name)
		}
		for _, other := range c.Classes[:i] {
			if other.Name == class.Name {
				v.fail(path+".name", "%q is a duplicate", class.Name)
			}
		}
		if class.DueMs == nil {
			v.fail(path+".due_ms", "is missing")
		}
		if class.PatienceMs == nil {
			v.fail(path+".patience_ms", "is missing")
		}
		if class.Earnings == nil {
			class.Earnings = proto.Float64(1)
		}
		v.checkRange(path+".due_ms", class.GetDueMs(), 1, hourMs)
		v.checkRange(path+".patience_ms", class.GetPatienceMs(), 1, hourMs)
		v.checkRange(path+".earnings", *class.Earnings, 0, 1e9)
		if class.WorkMs == nil && c.Solved.On {
			v.fail(path+".work_ms", "is missing, but solved.on needs it")
		}
		v.checkRange(path+".work_ms", class.GetWorkMs(), 0, hourMs)
	}
	v.checkIntRange("fleet.stewards", *c.Fleet.Stewards, 1, 10000)
	v.checkIntRange("fleet.proxies", *c.Fleet.Proxies, 1, 1000000)
	v.checkRange("fleet.period_ms", *c.Fleet.PeriodMs, 10, hourMs)
	v.checkIntRange("fleet.ejects", *c.Fleet.Ejects, 0, 1000)
	v.checkIntRange("fleet.usual_tries", *c.Fleet.UsualTries, 0, 3)
	v.checkRange("channel.lines_per_s", *c.Channel.LinesPerS, 1, 1e9)
	v.checkRange("channel.head_lines", *c.Channel.HeadLines, 0, 1e6)
	v.checkRange("channel.most_waiting", *c.Channel.MostWaiting, 1, 1e9)
	v.checkRange("channel.late_ms", *c.Channel.LateMs, 0, hourMs)
	v.checkRange("channel.price", *c.Channel.Price, 0, 1)
	v.checkIntRange("channel.messages_most", *c.Channel.MessagesMost, 0, 1e6)
	v.checkRange("channel.messages_over_ms", *c.Channel.MessagesOverMs, 1, hourMs)
	v.checkRange("guard.bare_ms", *c.Guard.BareMs, 1, hourMs)
	v.checkRange("guard.grace_ms", *c.Guard.GraceMs, 1, hourMs)
	v.checkRange("guard.cold_from", *c.Guard.ColdFrom, 0.001, 1)
	v.checkRange("guard.cold_ms", *c.Guard.ColdMs, 0, hourMs)
	v.checkRange("guard.fall_multiple", *c.Guard.FallMultiple, 0.1, 1000)
	v.checkRange("goal.whole", *c.Goal.Whole, 0, 1)
	v.checkRange("goal.worst_class", *c.Goal.WorstClass, 0, 1)
	v.checkRange("goal.probe_price", *c.Goal.ProbePrice, 0, 1)
	v.checkRange("polls.step_ms", *c.Polls.StepMs, 1, 1000)
	v.checkRange("polls.wait_most_ms", *c.Polls.WaitMostMs, 1, hourMs)
	v.checkRange("polls.first_wait_ms", *c.Polls.FirstWaitMs, 0, hourMs)
	v.checkRange("polls.leave_after_ms", *c.Polls.LeaveAfterMs, 1, hourMs)
	v.checkRange("polls.forget_after_ms", *c.Polls.ForgetAfterMs, 1, 1000*hourMs)
	v.checkIntRange("polls.history", *c.Polls.History, 1, 1000)
	if (c.List.File == "") == (c.List.Url == "") {
		v.fail("list", "a file or a url is needed, but not both")
	}
	for i, socket := range c.Runtime {
		path := fmt.Sprintf("runtime[%d]", i)
		if socket.Level == "" {
			socket.Level = "operator"
		}
		if _, ok := runtimeapi.ParseLevel(socket.Level); !ok {
			v.fail(path+".level", "%q is not a level: user, operator or admin", socket.Level)
		}
		v.checkAddress(path+".address", socket.Address)
		host, _, err := net.SplitHostPort(socket.Address)
		if err == nil && !strings.HasPrefix(socket.Address, "unix:") && !isLoopback(host) {
			v.fail(path+".address", "%q is not a loopback address, and the socket does not authenticate its clients",
				socket.Address)
		}
	}
	for i, proxy := range c.Sockets {
		path := fmt.Sprintf("sockets[%d]", i)
		if !namePattern.MatchString(proxy.Proxy) {
			v.fail(path+".proxy", "%q is not a valid name", proxy.Proxy)
		}
		if !slices.Contains(c.Zones, proxy.Zone) {
			v.fail(path+".zone", "%q is not among the zones", proxy.Zone)
		}
		v.checkAddress(path+".address", proxy.Address)
		v.checkRange(path+".rate", proxy.GetRate(), 0, 1e9)
	}
	v.checkRange("table_guard.over", *c.TableGuard.Over, 0, 1000)
	v.checkRange("table_guard.jump", *c.TableGuard.Jump, 0, 1)
	v.checkRange("table_guard.list_lose", c.TableGuard.ListLose, 0, 1)
	v.checkRange("table_guard.list_hold_ms", *c.TableGuard.ListHoldMs, 0, hourMs)
	if c.Standby.Of != "" && len(c.Sockets) > 0 {
		v.fail("sockets", "a standby cannot control sockets, since its leader controls them")
	}
	v.checkIdentity(c)
	v.checkRange("standby.fresh_ms", *c.Standby.FreshMs, 1500, hourMs)
	v.checkRange("state.every_ms", *c.State.EveryMs, 10, hourMs)
	v.checkIntRange("state.most_bytes", *c.State.MostBytes, 4096, 1<<30)
	ingest := c.Intake
	v.checkRange("intake.source_lines_per_s", *ingest.SourceLinesPerS, 1, 1e9)
	v.checkRange("intake.lines_per_s", *ingest.LinesPerS, 1, 1e9)
	v.checkIntRange("intake.waiting", *ingest.Waiting, 1, 10000000)
	v.checkIntRange("intake.round_lines", *ingest.RoundLines, 1, 10000000)
	v.checkRange("intake.fresh_ms", *ingest.FreshMs, 0, hourMs)
	v.checkRange("intake.half_life_ms", *ingest.HalfLifeMs, 1, hourMs)
	v.checkRange("intake.oldest_ms", *ingest.OldestMs, 1, hourMs)
	v.checkRange("intake.silent_ms", *ingest.SilentMs, 1, hourMs)
	v.checkRange("intake.unsure_ms", *ingest.UnsureMs, 1, hourMs)
	v.checkRange("intake.blind", *ingest.Blind, 0, 1)
	v.checkRange("solved.every_ms", *c.Solved.EveryMs, 100, 1000*hourMs)
	v.checkRange("solved.least_gain", *c.Solved.LeastGain, 0, 1)
	v.checkRange("list.wait_ms", *c.List.WaitMs, 100, hourMs)
	if c.Probes.Path[0] != '/' {
		v.fail("probes.path", "%q does not begin with /", c.Probes.Path)
	}
	v.checkRange("probes.timeout_ms", *c.Probes.TimeoutMs, 1, 60000)
	v.checkIntRange("probes.at_once", *c.Probes.AtOnce, 1, 10000)
	v.checkIntRange("server.connections", *c.Server.Connections, 1, 1000000)
	v.checkIntRange("server.body_bytes", *c.Server.BodyBytes, 1024, 1<<30)
	for name, timeoutMs := range map[string]*float64{"idle_ms": c.Server.IdleMs, "header_ms": c.Server.HeaderMs,
		"body_ms": c.Server.BodyMs, "write_ms": c.Server.WriteMs} {
		v.checkRange("server."+name, *timeoutMs, 1, hourMs)
	}
}

// checkIdentity checks the settings of authentication and authorization.
func (v *validator) checkIdentity(c *configpb.Config) {
	identity := c.Identity
	v.checkIntRange("identity.handshakes", *identity.Handshakes, 1, 10000)
	if _, err := Policy(c); err != nil {
		v.fail("identity.allow", "%v", err)
	}
	if identity.WorkloadApi == "" {
		if len(identity.Allow) > 0 {
			v.fail("identity.workload_api", "is missing, but identity.allow has rules")
		}
		return
	}
	if !strings.HasPrefix(identity.WorkloadApi, "unix:///") {
		v.fail("identity.workload_api", "%q does not begin with unix:///", identity.WorkloadApi)
	}
	if identity.PlainLoopback {
		v.fail("identity.plain_loopback", "cannot be set together with identity.workload_api")
	}
	for field, server := range map[string]struct{ url, id string }{
		"standby.id": {c.Standby.Of, c.Standby.Id}, "list.id": {c.List.Url, c.List.Id},
	} {
		if server.url == "" {
			continue
		}
		if _, err := spiffeid.FromString(server.id); err != nil {
			v.fail(field, "%q: %v", server.id, err)
		}
	}
}

// Policy returns the authorization policy of a configuration, nil if it has no identities.
func Policy(c *configpb.Config) (*auth.Policy, error) {
	if c.Identity.WorkloadApi == "" && len(c.Identity.Allow) == 0 {
		return nil, nil
	}
	var rules []auth.Rule
	for i, allow := range c.Identity.Allow {
		var actions []auth.Action
		for _, name := range allow.Actions {
			action, err := auth.ParseAction(name)
			if err != nil {
				return nil, fmt.Errorf("rule %d: %w", i, err)
			}
			actions = append(actions, action)
		}
		rule, err := auth.NewRule(allow.Id, actions)
		if err != nil {
			return nil, fmt.Errorf("rule %d: %w", i, err)
		}
		rules = append(rules, rule)
	}
	return auth.NewPolicy(rules...), nil
}

// CheckPlaintext returns an error for a configuration without identities, unless it says identity.plain_loopback and
// listens on a loopback address: without identities any client may do everything.
func CheckPlaintext(c *configpb.Config) error {
	if c.Identity.WorkloadApi != "" {
		return nil
	}
	if !c.Identity.PlainLoopback {
		return errors.New("identity.workload_api is missing: " +
			"set identity { plain_loopback: true } to serve plain HTTP on a loopback address")
	}
	host, _, err := net.SplitHostPort(c.Listen)
	if err != nil || !isLoopback(host) {
		return fmt.Errorf("listen: %q is not a loopback address, which is needed without identity.workload_api", c.Listen)
	}
	return nil
}

// checkAddress checks the address of a socket: unix:PATH or address:port.
func (v *validator) checkAddress(field, address string) {
	if path, ok := strings.CutPrefix(address, "unix:"); ok {
		if path == "" || len(path) > maxSocketPathBytes {
			v.fail(field, "a path of 1 to %d bytes is needed", maxSocketPathBytes)
		}
		return
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		v.fail(field, "%q is neither unix:PATH nor address:port", address)
	}
}

// isLoopback reports whether a host is localhost or a loopback IP address.
func isLoopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// ParseHosts parses and checks an endpoint list file. It doesn't check the zones: the controller does.
func ParseHosts(file string, text []byte) ([]controller.Endpoint, error) {
	list := &configpb.HostList{}
	if err := prototext.Unmarshal(text, list); err != nil {
		return nil, parseError(file, err)
	}
	v := validator{file: file, lines: fieldLines(text)}
	endpoints := make([]controller.Endpoint, 0, len(list.Hosts))
	for i, host := range list.Hosts {
		path := "hosts[" + strconv.Itoa(i) + "]"
		if host.Address == "" {
			v.fail(path+".address", "is missing")
		} else if err := controller.CheckAddress(host.Address); err != nil {
			v.fail(path+".address", "%v", err)
		}
		if host.Zone == "" {
			v.fail(path+".zone", "is missing")
		}
		weight := 1.0
		if host.Weight != nil {
			weight = *host.Weight
		}
		v.checkRange(path+".weight", weight, 0, 1e6)
		v.checkRange(path+".cores", host.Cores, 0, 1e9)
		v.checkRange(path+".speed", valueOr(host.Speed, 1), 0, 1e9)
		v.checkRange(path+".started_unix_ms", host.StartedUnixMs, 0, 1e15)
		state := routing.Ready
		if host.Phase == configpb.Phase_DRAINING {
			state = routing.Draining
		}
		endpoints = append(endpoints, controller.Endpoint{
			Host: host.Address, Zone: host.Zone, State: state, Weight: weight,
			StartedMs: host.StartedUnixMs, Cores: host.Cores, Speed: valueOr(host.Speed, 1),
		})
	}
	return endpoints, v.err
}

// IngestLimits returns the limits of request stats and load reports.
func IngestLimits(c *configpb.Config) intake.Limits {
	limits, settings := intake.DefaultLimits(), c.Intake
	limits.MaxQueued, limits.MaxPerRound = int(*settings.Waiting), int(*settings.RoundLines)
	limits.TrustAll = !*settings.Doubt
	limits.FullWeightMs, limits.HalfLifeMs, limits.MaxAgeMs = *settings.FreshMs, *settings.HalfLifeMs, *settings.OldestMs
	limits.SilentAfterMs, limits.UncertainAfterMs = *settings.SilentMs, *settings.UnsureMs
	limits.UnknownUtilization = *settings.Blind
	return limits
}

// firstFormatWithDoubt is the first recording format whose controllers compared load reports with request stats.
const firstFormatWithDoubt = 4

// ForRecordingFormat changes a configuration so that a replay decides as the controller did that made a recording of
// the given format, and returns it: before format 4 controllers trusted all load reports.
func ForRecordingFormat(c *configpb.Config, format int32) *configpb.Config {
	if format < firstFormatWithDoubt {
		c.Intake.Doubt = proto.Bool(false)
	}
	return c
}

// NewController returns a controller with the settings of a checked configuration.
func NewController(c *configpb.Config, incarnation string, seed uint64) *controller.Controller {
	var classes []controller.RequestClass
	for _, class := range c.Classes {
		classes = append(classes, controller.RequestClass{
			Name: class.Name,
			RequestClass: routing.RequestClass{
				LatencyObjectiveMs: *class.DueMs,
				DeadlineMs:         *class.PatienceMs,
				PriorityWeight:     *class.Earnings,
				ZoneLocal:          class.Local,
			},
			MeanWorkMs: class.GetWorkMs(),
		})
	}
	created := controller.New(
		controller.Deployment{
			Incarnation:        incarnation,
			Seed:               seed,
			Zones:              c.Zones,
			Controllers:        int(*c.Fleet.Stewards),
			Proxies:            int(*c.Fleet.Proxies),
			ReportIntervalMs:   *c.Fleet.PeriodMs,
			ProxyEjectAfter:    int(*c.Fleet.Ejects),
			DefaultRetryPolicy: int(*c.Fleet.UsualTries),
			AdmissionControl:   *c.Fleet.Admits,
			HealthChecks:       *c.Probes.On,
			WatchesEndpoints:   c.List.Url != "",
		},
		classes,
		routing.ControlChannel{
			EntriesPerSecond:   *c.Channel.LinesPerS,
			MessageOverhead:    *c.Channel.HeadLines,
			MaxBacklog:         *c.Channel.MostWaiting,
			PropagationDelayMs: *c.Channel.LateMs,
			Cost:               *c.Channel.Price,
			MaxMessages:        int(*c.Channel.MessagesMost),
			MessageWindowMs:    *c.Channel.MessagesOverMs,
		},
		routing.SafetyLimits{
			EmptyTableMs:           *c.Guard.BareMs,
			DrainGraceMs:           *c.Guard.GraceMs,
			SlowStartInitialFactor: *c.Guard.ColdFrom,
			SlowStartMs:            *c.Guard.ColdMs,
			CollapseMultiple:       *c.Guard.FallMultiple,
		},
		routing.Objective{
			TotalWeight:      *c.Goal.Whole,
			WorstClassWeight: *c.Goal.WorstClass,
			HealthCheckCost:  *c.Goal.ProbePrice,
		},
		controller.Settings{
			MinRoundIntervalMs:     *c.Polls.StepMs,
			MaxPollWaitMs:          *c.Polls.WaitMostMs,
			MinFirstPollWaitMs:     *c.Polls.FirstWaitMs,
			SessionTimeoutMs:       *c.Polls.LeaveAfterMs,
			RemovedHostRetentionMs: *c.Polls.ForgetAfterMs,
			VersionHistory:         int(*c.Polls.History),
		})
	created.SetIngestLimits(IngestLimits(c))
	if c.Solved.On {
		created.EnableSolver(*c.Solved.EveryMs, *c.Solved.LeastGain)
	}
	if settings := c.TableGuard; settings.GetOn() {
		created.EnableValidation(
			guard.Limits{
				CapacityMultiple: *settings.Over,
				MaxTrafficShift:  *settings.Jump,
				SurviveZoneLoss:  settings.Spare,
			},
			controller.RepairSettings{Enabled: settings.Refuse, SurviveZoneLoss: settings.RefuseSpare},
			guard.EndpointLossLimits{MaxLossRatio: settings.ListLose, HoldMs: *settings.ListHoldMs})
	}
	return created
}
