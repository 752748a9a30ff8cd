package record

import (
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"barleysail/controller"
	"barleysail/intake"
	"barleysail/internal/record/recordpb"
	"barleysail/operator"
	"barleysail/routing"
	"barleysail/state"
	"barleysail/state/statepb"
)

// Listed records a list.
func EndpointList(at float64, entries []controller.Endpoint) *recordpb.Record {
	l := &recordpb.Listed{}
	for _, e := range entries {
		l.Hosts = append(l.Hosts, &recordpb.Host{Address: e.Host, Zone: e.Zone, Phase: int32(e.State), Weight: e.Weight,
			Started: e.StartedMs, Cores: e.Cores, Speed: e.Speed})
	}
	return &recordpb.Record{At: at, What: &recordpb.Record_Listed{Listed: l}}
}

// Entries gives a recorded list.
func Endpoints(l *recordpb.Listed) []controller.Endpoint {
	var entries []controller.Endpoint
	for _, h := range l.Hosts {
		entries = append(entries, controller.Endpoint{Host: h.Address, Zone: h.Zone, State: routing.HostState(h.Phase),
			Weight: h.Weight, StartedMs: h.Started, Cores: h.Cores, Speed: h.Speed})
	}
	return entries
}

// ListFailed records that the list could not be had.
func WatchFailure(at float64) *recordpb.Record {
	return &recordpb.Record{At: at, What: &recordpb.Record_ListFailed{ListFailed: true}}
}

// Poll records a poll.
func Poll(at float64, id int64, q controller.PollRequest) *recordpb.Record {
	p := &recordpb.Poll{Id: id, Proxy: q.Proxy, Zone: q.Zone, Rate: q.RequestRate, Tags: q.Tags, Any: q.AnyTag, Delta: q.AcceptDelta, Wait: q.WaitMs}
	if o := q.Cached; o != nil {
		p.Offer = o.Tag
		for _, t := range o.Tables {
			p.Offered = append(p.Offered, &recordpb.Offered{Class: t.Class, Ordered: t.Assigned, Hosts: t.Hosts, Weights: t.Weights, Share: t.AdmissionRatio, Tries: int32(t.RetryPolicy)})
		}
	}
	return &recordpb.Record{At: at, What: &recordpb.Record_Poll{Poll: p}}
}

// query gives a recorded poll.
func query(p *recordpb.Poll) controller.PollRequest {
	q := controller.PollRequest{Proxy: p.Proxy, Zone: p.Zone, RequestRate: p.Rate, Tags: p.Tags, AnyTag: p.Any, AcceptDelta: p.Delta, WaitMs: p.Wait}
	if p.Offer != "" {
		q.Cached = &controller.CachedTables{Tag: p.Offer}
		for _, t := range p.Offered {
			q.Cached.Tables = append(q.Cached.Tables, controller.Table{Class: t.Class, Assigned: t.Ordered, Hosts: t.Hosts, Weights: t.Weights, AdmissionRatio: t.Share, RetryPolicy: int(t.Tries)})
		}
	}
	return q
}

// PollGone records that a poll's caller is gone.
func CanceledPoll(at float64, proxy string, id int64) *recordpb.Record {
	return &recordpb.Record{At: at, What: &recordpb.Record_PollGone{PollGone: &recordpb.PollGone{Id: id, Proxy: proxy}}}
}

// Leave records that a proxy leaves.
func Disconnect(at float64, proxy string) *recordpb.Record {
	return &recordpb.Record{At: at, What: &recordpb.Record_Leave{Leave: proxy}}
}

func load(l routing.HostLoad) *recordpb.Load {
	return &recordpb.Load{Util: l.Utilization, Rate: l.RequestRate, Queue: l.QueueLength}
}

func unload(l *recordpb.Load) routing.HostLoad {
	if l == nil {
		return routing.UnknownLoad
	}
	return routing.HostLoad{Utilization: l.Util, RequestRate: l.Rate, QueueLength: l.Queue}
}

