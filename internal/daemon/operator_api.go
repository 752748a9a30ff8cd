package daemon

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"
	"strconv"
	"sync"
	"time"

	"barleysail/auth"
	"barleysail/controller"
	"barleysail/internal/http1"
	"barleysail/operator"
)

// Operators is what operators may ask of a steward and tell it, whatever front they come by.
type Operators struct {
	loop *controllerLoop
}

// Hosts tells how the hosts stand.
func (o *Operators) Hosts() []controller.HostInfo {
	return query(o.loop, (*controller.Controller).HostInfos)
}

// Host tells how one host stands.
func (o *Operators) Host(name string) (h controller.HostInfo, ok bool) {
	h = query(o.loop, func(s *controller.Controller) (h controller.HostInfo) { h, ok = s.HostInfo(name); return h })
	return h, ok
}

// Proxies tells how the proxies stand.
func (o *Operators) Proxies() []controller.ProxyInfo {
	return query(o.loop, (*controller.Controller).ProxyInfos)
}

// PublishedTables gives the tables that a proxy was last given.
func (o *Operators) PublishedTables(proxy string) (a controller.Response, ok bool) {
	a = query(o.loop, func(s *controller.Controller) (a controller.Response) { a, ok = s.PublishedTables(proxy); return a })
	return a, ok
}

// Status tells how the steward stands.
func (o *Operators) Status() controller.Status { return o.loop.status() }

// Order gives orders to the steward; several are carried out stepwise.
func (o *Operators) Order(orders ...operator.Command) (waits bool, err error) {
	return o.loop.applyOverrides(orders)
}

// Events gives those after a number; where there are none it calls later once, when one comes or the wait is over.
func (o *Operators) Events(after int64, wait time.Duration, to func([]controller.Event)) (cancel func()) {
	events := func() []controller.Event {
		return query(o.loop, func(s *controller.Controller) []controller.Event { return s.Events(after) })
	}
	if all := events(); len(all) > 0 || wait <= 0 {
		to(all)
		return func() {}
	}
	var once sync.Once
	give := func() { once.Do(func() { to(events()) }) }
	forget := o.loop.subscribeEvents(after, func() { go give() })
	timer := time.AfterFunc(wait, give)
	return func() { forget(); timer.Stop(); once.Do(func() {}) }
}

func (a *api) addOperatorRoutes(m *http1.Mux) {
	m.Handle("GET", "/v1/hosts", http1.Route{Serve: a.authorize(auth.See, func(*http1.Request) http1.Reply {
		return jsonReply(map[string]any{"hosts": a.operators.Hosts()})
	})})
	m.Handle("GET", "/v1/hosts/{host}", http1.Route{Serve: a.authorize(auth.See, a.getHost)})
	m.Handle("POST", "/v1/hosts/{host}/operator", http1.Route{Serve: a.authorize(auth.Set, a.overrideHost), Media: []string{"application/json"}, MaxBody: 4096})
	m.Handle("POST", "/v1/zones/{zone}/operator", http1.Route{Serve: a.authorize(auth.Set, a.overrideZone), Media: []string{"application/json"}, MaxBody: 4096})
	m.Handle("GET", "/v1/proxies", http1.Route{Serve: a.authorize(auth.See, func(*http1.Request) http1.Reply {
		return jsonReply(map[string]any{"proxies": a.operators.Proxies()})
	})})
	m.Handle("GET", "/v1/proxies/{proxy}/holds", http1.Route{Serve: a.authorize(auth.See, a.getPublishedTables)})
	m.Handle("GET", "/v1/guard", http1.Route{Serve: a.authorize(auth.See, func(*http1.Request) http1.Reply {
		return jsonReply(query(a.loop, (*controller.Controller).ValidationReport))
	})})
	m.Handle("POST", "/v1/guard/check", http1.Route{Serve: a.authorize(auth.See, a.checkTables), Media: []string{"application/json"}})
	m.Handle("GET", "/v1/events", http1.Route{Serve: a.authorize(auth.See, a.getEvents)})
}

func (a *api) getHost(q *http1.Request) http1.Reply {
	if h, ok := a.operators.Host(q.Params["host"]); ok {
		return jsonReply(h)
	}
	return http1.Problem{Status: 404, Detail: "no such host"}.Reply()
}

func (a *api) getPublishedTables(q *http1.Request) http1.Reply {
	x, ok := a.operators.PublishedTables(q.Params["proxy"])
	if !ok {
		return http1.Problem{Status: 404, Detail: "the proxy has not joined, or holds nothing"}.Reply()
	}
	return tablesReply(x, 0, false)
}

// checkTables looks at tables that an operator would have published: in the form of the document that proxies get.
func (a *api) checkTables(q *http1.Request) http1.Reply {
	var b struct {
		Zone   string               `json:"zone"`
		Proxy  string               `json:"proxy"` // as in a proxy's document; not looked at, nor are shares and tries
		Tables map[string]tableBody `json:"tables"`
	}
	if err := readJSON(q, &b); err != nil {
		return malformedReply(err)
	}
	tables := map[string]map[string]float64{}
	for class, t := range b.Tables {
		tables[class] = t.Hosts
	}
	err := errStopping
	answer := query(a.loop, func(s *controller.Controller) (x *controller.ValidationResult) {
		x, err = s.ValidateTables(b.Zone, tables)
		return x
	})
	if err != nil {
		return errorReply(err)
	}
	return jsonReply(answer)
}

