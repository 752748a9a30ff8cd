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

// EndpointList returns the record of an endpoint list.
func EndpointList(atMs float64, endpoints []controller.Endpoint) *recordpb.Record {
	list := &recordpb.Listed{}
	for _, endpoint := range endpoints {
		list.Hosts = append(list.Hosts, &recordpb.Host{
			Address: endpoint.Host,
			Zone:    endpoint.Zone,
			Phase:   int32(endpoint.State),
			Weight:  endpoint.Weight,
			Started: endpoint.StartedMs,
			Cores:   endpoint.Cores,
			Speed:   endpoint.Speed,
		})
	}
	return &recordpb.Record{At: atMs, What: &recordpb.Record_Listed{Listed: list}}
}

// Endpoints returns the endpoints of a recorded list.
func Endpoints(list *recordpb.Listed) []controller.Endpoint {
	var endpoints []controller.Endpoint
	for _, host := range list.Hosts {
		endpoints = append(endpoints, controller.Endpoint{
			Host:      host.Address,
			Zone:      host.Zone,
			State:     routing.HostState(host.Phase),
			Weight:    host.Weight,
			StartedMs: host.Started,
			Cores:     host.Cores,
			Speed:     host.Speed,
		})
	}
	return endpoints
}

// WatchFailure returns the record of a failure to read the endpoint list.
func WatchFailure(atMs float64) *recordpb.Record {
	return &recordpb.Record{At: atMs, What: &recordpb.Record_ListFailed{ListFailed: true}}
}

// Poll returns the record of a poll.
func Poll(atMs float64, id int64, request controller.PollRequest) *recordpb.Record {
	poll := &recordpb.Poll{
		Id:    id,
		Proxy: request.Proxy,
		Zone:  request.Zone,
		Rate:  request.RequestRate,
		Tags:  request.Tags,
		Any:   request.AnyTag,
		Delta: request.AcceptDelta,
		Wait:  request.WaitMs,
	}
	if cached := request.Cached; cached != nil {
		poll.Offer = cached.Tag
		for _, table := range cached.Tables {
			poll.Offered = append(poll.Offered, &recordpb.Offered{
				Class:   table.Class,
				Ordered: table.Assigned,
				Hosts:   table.Hosts,
				Weights: table.Weights,
				Share:   table.AdmissionRatio,
				Tries:   int32(table.RetryPolicy),
			})
		}
	}
	return &recordpb.Record{At: atMs, What: &recordpb.Record_Poll{Poll: poll}}
}

// pollRequest returns the request of a recorded poll.
func pollRequest(poll *recordpb.Poll) controller.PollRequest {
	request := controller.PollRequest{
		Proxy:       poll.Proxy,
		Zone:        poll.Zone,
		RequestRate: poll.Rate,
		Tags:        poll.Tags,
		AnyTag:      poll.Any,
		AcceptDelta: poll.Delta,
		WaitMs:      poll.Wait,
	}
	if poll.Offer != "" {
		request.Cached = &controller.CachedTables{Tag: poll.Offer}
		for _, table := range poll.Offered {
			request.Cached.Tables = append(request.Cached.Tables, controller.Table{
				Class:          table.Class,
				Assigned:       table.Ordered,
				Hosts:          table.Hosts,
				Weights:        table.Weights,
				AdmissionRatio: table.Share,
				RetryPolicy:    int(table.Tries),
			})
		}
	}
	return request
}

// CanceledPoll returns the record of a poll that its proxy canceled.
func CanceledPoll(atMs float64, proxy string, id int64) *recordpb.Record {
	poll := &recordpb.PollGone{Id: id, Proxy: proxy}
	return &recordpb.Record{At: atMs, What: &recordpb.Record_PollGone{PollGone: poll}}
}

// Disconnect returns the record of a proxy's disconnect.
func Disconnect(atMs float64, proxy string) *recordpb.Record {
	return &recordpb.Record{At: atMs, What: &recordpb.Record_Leave{Leave: proxy}}
}

func recordedLoad(load routing.HostLoad) *recordpb.Load {
	return &recordpb.Load{Util: load.Utilization, Rate: load.RequestRate, Queue: load.QueueLength}
}

func hostLoad(recorded *recordpb.Load) routing.HostLoad {
	if recorded == nil {
		return routing.UnknownLoad
	}
	return routing.HostLoad{Utilization: recorded.Util, RequestRate: recorded.Rate, QueueLength: recorded.Queue}
}

func recordedBuckets(buckets []intake.LatencyBucket) (recorded []*recordpb.Bar) {
	for _, bucket := range buckets {
		recorded = append(recorded, &recordpb.Bar{Ms: bucket.Ms, Count: bucket.Count})
	}
	return recorded
}

