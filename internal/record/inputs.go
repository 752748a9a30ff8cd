package record

import (
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"barleysail/decide"
	"barleysail/intake"
	"barleysail/internal/record/recordpb"
	"barleysail/operator"
	"barleysail/state"
	"barleysail/state/statepb"
	"barleysail/steward"
)

// Listed records a list.
func Listed(at float64, entries []steward.Entry) *recordpb.Record {
	l := &recordpb.Listed{}
	for _, e := range entries {
		l.Hosts = append(l.Hosts, &recordpb.Host{Address: e.Host, Zone: e.Zone, Phase: int32(e.Phase), Weight: e.Weight,
			Started: e.Started, Cores: e.Cores, Speed: e.Speed})
	}
	return &recordpb.Record{At: at, What: &recordpb.Record_Listed{Listed: l}}
}

// Entries gives a recorded list.
func Entries(l *recordpb.Listed) []steward.Entry {
	var entries []steward.Entry
	for _, h := range l.Hosts {
		entries = append(entries, steward.Entry{Host: h.Address, Zone: h.Zone, Phase: decide.Phase(h.Phase),
			Weight: h.Weight, Started: h.Started, Cores: h.Cores, Speed: h.Speed})
	}
	return entries
}

// ListFailed records that the list could not be had.
func ListFailed(at float64) *recordpb.Record {
	return &recordpb.Record{At: at, What: &recordpb.Record_ListFailed{ListFailed: true}}
}

// Poll records a poll.
func Poll(at float64, id int64, q steward.Query) *recordpb.Record {
	p := &recordpb.Poll{Id: id, Proxy: q.Proxy, Zone: q.Zone, Rate: q.Rate, Tags: q.Tags, Any: q.Any, Delta: q.Delta, Wait: q.Wait}
	if o := q.Offer; o != nil {
		p.Offer = o.Tag
		for _, t := range o.Tables {
			p.Offered = append(p.Offered, &recordpb.Offered{Class: t.Class, Ordered: t.Ordered, Hosts: t.Hosts, Weights: t.Weights, Share: t.Share, Tries: int32(t.Tries)})
		}
	}
	return &recordpb.Record{At: at, What: &recordpb.Record_Poll{Poll: p}}
}

// query gives a recorded poll.
func query(p *recordpb.Poll) steward.Query {
	q := steward.Query{Proxy: p.Proxy, Zone: p.Zone, Rate: p.Rate, Tags: p.Tags, Any: p.Any, Delta: p.Delta, Wait: p.Wait}
	if p.Offer != "" {
		q.Offer = &steward.Offer{Tag: p.Offer}
		for _, t := range p.Offered {
			q.Offer.Tables = append(q.Offer.Tables, steward.Table{Class: t.Class, Ordered: t.Ordered, Hosts: t.Hosts, Weights: t.Weights, Share: t.Share, Tries: int(t.Tries)})
		}
	}
	return q
}

// PollGone records that a poll's caller is gone.
func PollGone(at float64, proxy string, id int64) *recordpb.Record {
	return &recordpb.Record{At: at, What: &recordpb.Record_PollGone{PollGone: &recordpb.PollGone{Id: id, Proxy: proxy}}}
}

// Leave records that a proxy leaves.
func Leave(at float64, proxy string) *recordpb.Record {
	return &recordpb.Record{At: at, What: &recordpb.Record_Leave{Leave: proxy}}
}

func load(l decide.Load) *recordpb.Load {
	return &recordpb.Load{Util: l.Util, Rate: l.Rate, Queue: l.Queue}
}

func unload(l *recordpb.Load) decide.Load {
	if l == nil {
		return decide.NoLoad
	}
	return decide.Load{Util: l.Util, Rate: l.Rate, Queue: l.Queue}
}

func bars(times []intake.Bar) (all []*recordpb.Bar) {
	for _, b := range times {
		all = append(all, &recordpb.Bar{Ms: b.Ms, Count: b.Count})
	}
	return all
}

func unbars(times []*recordpb.Bar) (all []intake.Bar) {
	for _, b := range times {
		all = append(all, intake.Bar{Ms: b.Ms, Count: b.Count})
	}
	return all
}

// Recall records what an earlier life knew, as it was kept, with the wall clock's time.
func Recall(at float64, text []byte, now, cold float64) *recordpb.Record {
	return &recordpb.Record{At: at, What: &recordpb.Record_Recall{Recall: &recordpb.Recall{State: text, Now: now, Cold: cold}}}
}

// HostLoad records a host's own load report.
func HostLoad(at float64, host string, r steward.HostLoad) *recordpb.Record {
	return &recordpb.Record{At: at, What: &recordpb.Record_HostReport{HostReport: &recordpb.HostReport{Host: host, Sender: r.Sender,
		Number: r.Number, Stamp: r.Stamp, Load: load(r.Load)}}}
}

// Sums records sums, hosts and classes in order.
func Sums(at float64, proxy string, u steward.Sums) *recordpb.Record {
	s := &recordpb.Sums{Proxy: proxy, Sender: u.Sender, Number: u.Number, Stamp: u.Stamp}
	for _, host := range slices.Sorted(maps.Keys(u.Hosts)) {
		v := u.Hosts[host]
		s.Hosts = append(s.Hosts, &recordpb.HostSums{Host: host, Tries: int64(v.Tries), Failed: int64(v.Failed),
			Mean: v.Mean, Span: v.Span, Load: load(v.Load), Times: bars(v.Times)})
	}
	for _, class := range slices.Sorted(maps.Keys(u.Usage)) {
		v := u.Usage[class]
		s.Usage = append(s.Usage, &recordpb.Usage{Class: class, Came: int64(v.Came), Unanswered: int64(v.Unanswered),
			Span: v.Span})
	}
	return &recordpb.Record{At: at, What: &recordpb.Record_Sums{Sums: s}}
}