func bars(times []intake.LatencyBucket) (all []*recordpb.Bar) {
	for _, b := range times {
		all = append(all, &recordpb.Bar{Ms: b.Ms, Count: b.Count})
	}
	return all
}

func unbars(times []*recordpb.Bar) (all []intake.LatencyBucket) {
	for _, b := range times {
		all = append(all, intake.LatencyBucket{Ms: b.Ms, Count: b.Count})
	}
	return all
}

// Recall records what an earlier life knew, as it was kept, with the wall clock's time.
func Restore(at float64, text []byte, now, cold float64) *recordpb.Record {
	return &recordpb.Record{At: at, What: &recordpb.Record_Recall{Recall: &recordpb.Recall{State: text, Now: now, Cold: cold}}}
}

// HostLoad records a host's own load report.
func LoadReport(at float64, host string, r controller.LoadReport) *recordpb.Record {
	return &recordpb.Record{At: at, What: &recordpb.Record_HostReport{HostReport: &recordpb.HostReport{Host: host, Sender: r.Sender,
		Number: r.Sequence, Stamp: r.SentAtMs, Load: load(r.Load)}}}
}

// Sums records sums, hosts and classes in order.
func ProxyStats(at float64, proxy string, u controller.ProxyStats) *recordpb.Record {
	s := &recordpb.Sums{Proxy: proxy, Sender: u.Sender, Number: u.Sequence, Stamp: u.SentAtMs}
	for _, host := range slices.Sorted(maps.Keys(u.Hosts)) {
		v := u.Hosts[host]
		s.Hosts = append(s.Hosts, &recordpb.HostSums{Host: host, Tries: int64(v.Attempts), Failed: int64(v.Failed),
			Mean: v.MeanLatencyMs, Span: v.WindowMs, Load: load(v.Load), Times: bars(v.Latencies)})
	}
	for _, class := range slices.Sorted(maps.Keys(u.Demand)) {
		v := u.Demand[class]
		s.Usage = append(s.Usage, &recordpb.Usage{Class: class, Came: int64(v.Arrivals), Unanswered: int64(v.NoResponse),
			Span: v.WindowMs})
	}
	return &recordpb.Record{At: at, What: &recordpb.Record_Sums{Sums: s}}
}

// Probed records a probe's end.
func HealthCheck(at float64, host string, how routing.HealthCheckResult, l routing.HostLoad) *recordpb.Record {
	return &recordpb.Record{At: at, What: &recordpb.Record_Probed{Probed: &recordpb.Probed{Host: host,
		Outcome: int32(how), Load: load(l)}}}
}

// Advance records that what was due was done.
func Advance(at float64) *recordpb.Record {
	return &recordpb.Record{At: at, What: &recordpb.Record_Advance{Advance: true}}
}

// Release records that all held polls are answered.
func ReleasePolls(at float64) *recordpb.Record {
	return &recordpb.Record{At: at, What: &recordpb.Record_Release{Release: true}}
}

// Operate records operators' orders.
func Overrides(at float64, orders []operator.Command) *recordpb.Record {
	x := &recordpb.Operate{}
	for _, o := range orders {
		r := &recordpb.Order{Host: o.Host, State: int32(o.State), Weight: o.Weight, Clear: o.ClearWeight, Part: o.Relative, For: o.DurationMs,
			Wait: o.Queue, By: o.Operator, Remove: o.Remove, Keep: o.KeepState}
		if a := o.Add; a != nil {
			r.Add = &recordpb.Host{Address: o.Host, Zone: a.Zone, Weight: a.Weight, Cores: a.Cores, Speed: a.Speed, Started: a.StartedMs}
		}
		x.Orders = append(x.Orders, r)
	}
	return &recordpb.Record{At: at, What: &recordpb.Record_Operate{Operate: x}}
}

