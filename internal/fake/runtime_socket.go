package fake

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"barleysail/client"
	"barleysail/internal/haproxy"
	"barleysail/publisher"
)

// runtimeSocket is a HAProxy runtime socket with the commands that controllers use, as in HAProxy's management guide.
// The proxy's tables follow from the servers and variables that are set by it.
type runtimeSocket struct {
	proxy    *Proxy
	listener net.Listener

	mu            sync.Mutex
	classes       []string
	servers       map[string][]*backendServer // by class, in the order of their addition
	backends      map[string]*backendServer   // counters by class
	vars          map[string]string
	conns         map[net.Conn]bool
	responseDelay time.Duration
	unresponsive  bool
	refuseUntil   time.Time // connections are closed at once until then
	version       int       // of the tables
	reloadPending bool      // applyTables will run after reloadDelay
	changed       bool      // a command has changed the state since the last response
	lastChangeMs  float64   // time of the last response to a command that changed the state
}

// messageGapMs is the time in ms within which successive commands count as one message of a controller.
const messageGapMs = 50.0

// backendServer is a server of a backend.
type backendServer struct {
	address                                    string
	weight, initialWeight                      int
	adminState                                 int
	requests, connectionErrors, responseErrors int
	durationsMs                                [averagedRequests]float64 // of the last fulfilled attempts, a ring buffer
	timedRequests                              int
}

// reloadDelay is the time for which changes are collected before the proxy applies them.
const reloadDelay = 10 * time.Millisecond

// averagedRequests is the number of requests over which durations are averaged. HAProxy averages over the last 1024.
const averagedRequests = 256

// newRuntimeSocket listens on a free port.
func newRuntimeSocket(proxy *Proxy) (*runtimeSocket, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listening on a proxy's runtime socket: %w", err)
	}
	s := &runtimeSocket{proxy: proxy, listener: listener, conns: map[net.Conn]bool{}}
	for _, traffic := range proxy.settings.Traffic {
		s.classes = append(s.classes, traffic.Class)
	}
	return s, nil
}

// SocketAddress returns the address of the runtime socket, or "" without one.
func (p *Proxy) SocketAddress() string {
	if p.socket == nil {
		return ""
	}
	return p.socket.listener.Addr().String()
}

// SetSocketDelay delays the responses of the runtime socket.
func (p *Proxy) SetSocketDelay(delay time.Duration) {
	p.socket.mu.Lock()
	p.socket.responseDelay = delay
	p.socket.mu.Unlock()
}

// SetSocketUnresponsive makes the runtime socket read commands without carrying them out or answering.
func (p *Proxy) SetSocketUnresponsive(on bool) {
	p.socket.mu.Lock()
	p.socket.unresponsive = on
	p.socket.mu.Unlock()
}

// RestartWithInitialConfig simulates a restart of the proxy with its initial configuration file: the servers are the
// fallback hosts, and all counters are 0.
func (p *Proxy) RestartWithInitialConfig() {
	p.socket.closeConns()
	p.socket.reset()
}

// ServerStates returns the states of all servers.
func (p *Proxy) ServerStates() []haproxy.ServerState {
	p.socket.mu.Lock()
	defer p.socket.mu.Unlock()
	return p.socket.serverStates()
}

// start accepts connections until close.
func (s *runtimeSocket) start() {
	s.reset()
	go func() {
		for {
			conn, err := s.listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			if time.Now().Before(s.refuseUntil) {
				s.mu.Unlock()
				conn.Close()
				continue
			}
			s.conns[conn] = true
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
}

func (s *runtimeSocket) close() { s.listener.Close(); s.closeConns() }

// closeConns closes all connections.
func (s *runtimeSocket) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
}

// disconnect closes all connections, and refuses new ones for a time.
func (s *runtimeSocket) disconnect(duration time.Duration) {
	s.mu.Lock()
	s.refuseUntil = time.Now().Add(duration)
	s.mu.Unlock()
	s.closeConns()
}

// reset sets the state of the initial configuration file.
func (s *runtimeSocket) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers, s.backends, s.vars = map[string][]*backendServer{}, map[string]*backendServer{}, map[string]string{}
	for _, class := range s.classes {
		s.backends[class] = &backendServer{}
		for _, host := range s.proxy.settings.FallbackHosts {
			s.servers[class] = append(s.servers[class], &backendServer{address: host, weight: 100, initialWeight: 100})
		}
	}
	s.applyTables()
}