func latencyBuckets(recorded []*recordpb.Bar) (buckets []intake.LatencyBucket) {
	for _, bucket := range recorded {
		buckets = append(buckets, intake.LatencyBucket{Ms: bucket.Ms, Count: bucket.Count})
	}
	return buckets
}

// Restore returns the record of the restored state of an earlier process, as it was stored, with the wall-clock time.
// slowStartMs is the slow start time of a host.
func Restore(atMs float64, storedState []byte, wallClockMs, slowStartMs float64) *recordpb.Record {
	restored := &recordpb.Recall{State: storedState, Now: wallClockMs, Cold: slowStartMs}
	return &recordpb.Record{At: atMs, What: &recordpb.Record_Recall{Recall: restored}}
}

// LoadReport returns the record of a load report that a host sent itself.
func LoadReport(atMs float64, host string, report controller.LoadReport) *recordpb.Record {
	recorded := &recordpb.HostReport{
		Host:   host,
		Sender: report.Sender,
		Number: report.Sequence,
		Stamp:  report.SentAtMs,
		Load:   recordedLoad(report.Load),
	}
	return &recordpb.Record{At: atMs, What: &recordpb.Record_HostReport{HostReport: recorded}}
}

// ProxyStats returns the record of a proxy's stats, with hosts and classes sorted by name.
func ProxyStats(atMs float64, proxy string, stats controller.ProxyStats) *recordpb.Record {
	recorded := &recordpb.Sums{Proxy: proxy, Sender: stats.Sender, Number: stats.Sequence, Stamp: stats.SentAtMs}
	for _, host := range slices.Sorted(maps.Keys(stats.Hosts)) {
		hostStats := stats.Hosts[host]
		recorded.Hosts = append(recorded.Hosts, &recordpb.HostSums{
			Host:   host,
			Tries:  int64(hostStats.Attempts),
			Failed: int64(hostStats.Failed),
			Mean:   hostStats.MeanLatencyMs,
			Span:   hostStats.WindowMs,
			Load:   recordedLoad(hostStats.Load),
			Times:  recordedBuckets(hostStats.Latencies),
		})
	}
	for _, class := range slices.Sorted(maps.Keys(stats.Demand)) {
		demand := stats.Demand[class]
		recorded.Usage = append(recorded.Usage, &recordpb.Usage{
			Class:      class,
			Came:       int64(demand.Arrivals),
			Unanswered: int64(demand.NoResponse),
			Span:       demand.WindowMs,
		})
	}
	return &recordpb.Record{At: atMs, What: &recordpb.Record_Sums{Sums: recorded}}
}

// HealthCheck returns the record of the result of a health check.
func HealthCheck(
	atMs float64, host string, result routing.HealthCheckResult, load routing.HostLoad,
) *recordpb.Record {
	recorded := &recordpb.Probed{Host: host, Outcome: int32(result), Load: recordedLoad(load)}
	return &recordpb.Record{At: atMs, What: &recordpb.Record_Probed{Probed: recorded}}
}

// Advance returns the record of a call that ran what was due in the controller.
func Advance(atMs float64) *recordpb.Record {
	return &recordpb.Record{At: atMs, What: &recordpb.Record_Advance{Advance: true}}
}

// ReleasePolls returns the record of the release of all open polls.
func ReleasePolls(atMs float64) *recordpb.Record {
	return &recordpb.Record{At: atMs, What: &recordpb.Record_Release{Release: true}}
}

// Overrides returns the record of operators' commands.
func Overrides(atMs float64, commands []operator.Command) *recordpb.Record {
	recorded := &recordpb.Operate{}
	for _, command := range commands {
		order := &recordpb.Order{
			Host:   command.Host,
			State:  int32(command.State),
			Weight: command.Weight,
			Clear:  command.ClearWeight,
			Part:   command.Relative,
			For:    command.DurationMs,
			Wait:   command.Queue,
			By:     command.Operator,
			Remove: command.Remove,
			Keep:   command.KeepState,
		}
		if added := command.Add; added != nil {
			order.Add = &recordpb.Host{
				Address: command.Host,
				Zone:    added.Zone,
				Weight:  added.Weight,
				Cores:   added.Cores,
				Speed:   added.Speed,
				Started: added.StartedMs,
			}
		}
		recorded.Orders = append(recorded.Orders, order)
	}
	return &recordpb.Record{At: atMs, What: &recordpb.Record_Operate{Operate: recorded}}
}