// Orders gives recorded orders.
func Commands(x *recordpb.Operate) []operator.Command {
	var all []operator.Command
	for _, r := range x.Orders {
		o := operator.Command{Host: r.Host, State: operator.State(r.State), Weight: r.Weight, ClearWeight: r.Clear, Relative: r.Part, DurationMs: r.For,
			Queue: r.Wait, Operator: r.By, Remove: r.Remove, KeepState: r.Keep}
		if a := r.Add; a != nil {
			o.Add = &operator.AddedHost{Zone: a.Zone, Weight: a.Weight, Cores: a.Cores, Speed: a.Speed, StartedMs: a.Started}
		}
		all = append(all, o)
	}
	return all
}

// Published records an answer to a poll.
func Response(at float64, poll int64, a controller.Response) *recordpb.Record {
	body := a.Body()
	return &recordpb.Record{At: at, What: &recordpb.Record_Published{Published: &recordpb.Published{Poll: poll,
		Proxy: a.Proxy, Kind: int32(a.Kind), Tag: a.Tag, Base: a.BaseTag, Sum: Checksum(body), Body: body}}}
}

// Feed gives a recorded input to a steward; outputs and the start are passed over. An input that the steward
// refused when it came is refused again, which is no error.
func Apply(s *controller.Controller, r *recordpb.Record, out controller.Effects) error {
	switch x := r.What.(type) {
	case *recordpb.Record_Listed:
		s.SetEndpoints(r.At, Endpoints(x.Listed))
	case *recordpb.Record_ListFailed:
		s.ObserveWatchFailure(r.At)
	case *recordpb.Record_Poll:
		s.Poll(r.At, x.Poll.Id, query(x.Poll), out)
	case *recordpb.Record_PollGone:
		s.CancelPoll(r.At, x.PollGone.Proxy, x.PollGone.Id)
	case *recordpb.Record_Leave:
		s.Disconnect(r.At, x.Leave, out)
	case *recordpb.Record_Sums:
		u := controller.ProxyStats{Sender: x.Sums.Sender, Sequence: x.Sums.Number, SentAtMs: x.Sums.Stamp, Hosts: map[string]controller.HostStats{},
			Demand: map[string]controller.ClassDemand{}}
		for _, h := range x.Sums.Hosts {
			u.Hosts[h.Host] = controller.HostStats{Attempts: int(h.Tries), Failed: int(h.Failed), MeanLatencyMs: h.Mean, WindowMs: h.Span,
				Load: unload(h.Load), Latencies: unbars(h.Times)}
		}
		for _, c := range x.Sums.Usage {
			u.Demand[c.Class] = controller.ClassDemand{Arrivals: int(c.Came), NoResponse: int(c.Unanswered), WindowMs: c.Span}
		}
		s.ObserveProxyStats(r.At, x.Sums.Proxy, u)
	case *recordpb.Record_Recall:
		kept := &statepb.State{}
		if err := proto.Unmarshal(x.Recall.State, kept); err != nil {
			return fmt.Errorf("reading a recorded state: %w", err)
		}
		s.Restore(r.At, state.ApplyDecay(kept, x.Recall.Now, state.DefaultLimits(x.Recall.Cold)))
	case *recordpb.Record_HostReport:
		h := x.HostReport
		s.ObserveLoadReport(r.At, h.Host, controller.LoadReport{Sender: h.Sender, Sequence: h.Number, SentAtMs: h.Stamp, Load: unload(h.Load)})
	case *recordpb.Record_Probed:
		s.ObserveHealthCheck(r.At, x.Probed.Host, routing.HealthCheckResult(x.Probed.Outcome), unload(x.Probed.Load))
	case *recordpb.Record_Advance:
		s.Advance(r.At, out)
	case *recordpb.Record_Operate:
		s.ApplyOverrides(r.At, Commands(x.Operate), out)
	case *recordpb.Record_Release:
		s.ReleasePolls(r.At, out)
	case *recordpb.Record_Published, *recordpb.Record_Start, *recordpb.Record_ProxyStart, *recordpb.Record_Transaction,
		*recordpb.Record_Applied:
	default:
		return fmt.Errorf("a record of a kind that is not known, at %.3f ms", r.At)
	}
	return nil
}