// Probed records a probe's end.
func Probed(at float64, host string, how decide.Outcome, l decide.Load) *recordpb.Record {
	return &recordpb.Record{At: at, What: &recordpb.Record_Probed{Probed: &recordpb.Probed{Host: host,
		Outcome: int32(how), Load: load(l)}}}
}

// Advance records that what was due was done.
func Advance(at float64) *recordpb.Record {
	return &recordpb.Record{At: at, What: &recordpb.Record_Advance{Advance: true}}
}

// Release records that all held polls are answered.
func Release(at float64) *recordpb.Record {
	return &recordpb.Record{At: at, What: &recordpb.Record_Release{Release: true}}
}

// Operate records operators' orders.
func Operate(at float64, orders []operator.Order) *recordpb.Record {
	x := &recordpb.Operate{}
	for _, o := range orders {
		r := &recordpb.Order{Host: o.Host, State: int32(o.State), Weight: o.Weight, Clear: o.Clear, Part: o.Part, For: o.For,
			Wait: o.Wait, By: o.By, Remove: o.Remove, Keep: o.Keep}
		if a := o.Add; a != nil {
			r.Add = &recordpb.Host{Address: o.Host, Zone: a.Zone, Weight: a.Weight, Cores: a.Cores, Speed: a.Speed, Started: a.Started}
		}
		x.Orders = append(x.Orders, r)
	}
	return &recordpb.Record{At: at, What: &recordpb.Record_Operate{Operate: x}}
}

// Orders gives recorded orders.
func Orders(x *recordpb.Operate) []operator.Order {
	var all []operator.Order
	for _, r := range x.Orders {
		o := operator.Order{Host: r.Host, State: operator.State(r.State), Weight: r.Weight, Clear: r.Clear, Part: r.Part, For: r.For,
			Wait: r.Wait, By: r.By, Remove: r.Remove, Keep: r.Keep}
		if a := r.Add; a != nil {
			o.Add = &operator.Added{Zone: a.Zone, Weight: a.Weight, Cores: a.Cores, Speed: a.Speed, Started: a.Started}
		}
		all = append(all, o)
	}
	return all
}

// Published records an answer to a poll.
func Published(at float64, poll int64, a steward.Answer) *recordpb.Record {
	body := a.Body()
	return &recordpb.Record{At: at, What: &recordpb.Record_Published{Published: &recordpb.Published{Poll: poll,
		Proxy: a.Proxy, Kind: int32(a.Kind), Tag: a.Tag, Base: a.Base, Sum: Sum(body), Body: body}}}
}

// Feed gives a recorded input to a steward; outputs and the start are passed over. An input that the steward
// refused when it came is refused again, which is no error.
func Feed(s *steward.Steward, r *recordpb.Record, out steward.Out) error {
	switch x := r.What.(type) {
	case *recordpb.Record_Listed:
		s.Listed(r.At, Entries(x.Listed))
	case *recordpb.Record_ListFailed:
		s.ListFailed(r.At)
	case *recordpb.Record_Poll:
		s.Poll(r.At, x.Poll.Id, query(x.Poll), out)
	case *recordpb.Record_PollGone:
		s.PollGone(r.At, x.PollGone.Proxy, x.PollGone.Id)
	case *recordpb.Record_Leave:
		s.Leave(r.At, x.Leave, out)
	case *recordpb.Record_Sums:
		u := steward.Sums{Sender: x.Sums.Sender, Number: x.Sums.Number, Stamp: x.Sums.Stamp, Hosts: map[string]steward.HostSums{},
			Usage: map[string]steward.ClassUsage{}}
		for _, h := range x.Sums.Hosts {
			u.Hosts[h.Host] = steward.HostSums{Tries: int(h.Tries), Failed: int(h.Failed), Mean: h.Mean, Span: h.Span,
				Load: unload(h.Load), Times: unbars(h.Times)}
		}
		for _, c := range x.Sums.Usage {
			u.Usage[c.Class] = steward.ClassUsage{Came: int(c.Came), Unanswered: int(c.Unanswered), Span: c.Span}
		}
		s.Sums(r.At, x.Sums.Proxy, u)
	case *recordpb.Record_Recall:
		kept := &statepb.State{}
		if err := proto.Unmarshal(x.Recall.State, kept); err != nil {
			return fmt.Errorf("reading a recorded state: %w", err)
		}
		s.Recall(r.At, state.Age(kept, x.Recall.Now, state.DefaultLimits(x.Recall.Cold)))
	case *recordpb.Record_HostReport:
		h := x.HostReport
		s.HostLoad(r.At, h.Host, steward.HostLoad{Sender: h.Sender, Number: h.Number, Stamp: h.Stamp, Load: unload(h.Load)})
	case *recordpb.Record_Probed:
		s.Probed(r.At, x.Probed.Host, decide.Outcome(x.Probed.Outcome), unload(x.Probed.Load))
	case *recordpb.Record_Advance:
		s.Advance(r.At, out)
	case *recordpb.Record_Operate:
		s.Operate(r.At, Orders(x.Operate), out)
	case *recordpb.Record_Release:
		s.Release(r.At, out)
	case *recordpb.Record_Published, *recordpb.Record_Start, *recordpb.Record_ProxyStart, *recordpb.Record_Transaction,
		*recordpb.Record_Applied:
	default:
		return fmt.Errorf("a record of a kind that is not known, at %.3f ms", r.At)
	}
	return nil
}
