package daemon

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"barleysail/controller"
	"barleysail/internal/http1"
	"barleysail/operator"
)

// maxEventsWaitSeconds is the longest time that a long poll for events is held, in seconds.
const maxEventsWaitSeconds = 60

type hostsBody struct {
	Hosts []controller.HostInfo `json:"hosts"`
}

func (a *api) getHosts(*http1.Request) http1.Reply { return jsonReply(hostsBody{a.operators.Hosts()}) }

func (a *api) getHost(request *http1.Request) http1.Reply {
	info, ok := a.operators.Host(request.Params["host"])
	if !ok {
		return notFound("no such host")
	}
	return jsonReply(info)
}

type proxiesBody struct {
	Proxies []controller.ProxyInfo `json:"proxies"`
}

func (a *api) getProxies(*http1.Request) http1.Reply {
	return jsonReply(proxiesBody{a.operators.Proxies()})
}

// getPublishedTables returns the tables that were last sent to a proxy.
func (a *api) getPublishedTables(request *http1.Request) http1.Reply {
	response, ok := a.operators.PublishedTables(request.Params["proxy"])
	if !ok {
		return notFound("the proxy has not joined, or holds nothing")
	}
	return tablesReply(response, 0, false)
}

func (a *api) getValidationReport(*http1.Request) http1.Reply {
	return jsonReply(query(a.loop, (*controller.Controller).ValidationReport))
}

// checkTablesBody holds tables to validate, in the format of the documents that proxies get.
type checkTablesBody struct {
	Zone   string               `json:"zone"`
	Proxy  string               `json:"proxy"`  // accepted and ignored
	Tables map[string]tableBody `json:"tables"` // by request class; only the weights are validated
}

// checkTables validates tables without publishing them.
func (a *api) checkTables(request *http1.Request) http1.Reply {
	var body checkTablesBody
	if err := readJSON(request, &body); err != nil {
		return malformedReply(err)
	}
	weights := make(map[string]map[string]float64, len(body.Tables))
	for class, table := range body.Tables {
		weights[class] = table.Weights
	}
	var result *controller.ValidationResult
	err := errStopping
	a.loop.call(func(float64) { result, err = a.loop.controller.ValidateTables(body.Zone, weights) })
	if err != nil {
		return errorReply(err)
	}
	return jsonReply(result)
}

// unchangedWeight is the operator.Command.Weight of a command that changes no weight.
const unchangedWeight = -1

// commandBody is an operator's command for a host, or for each host of a zone.
type commandBody struct {
	State          string         `json:"state"`  // ready, drain or maint; empty: unchanged
	Weight         *float64       `json:"weight"` // in place of the endpoint list's weight
	RelativeWeight *float64       `json:"part"`   // ratio to the endpoint list's weight
	ClearWeight    bool           `json:"clear"`  // use the endpoint list's weight again
	DurationMs     float64        `json:"for_ms"` // ms until the override expires; 0: it does not
	Queue          bool           `json:"wait"`   // queue the command if it cannot be applied now
	Operator       string         `json:"by"`     // name of the operator
	Add            *addedHostBody `json:"add"`    // add the host
	Remove         bool           `json:"remove"` // remove a host that was added
}

// addedHostBody describes a host that an operator adds.
type addedHostBody struct {
	Zone   string  `json:"zone"`
	Weight float64 `json:"weight"`
	Cores  float64 `json:"cores"`
	Speed  float64 `json:"speed"`
}

// command returns the command for a host. A weight below 0 becomes 0, since unchangedWeight is below 0. The error is a
// *controller.FieldError.
func (b *commandBody) command(host string) (operator.Command, error) {
	state, ok := operator.ParseState(b.State)
	if !ok && b.State != "" {
		return operator.Command{}, &controller.FieldError{Field: "state", Reason: "ready, drain and maint are known"}
	}
	command := operator.Command{
		Host:        host,
		State:       state,
		KeepState:   b.State == "" && b.Add == nil,
		Weight:      unchangedWeight,
		ClearWeight: b.ClearWeight,
		DurationMs:  b.DurationMs,
		Queue:       b.Queue,
		Operator:    b.Operator,
		Remove:      b.Remove,
	}
	switch {
	case b.Weight != nil:
		command.Weight = math.Max(*b.Weight, 0)
	case b.RelativeWeight != nil:
		command.Weight = math.Max(*b.RelativeWeight, 0)
		command.Relative = true
	}
	if b.Add != nil {
		command.Add = &operator.AddedHost{
			Zone: b.Add.Zone, Weight: b.Add.Weight, Cores: b.Add.Cores, Speed: b.Add.Speed}
	}
	return command, nil
}

// overrideHost applies a command to a host.
func (a *api) overrideHost(request *http1.Request) http1.Reply {
	var body commandBody
	if err := readJSON(request, &body); err != nil {
		return malformedReply(err)
	}
	command, err := body.command(request.Params["host"])
	if err != nil {
		return errorReply(err)
	}
	return a.applyCommands(command)
}

// overrideZone applies a command to all hosts of a zone. The command is queued for each, so that it is applied to one
// host after the other.
func (a *api) overrideZone(request *http1.Request) http1.Reply {
	var body commandBody
	if err := readJSON(request, &body); err != nil {
		return malformedReply(err)
	}
	var commands []operator.Command
	for _, host := range a.operators.Hosts() {
		if host.Zone != request.Params["zone"] || host.State == "gone" {
			continue
		}
		command, err := body.command(host.Host)
		if err != nil {
			return errorReply(err)
		}
		command.Queue = true
		commands = append(commands, command)
	}
	if len(commands) == 0 {
		return notFound("no host of that zone is listed")
	}
	return a.applyCommands(commands...)
}

// commandResultBody is the result of an operator's command.
type commandResultBody struct {
	Hosts  int  `json:"hosts"` // number of hosts that the command is for
	Queued bool `json:"waits"` // the command is queued for at least one of them
}

func (a *api) applyCommands(commands ...operator.Command) http1.Reply {
	queued, err := a.operators.ApplyCommands(commands...)
	if err != nil {
		return errorReply(err)
	}
	reply := jsonReply(commandResultBody{Hosts: len(commands), Queued: queued})
	if queued {
		reply.Status = http.StatusAccepted
	}
	return reply
}

type eventsBody struct {
	Events []controller.Event `json:"events"`
}

// getEvents handles a long poll for the events with a number greater than the "after" parameter.
func (a *api) getEvents(request *http1.Request) http1.Reply {
	text := request.Query.Get("after")
	after, err := strconv.ParseInt(text, 10, 64)
	if err != nil && text != "" {
		return errorReply(&controller.FieldError{Field: "after", Reason: "is no number"})
	}
	seconds, _ := preferredWait(request.Header)
	wait := time.Duration(math.Min(seconds, maxEventsWaitSeconds) * float64(time.Second))
	var cancel func() // nil until Events has returned
	held := request.Hold(func() {
		if cancel != nil {
			cancel()
		}
	})
	cancel = a.operators.Events(after, wait, func(events []controller.Event) {
		if events == nil {
			events = []controller.Event{} // a list in JSON, not null
		}
		held.Answer(jsonReply(eventsBody{events}))
	})
	return http1.Reply{Held: held}
}
