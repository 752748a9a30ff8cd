package platform

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"barleysail/internal/instance"
	"barleysail/internal/simwire"
	"barleysail/routing"
)

// fields of a message, by name.
type fields map[string]string

// parseFields takes the names and values that follow a message's kind; each name stands once.
func parseFields(words []string) (fields, error) {
	if len(words)%2 != 1 {
		return nil, fmt.Errorf("%d words", len(words))
	}
	f := make(fields, len(words)/2)
	for i := 1; i < len(words); i += 2 {
		if _, twice := f[words[i]]; twice {
			return nil, fmt.Errorf("%.20q stands twice", words[i])
		}
		f[words[i]] = words[i+1]
	}
	return f, nil
}

func (f fields) integer(name string, most int) (int, error) {
	v, err := strconv.ParseUint(f[name], 10, 63)
	if err != nil || v > uint64(most) {
		return 0, fmt.Errorf("%s is %.20q", name, f[name])
	}
	return int(v), nil
}

func (f fields) number(name string, most float64) (float64, error) {
	v, err := strconv.ParseFloat(f[name], 64)
	if err != nil || !(v >= 0 && v <= most) {
		return 0, fmt.Errorf("%s is %.20q", name, f[name])
	}
	return v, nil
}

// messageBounds are what a good report stays within. One that does not is malformed: it would put a host's figures off for long.
type messageBounds struct {
	maxMeanMs float64
	maxProxy  int
}

const (
	maxAttemptsPerMs = 1000.0 // tries by all proxies of a zone at a host, or transactions that come to a proxy
	maxIntervalMs    = 600e3
	maxUtilization   = 4.0 // reports are noisy
	maxStamp         = 65535
	maxWeight        = 1e6
)

func newMessageBounds(s *simwire.Settings) messageBounds {
	b := messageBounds{maxProxy: *s.FamilyInfo.DataPlaneSize - 1}
	for _, c := range s.Services { // what was fulfilled took no longer than patience, give or take noise
		b.maxMeanMs = math.Max(b.maxMeanMs, 2**c.HardLimitUs/1000)
	}
	return b
}

// report is what a message of a collector or proxy says, checked against the bounds and the names that are known.
type report struct {
	host, attempts, failed, proxy, class int
	meanMs, intervalMs                   float64
	load                                 routing.HostLoad
}

// attemptCounts reads what LOAD and RATE have in common.
func (f fields) attemptCounts(r *report) (err error) {
	if r.intervalMs, err = f.number("span_ms", maxIntervalMs); err != nil {
		return err
	}
	if r.intervalMs == 0 {
		return fmt.Errorf("span_ms is 0")
	}
	most := int(r.intervalMs*maxAttemptsPerMs) + 1
	if r.attempts, err = f.integer("tries", most); err != nil {
		return err
	}
	r.failed, err = f.integer("failed", most)
	return err
}

// hostReport reads a LOAD.
func (b messageBounds) hostReport(f fields, inst *instance.Instance) (r report, err error) {
	if _, ok := inst.ZoneIndex(f["zone"]); !ok {
		return r, fmt.Errorf("zone is %.20q", f["zone"])
	}
	var ok bool
	if r.host, ok = inst.LookupHost(f["server"]); !ok {
		return r, fmt.Errorf("server is %.20q", f["server"])
	}
	if err = f.attemptCounts(&r); err != nil {
		return r, err
	}
	if r.failed > r.attempts {
		return r, fmt.Errorf("failed is %d of %d", r.failed, r.attempts)
	}
	if r.meanMs, err = f.number("mean_ms", b.maxMeanMs); err != nil {
		return r, err
	}
	r.load = routing.UnknownLoad
	if text, there := f["load"]; there && text != "" {
		r.load, err = parseLoad(text)
	}
	return r, err
}

// parseLoad reads pairs of names and values.
func parseLoad(text string) (routing.HostLoad, error) {
	values := map[string]float64{}
	for _, pair := range strings.Split(text, ",") {
		name, figure, _ := strings.Cut(pair, ":")
		v, err := strconv.ParseFloat(figure, 64)
		if err != nil || name == "" || !inRange(name, v) {
			return routing.UnknownLoad, fmt.Errorf("load holds %.30q", pair)
		}
		values[name] = v
	}
	return hostLoad(func(name string) (float64, bool) { v, ok := values[name]; return v, ok }), nil
}

func inRange(name string, v float64) bool {
	return v >= 0 && v < 1e9 && (name != "util" || v <= maxUtilization)
}

// hostLoad makes a load report of the values that are there and in range.
func hostLoad(value func(name string) (float64, bool)) routing.HostLoad {
	return instance.Load(func(name string) float64 {
		if v, ok := value(name); ok && inRange(name, v) {
			return v
		}
		return -1
	})
}

// demandReport reads a RATE. Transactions that failed may have come in the span before: more may fail than came.
func (b messageBounds) demandReport(f fields, inst *instance.Instance) (r report, err error) {
	if r.proxy, err = f.integer("proxy", b.maxProxy); err != nil {
		return r, err
	}
	var ok bool
	if r.class, ok = inst.ClassIndex(f["class"]); !ok {
		return r, fmt.Errorf("class is %.20q", f["class"])
	}
	return r, f.attemptCounts(&r)
}

// subscription reads a SUBSCRIBE.
func (b messageBounds) subscription(f fields, inst *instance.Instance) (proxy, zone int, weight float64, err error) {
	if proxy, err = f.integer("proxy", b.maxProxy); err != nil {
		return
	}
	var ok bool
	if zone, ok = inst.ZoneIndex(f["zone"]); !ok {
		err = fmt.Errorf("zone is %.20q", f["zone"])
		return
	}
	if weight, err = f.number("weight", maxWeight); err != nil {
		return
	}
	if fresh := f["fresh"]; fresh != "0" && fresh != "1" {
		err = fmt.Errorf("fresh is %.20q", fresh)
	}
	return
}

// ack reads an ACK.
func (b messageBounds) ack(f fields) (proxy, mark int, err error) {
	if proxy, err = f.integer("proxy", b.maxProxy); err != nil {
		return
	}
	if mark, err = f.integer("mark", maxStamp); err != nil {
		return
	}
	_, err = f.number("took_ms", maxIntervalMs)
	return
}