// Commands returns the recorded commands of operators.
func Commands(recorded *recordpb.Operate) []operator.Command {
	var commands []operator.Command
	for _, order := range recorded.Orders {
		command := operator.Command{
			Host:        order.Host,
			State:       operator.State(order.State),
			Weight:      order.Weight,
			ClearWeight: order.Clear,
			Relative:    order.Part,
			DurationMs:  order.For,
			Queue:       order.Wait,
			Operator:    order.By,
			Remove:      order.Remove,
			KeepState:   order.Keep,
		}
		if added := order.Add; added != nil {
			command.Add = &operator.AddedHost{
				Zone:      added.Zone,
				Weight:    added.Weight,
				Cores:     added.Cores,
				Speed:     added.Speed,
				StartedMs: added.Started,
			}
		}
		commands = append(commands, command)
	}
	return commands
}

// Response returns the record of the response to a poll.
func Response(atMs float64, pollID int64, response controller.Response) *recordpb.Record {
	body := response.Body()
	recorded := &recordpb.Published{
		Poll:  pollID,
		Proxy: response.Proxy,
		Kind:  int32(response.Kind),
		Tag:   response.Tag,
		Base:  response.BaseTag,
		Sum:   Checksum(body),
		Body:  body,
	}
	return &recordpb.Record{At: atMs, What: &recordpb.Record_Published{Published: recorded}}
}

// Apply passes a recorded input to a controller. Start records, outputs and the records of proxies have no effect. An
// input that the controller rejected when it was recorded is rejected again, which is not an error.
func Apply(c *controller.Controller, record *recordpb.Record, effects controller.Effects) error {
	switch what := record.What.(type) {
	case *recordpb.Record_Listed:
		_ = c.SetEndpoints(record.At, Endpoints(what.Listed))
	case *recordpb.Record_ListFailed:
		c.ObserveWatchFailure(record.At)
	case *recordpb.Record_Poll:
		_ = c.Poll(record.At, what.Poll.Id, pollRequest(what.Poll), effects)
	case *recordpb.Record_PollGone:
		c.CancelPoll(record.At, what.PollGone.Proxy, what.PollGone.Id)
	case *recordpb.Record_Leave:
		c.Disconnect(record.At, what.Leave, effects)
	case *recordpb.Record_Sums:
		stats := controller.ProxyStats{
			Sender:   what.Sums.Sender,
			Sequence: what.Sums.Number,
			SentAtMs: what.Sums.Stamp,
			Hosts:    map[string]controller.HostStats{},
			Demand:   map[string]controller.ClassDemand{},
		}
		for _, host := range what.Sums.Hosts {
			stats.Hosts[host.Host] = controller.HostStats{
				Attempts: int(host.Tries), Failed: int(host.Failed), MeanLatencyMs: host.Mean, WindowMs: host.Span,
				Load: hostLoad(host.Load), Latencies: latencyBuckets(host.Times),
			}
		}
		for _, usage := range what.Sums.Usage {
			stats.Demand[usage.Class] = controller.ClassDemand{
				Arrivals: int(usage.Came), NoResponse: int(usage.Unanswered), WindowMs: usage.Span,
			}
		}
		_, _ = c.ObserveProxyStats(record.At, what.Sums.Proxy, stats)
	case *recordpb.Record_Recall:
		stored := &statepb.State{}
		if err := proto.Unmarshal(what.Recall.State, stored); err != nil {
			return fmt.Errorf("decoding a recorded state: %w", err)
		}
		c.Restore(record.At, state.ApplyDecay(stored, what.Recall.Now, state.DefaultLimits(what.Recall.Cold)))
	case *recordpb.Record_HostReport:
		report := what.HostReport
		_, _ = c.ObserveLoadReport(record.At, report.Host, controller.LoadReport{
			Sender:   report.Sender,
			Sequence: report.Number,
			SentAtMs: report.Stamp,
			Load:     hostLoad(report.Load),
		})
	case *recordpb.Record_Probed:
		result := routing.HealthCheckResult(what.Probed.Outcome)
		c.ObserveHealthCheck(record.At, what.Probed.Host, result, hostLoad(what.Probed.Load))
	case *recordpb.Record_Advance:
		c.Advance(record.At, effects)
	case *recordpb.Record_Operate:
		_, _ = c.ApplyOverrides(record.At, Commands(what.Operate), effects)
	case *recordpb.Record_Release:
		c.ReleasePolls(record.At, effects)
	case *recordpb.Record_Published, *recordpb.Record_Start, *recordpb.Record_ProxyStart,
		*recordpb.Record_Transaction, *recordpb.Record_Applied:
	default:
		return fmt.Errorf("unknown type of the record at %.3f ms", record.At)
	}
	return nil
}
