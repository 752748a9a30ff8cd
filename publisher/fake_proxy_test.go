package publisher

import (
	"errors"
	"maps"
	"slices"
	"strconv"
	"strings"

	"pgregory.net/rapid"

	"barleysail/internal/haproxy"
)

// fakeProxy is a model of a proxy that is controlled by its runtime socket. It executes commands, and rejects those
// that HAProxy rejects by its management guide. Tests can change its state as other clients of the socket would.
type fakeProxy struct {
	t             rapid.TB
	servers       map[string]haproxy.ServerState // by backend/server
	rejectsAdding bool
	rejectsRatios bool
	commands      []string // received so far
}

// newFakeProxy returns a proxy with servers of the backend "sheet", all ready with the largest weight.
func newFakeProxy(t rapid.TB, servers ...string) *fakeProxy {
	proxy := &fakeProxy{t: t, servers: map[string]haproxy.ServerState{}}
	for _, name := range servers {
		proxy.servers["sheet/"+name] = haproxy.ServerState{Backend: "sheet", Server: name, Weight: maxWeight}
	}
	return proxy
}

func (p *fakeProxy) states() []haproxy.ServerState {
	var states []haproxy.ServerState
	for _, key := range slices.Sorted(maps.Keys(p.servers)) {
		states = append(states, p.servers[key])
	}
	return states
}

// setWeight changes a weight as another client of the socket would.
func (p *fakeProxy) setWeight(key string, weight int) {
	state := p.servers[key]
	state.Weight = weight
	p.servers[key] = state
}

// execute executes a command and returns the response.
func (p *fakeProxy) execute(command string) (response string) {
	p.t.Helper()
	p.commands = append(p.commands, command)
	words := strings.Fields(command)
	if strings.HasPrefix(command, "set var") {
		if p.rejectsRatios {
			return "unknown command.\n"
		}
		return ""
	}
	key := words[1]
	if words[1] == "server" || words[1] == "weight" {
		key = words[2]
	}
	switch words[0] {
	case "add":
		return p.addServer(key, words[5])
	case "del":
		return p.deleteServer(key)
	default:
		return p.changeServer(key, words)
	}
}

func (p *fakeProxy) addServer(key, weight string) (response string) {
	p.t.Helper()
	if p.rejectsAdding {
		return "backend is full.\n"
	}
	backend, name, _ := strings.Cut(key, "/")
	p.servers[key] = haproxy.ServerState{
		Backend:    backend,
		Server:     name,
		Weight:     p.parseWeight(weight),
		AdminState: haproxy.ForcedMaint,
	}
	return "New server registered.\n"
}

func (p *fakeProxy) deleteServer(key string) (response string) {
	state, ok := p.servers[key]
	if !ok {
		return "No such server.\n"
	}
	if state.AdminState&haproxy.ForcedMaint == 0 {
		return "Only servers in maintenance mode can be deleted.\n"
	}
	delete(p.servers, key)
	return "Server deleted.\n"
}

// changeServer executes "set weight KEY WEIGHT" and "set server KEY state STATE".
func (p *fakeProxy) changeServer(key string, words []string) (response string) {
	p.t.Helper()
	state, ok := p.servers[key]
	if !ok {
		return "No such server.\n"
	}
	if words[1] == "weight" {
		state.Weight = p.parseWeight(words[3])
	} else {
		adminStates := map[string]int{"ready": 0, "drain": haproxy.ForcedDrain, "maint": haproxy.ForcedMaint}
		state.AdminState = adminStates[words[4]]
	}
	p.servers[key] = state
	return ""
}

func (p *fakeProxy) parseWeight(text string) int {
	p.t.Helper()
	weight, err := strconv.Atoi(text)
	if err != nil {
		p.t.Fatal(err)
	}
	return weight
}

// hasReadyServer reports whether a backend has a server that takes traffic.
func (p *fakeProxy) hasReadyServer(backend string) bool {
	for _, state := range p.servers {
		if state.Backend == backend && state.AdminState == 0 && state.Weight > 0 {
			return true
		}
	}
	return false
}

// sendCommands sends the proxy at most maxCommands of the updater's commands. Any error but a rejection fails the test.
func (p *fakeProxy) sendCommands(updater *ProxyUpdater, nowMs float64, maxCommands int) {
	p.t.Helper()
	for range maxCommands {
		command, ok := updater.NextCommand(nowMs)
		if !ok {
			return
		}
		err := updater.ObserveResponse(nowMs, p.execute(command))
		var rejected *RejectedError
		if err != nil && !errors.As(err, &rejected) {
			p.t.Fatalf("%q: got error %v, want none or a *RejectedError", command, err)
		}
	}
}
