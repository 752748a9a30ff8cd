package runtimeapi

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"runtime"
	"strconv"
	"strings"

	"barleysail/controller"
	"barleysail/internal/haproxy"
	"barleysail/operator"
)

// firstBackend is the id of the first class; the ids of the others follow in the order of the settings.
const firstBackend = 2

// backend is a class with its id.
type backend struct {
	class string
	id    int
}

// servers gives the backends, or the one that is named by name or id, and their servers: every host is a server of every
// class, since one table serves all.
func (s *session) servers(named string) (backends []backend, hosts []controller.HostInfo, answer string, ok bool) {
	for i, class := range s.server.steward.Status().Classes {
		if id := firstBackend + i; named == "" || named == class || named == strconv.Itoa(id) {
			backends = append(backends, backend{class, id})
		}
	}
	if len(backends) == 0 {
		return nil, nil, "Can't find backend.\n", false
	}
	return backends, s.server.steward.Hosts(), "", true
}

// word is a host's status as show stat has it.
func word(h controller.HostInfo) string {
	switch {
	case h.Phase == "gone":
		return "MAINT"
	case h.Phase == "draining":
		return "DRAIN"
	case h.Withdrawn:
		return "DOWN"
	}
	return "UP"
}

// admin gives the operational and the administrative state.
func admin(h controller.HostInfo) (op, adm int) {
	op = haproxy.Running
	if word(h) == "DOWN" || word(h) == "MAINT" {
		op = haproxy.Stopped
	}
	if h.Operator != nil && !h.Operator.Waiting {
		switch state, _ := operator.ParseState(h.Operator.State); state {
		case operator.Maintenance:
			adm |= haproxy.ForcedMaint
		case operator.Draining:
			adm |= haproxy.ForcedDrain
			op = haproxy.Stopping
		}
	} else if h.Phase == "draining" {
		adm, op = adm|haproxy.ForcedDrain, haproxy.Stopping
	}
	return op, adm
}

func (s *session) showBackend([]string) (string, bool) {
	st := s.server.steward.Status()
	return "# name\n" + strings.Join(st.Classes, "\n") + "\n", true
}

func first(args []string) string {
	if len(args) == 0 {
		return ""
	}
	return args[0]
}

func (s *session) showState(args []string) (string, bool) {
	backends, hosts, answer, ok := s.servers(first(args))
	if !ok {
		return answer, false
	}
	var all []haproxy.ServerState
	for _, k := range backends {
		for i, h := range hosts {
			op, adm := admin(h)
			all = append(all, haproxy.ServerState{BackendID: k.id, ServerID: i + 1, Backend: k.class, Server: h.Host, Address: h.Host, Op: op, Admin: adm,
				Weight: quantised(h.Weight), Initial: quantised(h.Listed)})
		}
	}
	return haproxy.WriteState(all), true
}

func (s *session) showConn(args []string) (string, bool) {
	backends, hosts, answer, ok := s.servers(first(args))
	if !ok {
		return answer, false
	}
	var b strings.Builder
	b.WriteString("# bkname/svname bkid/svid addr port - purge_delay used_cur used_max need_est unsafe_nb safe_nb idle_lim idle_cur idle_per_thr[1]\n")
	for _, k := range backends {
		for i, h := range hosts {
			at := strings.LastIndexByte(h.Host, ':')
			used := int(math.Max(h.Why.ArrivalRate*h.Why.MeanLatencyMs/1000, 0))
			fmt.Fprintf(&b, "%s/%s %d/%d %s %s - 0 %d %d %d 0 0 -1 0 0\n", k.class, h.Host, k.id, i+1, h.Host[:at], h.Host[at+1:], used, used, used)
		}
	}
	return b.String(), true
}

