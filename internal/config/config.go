// Package config reads a steward's configuration and host list, protobuf text format by configpb, and says of
// each fault the file, the line and the field.
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

// Defaults are the figures of all fields that may be left out; config.proto states them.
func Defaults() *configpb.Config {
	p, i := proto.Float64, proto.Int32
	return &configpb.Config{Listen: "127.0.0.1:7070",
		Fleet: &configpb.Fleet{Stewards: i(1), Proxies: i(8), PeriodMs: p(1000), Ejects: i(0), UsualTries: i(1),
			Admits: proto.Bool(true)},
		Channel: &configpb.Channel{LinesPerS: p(7000), HeadLines: p(6), MostWaiting: p(7000), LateMs: p(20),
			Price: p(0.02), MessagesMost: i(20), MessagesOverMs: p(10000)},
		Guard: &configpb.Guard{BareMs: p(5000), GraceMs: p(3000), ColdFrom: p(0.15), ColdMs: p(18000), FallMultiple: p(4)},
		Goal:  &configpb.Goal{Whole: p(0.75), WorstClass: p(0.1), ProbePrice: p(0.02)},
		Polls: &configpb.Polls{StepMs: p(10), WaitMostMs: p(60000), FirstWaitMs: p(300), LeaveAfterMs: p(5000),
			ForgetAfterMs: p(600000), History: i(32)},
		TableGuard: &configpb.TableGuard{Over: p(1), Jump: p(0.5), ListHoldMs: p(hour)},
		Intake: &configpb.Intake{SourceLinesPerS: p(5000), LinesPerS: p(50000), Waiting: i(50000), RoundLines: i(20000), FreshMs: p(2000),
			HalfLifeMs: p(10000), OldestMs: p(60000), Doubt: proto.Bool(true), SilentMs: p(5000), UnsureMs: p(10000), Blind: p(0.85)},
		Identity: &configpb.Identity{Handshakes: i(32)},
		Standby:  &configpb.Standby{FreshMs: p(3000)},
		State:    &configpb.State{EveryMs: p(1000), MostBytes: i(64 << 20)},
		Solved:   &configpb.Solved{EveryMs: p(30000), LeastGain: p(0.005)},
		List:     &configpb.List{WaitMs: p(30000)},
		Probes:   &configpb.Probes{On: proto.Bool(true), Path: "/health", TimeoutMs: p(250), AtOnce: i(64)},
		Server: &configpb.Server{Connections: i(20000), BodyBytes: i(4 << 20), IdleMs: p(120000), HeaderMs: p(10000),
			BodyMs: p(20000), WriteMs: p(10000)},
	}
}

// Load reads a configuration; a list file is named beside it.
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

// Parse reads a configuration, fills in the defaults and checks it.
func Parse(file string, text []byte) (*configpb.Config, error) {
	set := &configpb.Config{}
	if err := prototext.Unmarshal(text, set); err != nil {
		return nil, wrong(file, err)
	}
	c := Defaults()
	proto.Merge(c, set)
	f := fields{file: file, at: locate(text)}
	f.check(c)
	return c, f.err
}

var place = regexp.MustCompile(`^proto: (?:syntax error )?\(line (\d+):(\d+)\): (.*)$`)

// wrong words a fault of the text format with file and line.
func wrong(file string, err error) error {
	text := strings.ReplaceAll(err.Error(), "\u00a0", " ") // the library puts either space, by chance
	if m := place.FindStringSubmatch(text); m != nil {
		return fmt.Errorf("%s:%s:%s: %s", file, m[1], m[2], m[3])
	}
	return fmt.Errorf("%s: %s", file, text)
}

// fields notes the first fault.
type fields struct {
	file string
	at   map[string]int
	err  error
}

func (f *fields) fail(field, format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf("%s:%d: %s: %s", f.file, lineOf(f.at, field), field, fmt.Sprintf(format, args...))
	}
}

func (f *fields) within(field string, x, least, most float64) {
	if !(x >= least && x <= most) || math.IsInf(x, 0) {
		f.fail(field, "%g is not from %g to %g", x, least, most)
	}
}

func (f *fields) whole(field string, x int32, least, most int32) {
	f.within(field, float64(x), float64(least), float64(most))
}

