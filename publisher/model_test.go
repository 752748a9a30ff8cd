package publisher

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"barleysail/internal/haproxy"
)

// proxy is a small model of one that is driven by a socket: it does what it is told, refuses what the guide says it
// refuses, and can be changed by others.
type proxy struct {
	servers map[string]haproxy.ServerState // by backend/server
	refuses bool
	sent    []string
}

func (x *proxy) state() (all []haproxy.ServerState) {
	for _, k := range slices.Sorted(maps.Keys(x.servers)) {
		all = append(all, x.servers[k])
	}
	return all
}

func (x *proxy) do(command string) string {
	x.sent = append(x.sent, command)
	w := strings.Fields(command)
	if x.refuses && strings.HasPrefix(command, "add") {
		return "backend is full.\n"
	}
	if strings.HasPrefix(command, "set var") {
		return ""
	}
	at := 1
	if w[1] == "server" || w[1] == "weight" {
		at = 2
	}
	backend, name, _ := strings.Cut(w[at], "/")
	s, ok := x.servers[w[at]]
	switch {
	case w[0] == "add":
		n, _ := strconv.Atoi(w[5])
		x.servers[w[at]] = haproxy.ServerState{Backend: backend, Server: name, Weight: n, Admin: haproxy.ForcedMaint}
		return "New server registered.\n"
	case !ok:
		return "No such server.\n"
	case w[0] == "del" && s.Admin&haproxy.ForcedMaint == 0:
		return "Only servers in maintenance mode can be deleted.\n"
	case w[0] == "del":
		delete(x.servers, w[at])
		return "Server deleted.\n"
	case w[1] == "weight":
		s.Weight, _ = strconv.Atoi(w[3])
	default:
		s.Admin = map[string]int{"ready": 0, "drain": haproxy.ForcedDrain, "maint": haproxy.ForcedMaint}[w[4]]
	}
	x.servers[w[at]] = s
	return ""
}

// takes tells whether a backend has a server that takes traffic.
func (x *proxy) takes(backend string) bool {
	for _, s := range x.servers {
		if s.Backend == backend && s.Admin == 0 && s.Weight > 0 {
			return true
		}
	}
	return false
}