// activeServers returns the servers of a class that take traffic. s.mu must be held.
func (s *runtimeSocket) activeServers(class string) (active []*backendServer) {
	for _, server := range s.servers[class] {
		if server.adminState == 0 && server.weight > 0 {
			active = append(active, server)
		}
	}
	return active
}

// applyTables loads the tables that follow from the current state into the client. s.mu must be held.
func (s *runtimeSocket) applyTables() {
	type table struct {
		Hosts map[string]float64 `json:"hosts"`
		Share float64            `json:"share"`
		Tries int                `json:"tries"`
	}
	document := map[string]map[string]table{"tables": {}}
	for _, class := range s.classes {
		classTable := table{map[string]float64{}, 1, 1}
		if perMille, err := strconv.ParseFloat(s.vars["proc."+publisher.AdmissionRatioVariablePrefix+class], 64); err == nil {
			classTable.Share = perMille / 1000
		}
		for _, server := range s.activeServers(class) {
			classTable.Hosts[server.address] = float64(server.weight)
		}
		document["tables"][class] = classTable
	}
	text, _ := json.Marshal(document)
	s.version++
	s.proxy.Client.Load(strconv.Itoa(s.version), text)
}

// logState logs the state after a command, or a lost connection. s.mu must be held.
func (s *runtimeSocket) logState(entries int, continued, connected bool) {
	log := s.proxy.settings.EventLog
	if log == nil {
		return
	}
	hosts := map[string]map[string]bool{}
	for _, class := range s.classes {
		hosts[class] = map[string]bool{}
		for _, server := range s.activeServers(class) {
			hosts[class][server.address] = true
		}
	}
	controller, _, _ := strings.Cut(s.vars["proc."+publisher.OwnerVariable], ":")
	log.LogProxyState(Now(), s.proxy.settings.Name, controller, entries, continued, hosts, connected)
}

// countRequest adds a request that ended to the counters.
func (s *runtimeSocket) countRequest(request client.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	backend := s.backends[request.Class]
	if backend == nil {
		return
	}
	backend.requests++
	for _, attempt := range request.Attempts {
		for _, server := range s.servers[request.Class] {
			if server.address != attempt.Host {
				continue
			}
			switch attempt.Result {
			case client.Fulfilled:
				server.requests++
				server.durationsMs[server.timedRequests%averagedRequests] = attempt.Duration.Seconds() * 1000
				server.timedRequests++
			case client.NeverRan:
				server.connectionErrors++
			default:
				server.requests, server.responseErrors = server.requests+1, server.responseErrors+1
			}
		}
	}
	if !request.Fulfilled && request.Admitted {
		backend.responseErrors++
	}
}

// serve reads commands from a connection and carries them out until it is closed.
func (s *runtimeSocket) serve(conn net.Conn) {
	changedTables := false
	defer func() {
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		if changedTables {
			s.logState(0, false, false)
		}
		s.mu.Unlock()
	}()
	reader, prompt := bufio.NewReader(conn), false
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		s.mu.Lock()
		delay, unresponsive := s.responseDelay, s.unresponsive
		s.mu.Unlock()
		if unresponsive {
			continue
		}
		s.mu.Lock()
		continued := Now()-s.lastChangeMs < messageGapMs
		s.mu.Unlock()
		time.Sleep(delay)
		var out strings.Builder
		for _, command := range strings.Split(strings.TrimSpace(line), ";") {
			words := strings.Fields(command)
			if len(words) == 1 && words[0] == "prompt" {
				prompt = !prompt
				out.WriteString("\n")
				continue
			}
			s.mu.Lock()
			answer, changed := s.execute(words)
			if changed {
				if !s.reloadPending {
					s.reloadPending = true
					time.AfterFunc(reloadDelay, func() {
						s.mu.Lock()
						s.reloadPending = false
						s.applyTables()
						s.mu.Unlock()
					})
				}
				changedTables, s.changed = true, true
				s.logState(1, continued, true)
			}
			s.mu.Unlock()
			out.WriteString(answer + "\n")
		}
		if prompt {
			out.WriteString("> ")
		}
		if _, err := io.WriteString(conn, out.String()); err != nil || !prompt {
			return
		}
		s.mu.Lock()
		if s.changed {
			s.lastChangeMs, s.changed = Now(), false
		}
		s.mu.Unlock()
	}
}

