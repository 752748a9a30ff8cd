package runtimeapi

import (
	"math"
	"strconv"

	"barleysail/controller"
	"barleysail/internal/haproxy"
)

// Formats of show stat and show info besides the default one.
const (
	formatTyped = "typed"
	formatJSON  = "json"
)

// Bits of the type argument of show stat.
const (
	statBackends = 2
	statServers  = 4
)

// statAll selects all types or servers in show stat.
const statAll = -1

// statQuery selects what show stat reports.
type statQuery struct {
	backend  string // name or number; empty: all
	types    int    // bits, or statAll
	serverID int    // or statAll
	format   string // empty: CSV
}

// parseStatQuery parses the arguments [{<iid>|<proxy>} <type> <sid>] [typed|json]. Unless backend, type and server
// are all given, everything is selected. A number that cannot be parsed counts as zero, which selects nothing.
func parseStatQuery(args []string) statQuery {
	query := statQuery{types: statAll, serverID: statAll}
	if last := len(args) - 1; last >= 0 && (args[last] == formatTyped || args[last] == formatJSON) {
		query.format = args[last]
		args = args[:last]
	}
	if len(args) < 3 {
		return query
	}
	if args[0] != strconv.Itoa(statAll) {
		query.backend = args[0]
	}
	query.types, _ = strconv.Atoi(args[1])
	query.serverID, _ = strconv.Atoi(args[2])
	return query
}

func (q statQuery) selectsServer(id int) bool {
	typeSelected := q.types < 0 || q.types&statServers != 0
	idSelected := q.serverID < 0 || q.serverID == id
	return typeSelected && idSelected
}

func (q statQuery) selectsBackends() bool { return q.types < 0 || q.types&statBackends != 0 }

// showStat returns the statistics of each server and backend, in the columns of the management guide.
func (s *session) showStat(args []string) (string, error) {
	query := parseStatQuery(args)
	backends, err := s.findBackends(query.backend)
	if err != nil {
		return "", err
	}
	hosts := s.server.controller.Hosts()
	var rows []haproxy.Row
	for _, backend := range backends {
		for i, host := range hosts {
			if query.selectsServer(serverID(i)) {
				rows = append(rows, serverRow(backend, serverID(i), host))
			}
		}
		if query.selectsBackends() {
			rows = append(rows, backendRow(backend, hosts))
		}
	}
	switch query.format {
	case formatTyped:
		return haproxy.FormatTyped(rows), nil
	case formatJSON:
		return haproxy.FormatJSON(rows), nil
	default:
		return haproxy.FormatCSV(rows), nil
	}
}

// serverRow returns the statistics of a server. Counters that the controller does not have are 0.
func serverRow(backend backend, id int, host controller.HostInfo) haproxy.Row {
	return haproxy.Row{
		"pxname":       backend.class,
		"svname":       host.Host,
		"status":       serverStatus(host),
		"weight":       strconv.Itoa(apiWeight(host.Weight)),
		"qcur":         roundedText(host.Explanation.Load.QueueLength),
		"scur":         roundedText(concurrency(host)),
		"stot":         "0",
		"act":          "1",
		"bck":          "0",
		"econ":         "0",
		"eresp":        roundedText(host.Explanation.Failures),
		"chkfail":      strconv.Itoa(host.Explanation.ConsecutiveFailures),
		"pid":          "1",
		"iid":          strconv.Itoa(backend.id),
		"sid":          strconv.Itoa(id),
		"type":         strconv.Itoa(haproxy.TypeServer),
		"rate":         roundedText(host.Explanation.ArrivalRate),
		"rtime":        roundedText(host.Explanation.MeanLatencyMs),
		"ttime":        roundedText(host.Explanation.MeanLatencyMs),
		"addr":         host.Host,
		"mode":         "http",
		"check_status": checkStatus(host),
	}
}

// backendRow returns the statistics of a backend. They cover all of its servers, selected or not.
func backendRow(backend backend, hosts []controller.HostInfo) haproxy.Row {
	weight := 0
	serversUp := 0
	arrivalRate := 0.0
	for _, host := range hosts {
		if serverStatus(host) == statusUp {
			serversUp++
			weight += apiWeight(host.Weight)
		}
		arrivalRate += host.Explanation.ArrivalRate
	}
	status := statusUp
	if serversUp == 0 {
		status = statusDown
	}
	return haproxy.Row{
		"pxname": backend.class,
		"svname": "BACKEND",
		"status": status,
		"weight": strconv.Itoa(weight),
		"act":    strconv.Itoa(serversUp),
		"bck":    "0",
		"pid":    "1",
		"iid":    strconv.Itoa(backend.id),
		"sid":    "0",
		"type":   strconv.Itoa(haproxy.TypeBackend),
		"rate":   roundedText(arrivalRate),
		"stot":   "0",
		"mode":   "http",
		"algo":   "random",
	}
}

// checkStatus returns the result of the last health check.
func checkStatus(host controller.HostInfo) string {
	switch {
	case host.Explanation.ConsecutiveFailures > 0:
		return "L7TOUT"
	case host.Explanation.ConsecutiveSuccesses > 0:
		return "L7OK"
	default:
		return "INI"
	}
}

// roundedText rounds to a whole number, as the columns require. Unknown values, which are below zero or NaN, become
// 0.
func roundedText(value float64) string {
	if !(value > 0) {
		return "0"
	}
	return strconv.FormatFloat(math.Round(value), 'f', 0, 64)
}