var word = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$`)

func (f *fields) names(field string, names []string, most int) {
	if len(names) == 0 || len(names) > most {
		f.fail(field, "%d are given, 1 to %d are needed", len(names), most)
	}
	for i, n := range names {
		at := fmt.Sprintf("%s[%d]", field, i)
		if !word.MatchString(n) {
			f.fail(at, "%q is no name", n)
		}
		for _, other := range names[:i] {
			if other == n {
				f.fail(at, "%q stands there twice", n)
			}
		}
	}
}

const hour = 3600e3

func (f *fields) check(c *configpb.Config) {
	f.names("zones", c.Zones, 64)
	if len(c.Classes) == 0 || len(c.Classes) > 60 {
		f.fail("classes", "%d are given, 1 to 60 are needed", len(c.Classes))
	}
	for i, k := range c.Classes {
		at := fmt.Sprintf("classes[%d]", i)
		if !word.MatchString(k.Name) {
			f.fail(at+".name", "%q is no name", k.Name)
		}
		for _, other := range c.Classes[:i] {
			if other.Name == k.Name {
				f.fail(at+".name", "%q stands there twice", k.Name)
			}
		}
		if k.DueMs == nil {
			f.fail(at+".due_ms", "is missing")
		}
		if k.PatienceMs == nil {
			f.fail(at+".patience_ms", "is missing")
		}
		if k.Earnings == nil {
			k.Earnings = proto.Float64(1)
		}
		f.within(at+".due_ms", k.GetDueMs(), 1, hour)
		f.within(at+".patience_ms", k.GetPatienceMs(), 1, hour)
		f.within(at+".earnings", *k.Earnings, 0, 1e9)
		if k.WorkMs == nil && c.Solved.On {
			f.fail(at+".work_ms", "is missing, and solved weights need it")
		}
		f.within(at+".work_ms", k.GetWorkMs(), 0, hour)
	}
	f.whole("fleet.stewards", *c.Fleet.Stewards, 1, 10000)
	f.whole("fleet.proxies", *c.Fleet.Proxies, 1, 1000000)
	f.within("fleet.period_ms", *c.Fleet.PeriodMs, 10, hour)
	f.whole("fleet.ejects", *c.Fleet.Ejects, 0, 1000)
	f.whole("fleet.usual_tries", *c.Fleet.UsualTries, 0, 3)
	f.within("channel.lines_per_s", *c.Channel.LinesPerS, 1, 1e9)
	f.within("channel.head_lines", *c.Channel.HeadLines, 0, 1e6)
	f.within("channel.most_waiting", *c.Channel.MostWaiting, 1, 1e9)
	f.within("channel.late_ms", *c.Channel.LateMs, 0, hour)
	f.within("channel.price", *c.Channel.Price, 0, 1)
	f.whole("channel.messages_most", *c.Channel.MessagesMost, 0, 1e6)
	f.within("channel.messages_over_ms", *c.Channel.MessagesOverMs, 1, hour)
	f.within("guard.bare_ms", *c.Guard.BareMs, 1, hour)
	f.within("guard.grace_ms", *c.Guard.GraceMs, 1, hour)
	f.within("guard.cold_from", *c.Guard.ColdFrom, 0.001, 1)
	f.within("guard.cold_ms", *c.Guard.ColdMs, 0, hour)
	f.within("guard.fall_multiple", *c.Guard.FallMultiple, 0.1, 1000)
	f.within("goal.whole", *c.Goal.Whole, 0, 1)
	f.within("goal.worst_class", *c.Goal.WorstClass, 0, 1)
	f.within("goal.probe_price", *c.Goal.ProbePrice, 0, 1)
	f.within("polls.step_ms", *c.Polls.StepMs, 1, 1000)
	f.within("polls.wait_most_ms", *c.Polls.WaitMostMs, 1, hour)
	f.within("polls.first_wait_ms", *c.Polls.FirstWaitMs, 0, hour)
	f.within("polls.leave_after_ms", *c.Polls.LeaveAfterMs, 1, hour)
	f.within("polls.forget_after_ms", *c.Polls.ForgetAfterMs, 1, 1000*hour)
	f.whole("polls.history", *c.Polls.History, 1, 1000)
	if (c.List.File == "") == (c.List.Url == "") {
		f.fail("list", "a file or a url is needed, not both")
	}
	for i, r := range c.Runtime {
		at := fmt.Sprintf("runtime[%d]", i)
		if r.Level == "" {
			r.Level = "operator"
		}
		if _, ok := runtimeapi.ParseLevel(r.Level); !ok {
			f.fail(at+".level", "%q: user, operator and admin are known", r.Level)
		}
		f.socket(at+".address", r.Address)
		if host, _, err := net.SplitHostPort(r.Address); err == nil && !strings.HasPrefix(r.Address, "unix:") && !loopback(host) {
			f.fail(at+".address", "%q is not on loopback, and the socket asks nobody who he is", r.Address)
		}
	}
	for i, p := range c.Sockets {
		at := fmt.Sprintf("sockets[%d]", i)
		if !word.MatchString(p.Proxy) {
			f.fail(at+".proxy", "%q is no name", p.Proxy)
		}
		if !slices.Contains(c.Zones, p.Zone) {
			f.fail(at+".zone", "%q is not among the zones", p.Zone)
		}
		f.socket(at+".address", p.Address)
		f.within(at+".rate", p.GetRate(), 0, 1e9)
	}
	f.within("table_guard.over", *c.TableGuard.Over, 0, 1000)
	f.within("table_guard.jump", *c.TableGuard.Jump, 0, 1)
	f.within("table_guard.list_lose", c.TableGuard.ListLose, 0, 1)
	f.within("table_guard.list_hold_ms", *c.TableGuard.ListHoldMs, 0, hour)
	if c.Standby.Of != "" && len(c.Sockets) > 0 {
		f.fail("sockets", "a standby drives no sockets: it would take them from the steward that it stands by")
	}
	f.identity(c)
	f.within("standby.fresh_ms", *c.Standby.FreshMs, 1500, hour)
	f.within("state.every_ms", *c.State.EveryMs, 10, hour)
	f.whole("state.most_bytes", *c.State.MostBytes, 4096, 1<<30)
	n := c.Intake
	f.within("intake.source_lines_per_s", *n.SourceLinesPerS, 1, 1e9)
	f.within("intake.lines_per_s", *n.LinesPerS, 1, 1e9)
	f.whole("intake.waiting", *n.Waiting, 1, 10000000)
	f.whole("intake.round_lines", *n.RoundLines, 1, 10000000)
	f.within("intake.fresh_ms", *n.FreshMs, 0, hour)
	f.within("intake.half_life_ms", *n.HalfLifeMs, 1, hour)
	f.within("intake.oldest_ms", *n.OldestMs, 1, hour)
	f.within("intake.silent_ms", *n.SilentMs, 1, hour)
	f.within("intake.unsure_ms", *n.UnsureMs, 1, hour)
	f.within("intake.blind", *n.Blind, 0, 1)
	f.within("solved.every_ms", *c.Solved.EveryMs, 100, 1000*hour)
	f.within("solved.least_gain", *c.Solved.LeastGain, 0, 1)
	f.within("list.wait_ms", *c.List.WaitMs, 100, hour)
	if c.Probes.Path[0] != '/' {
		f.fail("probes.path", "%q does not begin with /", c.Probes.Path)
	}
	f.within("probes.timeout_ms", *c.Probes.TimeoutMs, 1, 60000)
	f.whole("probes.at_once", *c.Probes.AtOnce, 1, 10000)
	f.whole("server.connections", *c.Server.Connections, 1, 1000000)
	f.whole("server.body_bytes", *c.Server.BodyBytes, 1024, 1<<30)
	for name, x := range map[string]*float64{"idle_ms": c.Server.IdleMs, "header_ms": c.Server.HeaderMs,
		"body_ms": c.Server.BodyMs, "write_ms": c.Server.WriteMs} {
		f.within("server."+name, *x, 1, hour)
	}
}

// identity checks who may do what.
func (f *fields) identity(c *configpb.Config) {
	n := c.Identity
	f.whole("identity.handshakes", *n.Handshakes, 1, 10000)
	if _, err := Policy(c); err != nil {
		f.fail("identity.allow", "%v", err)
	}
	if n.WorkloadApi == "" {
		if len(n.Allow) > 0 {
			f.fail("identity.workload_api", "is missing, and rules are given")
		}
		return
	}
	if !strings.HasPrefix(n.WorkloadApi, "unix:///") {
		f.fail("identity.workload_api", "%q does not begin with unix:///", n.WorkloadApi)
	}
	if n.PlainLoopback {
		f.fail("identity.plain_loopback", "and a workload_api are given")
	}
	for field, x := range map[string][2]string{"standby.id": {c.Standby.Of, c.Standby.Id}, "list.id": {c.List.Url, c.List.Id}} {
		if x[0] == "" {
			continue
		}
		if _, err := spiffeid.FromString(x[1]); err != nil {
			f.fail(field, "%q: %v", x[1], err)
		}
	}
}

// Policy reads who may do what; nil where identities are not used.
func Policy(c *configpb.Config) (*auth.Policy, error) {
	if c.Identity.WorkloadApi == "" && len(c.Identity.Allow) == 0 {
		return nil, nil
	}
	var rules []auth.Rule
	for i, a := range c.Identity.Allow {
		var allowed []auth.Action
		for _, name := range a.Actions {
			x, err := auth.ParseAction(name)
			if err != nil {
				return nil, fmt.Errorf("rule %d: %w", i, err)
			}
			allowed = append(allowed, x)
		}
		r, err := auth.NewRule(a.Id, allowed)
		if err != nil {
			return nil, fmt.Errorf("rule %d: %w", i, err)
		}
		rules = append(rules, r)
	}
	return auth.NewPolicy(rules...), nil
}

// CheckPlaintext refuses a steward that would speak plain without its configuration saying so, or beyond loopback.
func CheckPlaintext(c *configpb.Config) error {
	if c.Identity.WorkloadApi != "" {
		return nil
	}
	if !c.Identity.PlainLoopback {
		return errors.New("no identity.workload_api is given: say identity { plain_loopback: true } to speak plain HTTP on loopback")
	}
	host, _, err := net.SplitHostPort(c.Listen)
	if err != nil || !loopback(host) {
		return fmt.Errorf("listen: %q is not on loopback, and without identities anybody might do everything", c.Listen)
	}
	return nil
}

// socket checks unix:PATH or address:port.
func (f *fields) socket(field, address string) {
	if path, ok := strings.CutPrefix(address, "unix:"); ok {
		if path == "" || len(path) > 100 {
			f.fail(field, "a path of 1 to 100 bytes is needed")
		}
		return
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		f.fail(field, "%q is neither unix:PATH nor address:port", address)
	}
}

func loopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// ParseHosts reads a list file's text. Zones are checked by the steward, which names the entry.
func ParseHosts(file string, text []byte) ([]controller.Endpoint, error) {
	l := &configpb.HostList{}
	if err := prototext.Unmarshal(text, l); err != nil {
		return nil, wrong(file, err)
	}
	f := fields{file: file, at: locate(text)}
	entries := make([]controller.Endpoint, 0, len(l.Hosts))
	for i, h := range l.Hosts {
		at := "hosts[" + strconv.Itoa(i) + "]"
		if h.Address == "" {
			f.fail(at+".address", "is missing")
		} else if err := controller.CheckAddress(h.Address); err != nil {
			f.fail(at+".address", "%v", err)
		}
		if h.Zone == "" {
			f.fail(at+".zone", "is missing")
		}
		weight := 1.0
		if h.Weight != nil {
			weight = *h.Weight
		}
		f.within(at+".weight", weight, 0, 1e6)
		f.within(at+".cores", h.Cores, 0, 1e9)
		f.within(at+".speed", or(h.Speed, 1), 0, 1e9)
		f.within(at+".started_unix_ms", h.StartedUnixMs, 0, 1e15)
		phase := routing.Ready
		if h.Phase == configpb.Phase_DRAINING {
			phase = routing.Draining
		}
		entries = append(entries, controller.Endpoint{Host: h.Address, Zone: h.Zone, State: phase, Weight: weight,
			StartedMs: h.StartedUnixMs, Cores: h.Cores, Speed: or(h.Speed, 1)})
	}
	return entries, f.err
}

// IngestLimits gives the limits of what comes in.
func IngestLimits(c *configpb.Config) intake.Limits {
	l, n := intake.DefaultLimits(), c.Intake
	l.MaxQueued, l.MaxPerRound, l.TrustAll = int(*n.Waiting), int(*n.RoundLines), !*n.Doubt
	l.FullWeightMs, l.HalfLifeMs, l.MaxAgeMs = *n.FreshMs, *n.HalfLifeMs, *n.OldestMs
	l.SilentAfterMs, l.UncertainAfterMs, l.UnknownUtilization = *n.SilentMs, *n.UnsureMs, *n.Blind
	return l
}

// ForRecordingFormat gives a configuration as stewards of a recording's format went by it: before format 4 they believed load reports.
func ForRecordingFormat(c *configpb.Config, format int32) *configpb.Config {
	if format < 4 {
		c.Intake.Doubt = proto.Bool(false)
	}
	return c
}

// NewController makes the controller that a checked configuration describes.
func NewController(c *configpb.Config, life string, seed uint64) *controller.Controller {
	var classes []controller.RequestClass
	for _, k := range c.Classes {
		classes = append(classes, controller.RequestClass{Name: k.Name, RequestClass: routing.RequestClass{LatencyObjectiveMs: *k.DueMs, DeadlineMs: *k.PatienceMs,
			PriorityWeight: *k.Earnings, ZoneLocal: k.Local}, MeanWorkMs: k.GetWorkMs()})
	}
	s := controller.New(
		controller.Deployment{Incarnation: life, Seed: seed, Zones: c.Zones, Controllers: int(*c.Fleet.Stewards),
			Proxies: int(*c.Fleet.Proxies), ReportIntervalMs: *c.Fleet.PeriodMs, ProxyEjectAfter: int(*c.Fleet.Ejects),
			DefaultRetryPolicy: int(*c.Fleet.UsualTries), AdmissionControl: *c.Fleet.Admits, HealthChecks: *c.Probes.On, WatchesEndpoints: c.List.Url != ""},
		classes,
		routing.ControlChannel{EntriesPerSecond: *c.Channel.LinesPerS, MessageOverhead: *c.Channel.HeadLines, MaxBacklog: *c.Channel.MostWaiting,
			PropagationDelayMs: *c.Channel.LateMs, Cost: *c.Channel.Price, MaxMessages: int(*c.Channel.MessagesMost),
			MessageWindowMs: *c.Channel.MessagesOverMs},
		routing.SafetyLimits{EmptyTableMs: *c.Guard.BareMs, DrainGraceMs: *c.Guard.GraceMs, SlowStartInitialFactor: *c.Guard.ColdFrom, SlowStartMs: *c.Guard.ColdMs,
			CollapseMultiple: *c.Guard.FallMultiple},
		routing.Objective{TotalWeight: *c.Goal.Whole, WorstClassWeight: *c.Goal.WorstClass, HealthCheckCost: *c.Goal.ProbePrice},
		controller.Settings{MinRoundIntervalMs: *c.Polls.StepMs, MaxPollWaitMs: *c.Polls.WaitMostMs, MinFirstPollWaitMs: *c.Polls.FirstWaitMs,
			SessionTimeoutMs: *c.Polls.LeaveAfterMs, RemovedHostRetentionMs: *c.Polls.ForgetAfterMs, VersionHistory: int(*c.Polls.History)})
	s.SetIngestLimits(IngestLimits(c))
	if c.Solved.On {
		s.EnableSolver(*c.Solved.EveryMs, *c.Solved.LeastGain)
	}
	if g := c.TableGuard; g.GetOn() {
		s.EnableValidation(guard.Limits{CapacityMultiple: *g.Over, MaxTrafficShift: *g.Jump, SurviveZoneLoss: g.Spare},
			controller.RepairSettings{Enabled: g.Refuse, SurviveZoneLoss: g.RefuseSpare}, guard.EndpointLossLimits{MaxLossRatio: g.ListLose, HoldMs: *g.ListHoldMs})
	}
	return s
}