// execute carries out a command, and returns the answer and whether the proxy's tables may have changed. s.mu must be
// held.
func (s *runtimeSocket) execute(words []string) (answer string, changed bool) {
	command := strings.Join(words[:min(len(words), 2)], " ")
	if command == "show servers" && len(words) > 2 && words[2] == "state" {
		return haproxy.FormatState(s.serverStates()), false
	}
	switch command {
	case "show stat":
		return haproxy.FormatCSV(s.statRows()), false
	case "get var":
		if value, ok := s.vars[words[2]]; ok {
			return words[2] + ": type=str value=<" + value + ">\n", false
		}
		return words[2] + ": not found\n", false
	case "set var":
		value := words[3]
		value = strings.TrimSuffix(value[strings.IndexByte(value, '(')+1:], ")")
		oldValue := s.vars[words[2]]
		s.vars[words[2]] = value
		return "", oldValue != value && strings.Contains(words[2], publisher.AdmissionRatioVariablePrefix)
	}
	nameIndex := 2
	if command != "add server" && command != "del server" && command != "set server" && command != "set weight" ||
		len(words) < 3 {
		return "Unknown command.\n", false
	}
	class, name, _ := strings.Cut(words[nameIndex], "/")
	if !slices.Contains(s.classes, class) {
		return "No such backend.\n", false
	}
	index := slices.IndexFunc(s.servers[class], func(server *backendServer) bool { return server.address == name })
	if command == "add server" {
		if index >= 0 {
			return "Already exists a server with the same name in backend.\n", false
		}
		weight, _ := strconv.Atoi(words[5])
		s.servers[class] = append(s.servers[class], &backendServer{
			address: words[3], weight: weight, initialWeight: weight, adminState: haproxy.ForcedMaint,
		})
		return "New server registered.\n", true
	}
	if index < 0 {
		return "No such server.\n", false
	}
	server := s.servers[class][index]
	switch {
	case command == "del server" && server.adminState&haproxy.ForcedMaint == 0:
		return "Only servers in maintenance mode can be deleted.\n", false
	case command == "del server":
		s.servers[class] = slices.Delete(s.servers[class], index, index+1)
		return "Server deleted.\n", true
	case command == "set weight":
		server.weight, _ = strconv.Atoi(words[3])
	case words[3] == "state":
		server.adminState = map[string]int{"drain": haproxy.ForcedDrain, "maint": haproxy.ForcedMaint}[words[4]]
	}
	return "", true
}

// serverStates returns the states of all servers. s.mu must be held.
func (s *runtimeSocket) serverStates() (states []haproxy.ServerState) {
	for backendIndex, class := range s.classes {
		for serverIndex, server := range s.servers[class] {
			states = append(states, haproxy.ServerState{
				BackendID: backendIndex + 2, ServerID: serverIndex + 1,
				Backend: class, Server: server.address, Address: server.address,
				OperationalState: haproxy.Running, AdminState: server.adminState,
				Weight: server.weight, InitialWeight: server.initialWeight,
			})
		}
	}
	return states
}

// statRows returns the rows of the statistics of all servers and backends. s.mu must be held.
func (s *runtimeSocket) statRows() (rows []haproxy.Row) {
	row := func(class, name string, kind, id int, server *backendServer) haproxy.Row {
		meanMs := 0.0
		for _, durationMs := range server.durationsMs[:min(server.timedRequests, averagedRequests)] {
			meanMs += durationMs / float64(min(server.timedRequests, averagedRequests))
		}
		return haproxy.Row{
			"pxname": class,
			"svname": name,
			"type":   strconv.Itoa(kind),
			"sid":    strconv.Itoa(id),
			"stot":   strconv.Itoa(server.requests),
			"econ":   strconv.Itoa(server.connectionErrors),
			"eresp":  strconv.Itoa(server.responseErrors),
			"ttime":  strconv.Itoa(int(math.Round(meanMs))),
			"weight": strconv.Itoa(server.weight),
			"status": "UP",
		}
	}
	for _, class := range s.classes {
		for index, server := range s.servers[class] {
			rows = append(rows, row(class, server.address, haproxy.TypeServer, index+1, server))
		}
		rows = append(rows, row(class, "BACKEND", haproxy.TypeBackend, 0, s.backends[class]))
	}
	return rows
}