// showStat reports what the steward knows of each server, by the published columns.
func (s *session) showStat(args []string) (string, bool) {
	form := ""
	if n := len(args); n > 0 && (args[n-1] == "typed" || args[n-1] == "json") {
		form, args = args[n-1], args[:n-1]
	}
	kinds, sid := -1, -1
	named := ""
	if len(args) >= 3 {
		if named = args[0]; named == "-1" {
			named = ""
		}
		kinds, _ = strconv.Atoi(args[1])
		sid, _ = strconv.Atoi(args[2])
	}
	backends, hosts, answer, ok := s.servers(named)
	if !ok {
		return answer, false
	}
	var rows []haproxy.Row
	for _, k := range backends {
		iid := strconv.Itoa(k.id)
		total, up := 0, 0
		rate := 0.0
		for i, h := range hosts {
			if word(h) == "UP" {
				up, total = up+1, total+quantised(h.Weight)
			}
			rate += h.Why.ArrivalRate
			if kinds >= 0 && kinds&4 == 0 || sid >= 0 && sid != i+1 {
				continue
			}
			rows = append(rows, haproxy.Row{"pxname": k.class, "svname": h.Host, "status": word(h), "weight": strconv.Itoa(quantised(h.Weight)),
				"qcur": figure(h.Why.Load.QueueLength), "scur": figure(h.Why.ArrivalRate * h.Why.MeanLatencyMs / 1000), "stot": "0", "act": "1", "bck": "0",
				"econ": "0", "eresp": figure(h.Why.Failures), "chkfail": strconv.Itoa(h.Why.ConsecutiveFailures), "pid": "1", "iid": iid, "sid": strconv.Itoa(i + 1),
				"type": strconv.Itoa(haproxy.Server), "rate": figure(h.Why.ArrivalRate), "rtime": figure(h.Why.MeanLatencyMs), "ttime": figure(h.Why.MeanLatencyMs), "addr": h.Host,
				"mode": "http", "check_status": check(h)})
		}
		if kinds < 0 || kinds&2 != 0 {
			status := "UP"
			if up == 0 {
				status = "DOWN"
			}
			rows = append(rows, haproxy.Row{"pxname": k.class, "svname": "BACKEND", "status": status, "weight": strconv.Itoa(total), "act": strconv.Itoa(up),
				"bck": "0", "pid": "1", "iid": iid, "sid": "0", "type": strconv.Itoa(haproxy.Backend), "rate": figure(rate), "stot": "0", "mode": "http",
				"algo": "random"})
		}
	}
	switch form {
	case "typed":
		return haproxy.WriteTyped(rows), true
	case "json":
		return haproxy.WriteJSON(rows), true
	}
	return haproxy.WriteCSV(rows), true
}

func check(h controller.HostInfo) string {
	switch {
	case h.Why.ConsecutiveFailures > 0:
		return "L7TOUT"
	case h.Why.ConsecutiveSuccesses > 0:
		return "L7OK"
	}
	return "INI"
}

// figure rounds to a whole number, as the columns want.
func figure(x float64) string {
	if !(x > 0) {
		return "0"
	}
	return strconv.FormatFloat(math.Round(x), 'f', 0, 64)
}

// info is a line of show info.
type info struct{ name, value string }

func (s *session) showInfo(args []string) (string, bool) {
	st := s.server.steward.Status()
	all := []info{{"Name", "barleysail"}, {"Version", s.server.set.Version}, {"Nbthread", strconv.Itoa(runtime.GOMAXPROCS(0))}, {"Nbproc", "1"},
		{"Process_num", "1"}, {"Pid", strconv.Itoa(os.Getpid())}, {"CurrConns", strconv.Itoa(st.Joined)}, {"Stopping", "0"},
		{"Jobs", strconv.Itoa(st.Polls)}, {"Tasks", strconv.Itoa(st.MessagesQueued)}, {"node", st.Life}, {"description", st.Mode}}
	switch first(args) {
	case "":
		var b strings.Builder
		for _, i := range all {
			fmt.Fprintf(&b, "%s: %s\n", i.name, i.value)
		}
		return b.String(), true
	case "typed":
		var b strings.Builder
		for n, i := range all {
			fmt.Fprintf(&b, "%d.%s.1:MGP:%s:%s\n", n, i.name, infoType(i.value), i.value)
		}
		return b.String(), true
	case "json":
		list := []any{}
		for n, i := range all {
			var value any = i.value
			if x, err := strconv.Atoi(i.value); err == nil {
				value = x
			}
			list = append(list, map[string]any{"field": map[string]any{"pos": n, "name": i.name}, "processNum": 1,
				"tags":  map[string]string{"origin": "Product", "nature": "Output", "scope": "Service"},
				"value": map[string]any{"type": infoType(i.value), "value": value}})
		}
		text, _ := json.Marshal(list)
		return string(text) + "\n", true
	}
	return "'show info' only supports 'typed' and 'json'.\n", false
}

func infoType(v string) string {
	if _, err := strconv.Atoi(v); err == nil {
		return "u32"
	}
	return "str"
}