// commandBody is what an operator posts.
type commandBody struct {
	State  string   `json:"state"`  // ready, drain or maint; "": as it is set
	Weight *float64 `json:"weight"` // in place of the list's
	Part   *float64 `json:"part"`   // of the list's weight
	Clear  bool     `json:"clear"`  // the list's weight again
	ForMs  float64  `json:"for_ms"` // then it ends
	Wait   bool     `json:"wait"`   // for its turn, where it cannot be done now
	By     string   `json:"by"`
	Add    *struct {
		Zone   string  `json:"zone"`
		Weight float64 `json:"weight"`
		Cores  float64 `json:"cores"`
		Speed  float64 `json:"speed"`
	} `json:"add"`
	Remove bool `json:"remove"`
}

// command reads an order for a host.
func (b *commandBody) command(host string) (operator.Command, error) {
	state, ok := operator.ParseState(b.State)
	if !ok && b.State != "" {
		return operator.Command{}, &controller.FieldError{Field: "state", Reason: "ready, drain and maint are known"}
	}
	o := operator.Command{Host: host, State: state, KeepState: b.State == "", Weight: -1, ClearWeight: b.Clear, DurationMs: b.ForMs, Queue: b.Wait, Operator: b.By,
		Remove: b.Remove}
	if b.Weight != nil {
		o.Weight = math.Max(*b.Weight, 0)
	} else if b.Part != nil {
		o.Weight, o.Relative = math.Max(*b.Part, 0), true
	}
	if b.Add != nil {
		o.KeepState, o.Add = false, &operator.AddedHost{Zone: b.Add.Zone, Weight: b.Add.Weight, Cores: b.Add.Cores, Speed: b.Add.Speed}
	}
	return o, nil
}

func readCommand(q *http1.Request) (*commandBody, error) {
	b := &commandBody{}
	return b, readJSON(q, b)
}

// readJSON reads a request's body, which has to be one JSON value without unknown fields.
func readJSON(q *http1.Request, to any) error {
	d := json.NewDecoder(bytes.NewReader(q.Body))
	d.DisallowUnknownFields()
	if err := d.Decode(to); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("something follows the JSON value")
	}
	return nil
}

func (a *api) overrideHost(q *http1.Request) http1.Reply {
	b, err := readCommand(q)
	if err != nil {
		return malformedReply(err)
	}
	o, err := b.command(q.Params["host"])
	if err != nil {
		return errorReply(err)
	}
	return a.applyCommands(o)
}

// overrideZone orders the same of all hosts of a zone, stepwise.
func (a *api) overrideZone(q *http1.Request) http1.Reply {
	b, err := readCommand(q)
	if err != nil {
		return malformedReply(err)
	}
	var all []operator.Command
	for _, h := range a.operators.Hosts() {
		if h.Zone != q.Params["zone"] || h.Phase == "gone" {
			continue
		}
		o, err := b.command(h.Host)
		if err != nil {
			return errorReply(err)
		}
		o.Queue = true
		all = append(all, o)
	}
	if len(all) == 0 {
		return http1.Problem{Status: 404, Detail: "no host of that zone is listed"}.Reply()
	}
	return a.applyCommands(all...)
}

func (a *api) applyCommands(orders ...operator.Command) http1.Reply {
	waits, err := a.operators.Order(orders...)
	var refused *operator.RejectedError
	if errors.As(err, &refused) && refused.UnknownHost {
		return http1.Problem{Status: 404, Detail: err.Error()}.Reply()
	} else if refused != nil {
		return http1.Problem{Status: 409, Detail: err.Error()}.Reply()
	} else if err != nil {
		return errorReply(err)
	}
	r := jsonReply(map[string]any{"hosts": len(orders), "waits": waits})
	if waits {
		r.Status = 202
	}
	return r
}

// maxEventsWaitSeconds is how long a follower is held at most, in seconds.
const maxEventsWaitSeconds = 60

func (a *api) getEvents(q *http1.Request) http1.Reply {
	after, err := strconv.ParseInt(q.Query.Get("after"), 10, 64)
	if err != nil && q.Query.Get("after") != "" {
		return errorReply(&controller.FieldError{Field: "after", Reason: "is no number"})
	}
	seconds, _ := preferredWait(q.Header)
	var cancel func()
	held := q.Hold(func() {
		if cancel != nil {
			cancel()
		}
	})
	cancel = a.operators.Events(after, time.Duration(math.Min(seconds, maxEventsWaitSeconds)*float64(time.Second)), func(all []controller.Event) {
		if all == nil {
			all = []controller.Event{}
		}
		held.Answer(jsonReply(map[string]any{"events": all}))
	})
	return http1.Reply{Held: held}
}
