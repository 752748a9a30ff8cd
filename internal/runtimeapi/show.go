package runtimeapi

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"barleysail/controller"
	"barleysail/internal/haproxy"
	"barleysail/operator"
)

const (
	errNoBackendFound = commandError("Can't find backend.")
	errNoSuchTable    = commandError("No such table")
)

// firstBackendID is the number of the first request class; the others follow in the order of the settings.
const firstBackendID = 2

// backend is a request class with its number in the API.
type backend struct {
	class string
	id    int
}

// findBackends returns the backend of a name or number, or all backends for an empty selector.
func (s *session) findBackends(selector string) ([]backend, error) {
	var backends []backend
	for i, class := range s.server.controller.Status().Classes {
		id := firstBackendID + i
		if selector == "" || selector == class || selector == strconv.Itoa(id) {
			backends = append(backends, backend{class: class, id: id})
		}
	}
	if len(backends) == 0 {
		return nil, errNoBackendFound
	}
	return backends, nil
}

// serverID returns the number in the API of the host at an index.
func serverID(index int) int { return index + 1 }

// Phases of a host in controller.HostInfo.
const (
	phaseDraining = "draining"
	phaseRemoved  = "gone"
)

// Statuses of a server in show stat.
const (
	statusUp          = "UP"
	statusDown        = "DOWN"
	statusDrain       = "DRAIN"
	statusMaintenance = "MAINT"
)

// serverStatus returns the status of a server in show stat.
func serverStatus(host controller.HostInfo) string {
	switch {
	case host.State == phaseRemoved:
		return statusMaintenance
	case host.State == phaseDraining:
		return statusDrain
	case host.Ejected:
		return statusDown
	default:
		return statusUp
	}
}

// serverStates returns the operational and the administrative state of a server in show servers state.
func serverStates(host controller.HostInfo) (operational, administrative int) {
	operational = haproxy.Running
	if status := serverStatus(host); status == statusDown || status == statusMaintenance {
		operational = haproxy.Stopped
	}
	overridden := host.Override != nil && !host.Override.Queued
	if !overridden {
		if host.State == phaseDraining {
			return haproxy.Stopping, haproxy.ForcedDrain
		}
		return operational, 0
	}
	switch state, _ := operator.ParseState(host.Override.State); state {
	case operator.Maintenance:
		return operational, haproxy.ForcedMaint
	case operator.Draining:
		return haproxy.Stopping, haproxy.ForcedDrain
	default:
		return operational, 0
	}
}

func (s *session) showBackend([]string) (string, error) {
	classes := s.server.controller.Status().Classes
	return "# name\n" + strings.Join(classes, "\n") + "\n", nil
}

func firstArgument(args []string) string {
	if len(args) == 0 {
		return ""
	}
	return args[0]
}

// showServersState lists the state of each server, in the format of HAProxy's server state file.
func (s *session) showServersState(args []string) (string, error) {
	backends, err := s.findBackends(firstArgument(args))
	if err != nil {
		return "", err
	}
	hosts := s.server.controller.Hosts()
	var states []haproxy.ServerState
	for _, backend := range backends {
		for i, host := range hosts {
			operational, administrative := serverStates(host)
			states = append(states, haproxy.ServerState{
				BackendID:        backend.id,
				ServerID:         serverID(i),
				Backend:          backend.class,
				Server:           host.Host,
				Address:          host.Host,
				OperationalState: operational,
				AdminState:       administrative,
				Weight:           apiWeight(host.Weight),
				InitialWeight:    apiWeight(host.BaseWeight),
			})
		}
	}
	return haproxy.FormatState(states), nil
}

// concurrency returns the mean number of requests at a host, by Little's law: arrival rate times mean latency.
func concurrency(host controller.HostInfo) float64 {
	return host.Explanation.ArrivalRate * host.Explanation.MeanLatencyMs / msPerSecond
}

const serversConnHeader = "# bkname/svname bkid/svid addr port - purge_delay used_cur used_max need_est unsafe_nb " +
	"safe_nb idle_lim idle_cur idle_per_thr[1]\n"

// showServersConn lists the requests that are queued or running at each server, as estimated by concurrency.
func (s *session) showServersConn(args []string) (string, error) {
	backends, err := s.findBackends(firstArgument(args))
	if err != nil {
		return "", err
	}
	hosts := s.server.controller.Hosts()
	var text strings.Builder
	text.WriteString(serversConnHeader)
	for _, backend := range backends {
		for i, host := range hosts {
			colonAt := strings.LastIndexByte(host.Host, ':')
			address := host.Host[:colonAt]
			port := host.Host[colonAt+1:]
			used := int(math.Max(concurrency(host), 0))
			fmt.Fprintf(&text, "%s/%s %d/%d %s %s - 0 %d %d %d 0 0 -1 0 0\n", backend.class, host.Host, backend.id,
				serverID(i), address, port, used, used, used)
		}
	}
	return text.String(), nil
}

// showTable lists the proxies with the sizes of their tables, or the tables of one proxy.
func (s *session) showTable(args []string) (string, error) {
	if len(args) == 0 {
		return s.showTableSizes(), nil
	}
	proxy := args[0]
	published, ok := s.server.controller.PublishedTables(proxy)
	if !ok {
		return "", errNoSuchTable
	}
	var text strings.Builder
	for _, table := range published.Tables() {
		fmt.Fprintf(&text, "# table: %s/%s, type: string, size:%d, used:%d, share:%g, tries:%d\n", proxy, table.Class,
			len(table.Hosts), len(table.Hosts), table.AdmissionRatio, table.RetryPolicy)
		for i, host := range table.Hosts {
			fmt.Fprintf(&text, "0x%x: key=%s weight=%g\n", i+1, host, table.Weights[i])
		}
	}
	return text.String(), nil
}

// showTableSizes lists the proxies with the size of their largest table.
func (s *session) showTableSizes() string {
	var text strings.Builder
	for _, proxy := range s.server.controller.Proxies() {
		size := 0
		if published, ok := s.server.controller.PublishedTables(proxy.Proxy); ok {
			for _, table := range published.Tables() {
				size = max(size, len(table.Hosts))
			}
		}
		fmt.Fprintf(&text, "# table: %s, type: string, size:%d, used:%d\n", proxy.Proxy, size, size)
	}
	return text.String()
}
