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

// socket is a proxy's runtime socket, by the published management guide as far as a steward needs it. What is set by
// it are the proxy's tables.
type runtimeSocket struct {
	proxy    *Proxy
	listener net.Listener

	mu            sync.Mutex
	classes       []string
	servers       map[string][]*backendServer // by class, in the order in which they were added
	backends      map[string]*backendServer   // counters of the classes
	vars          map[string]string
	conns         map[net.Conn]bool
	responseDelay time.Duration
	unresponsive  bool
	refuseUntil   time.Time // no connections before
	version       int
	reloadPending bool    // its tables are made anew in a moment
	changed       bool    // by the last command
	lastChangeMs  float64 // when the last command that changed something was answered
}

// oneMessage ms: commands that follow each other so soon are one message of the steward's.
const messageGapMs = 50.0

// socketServer is a server of a backend.
type backendServer struct {
	address                                    string
	weight, initialWeight                      int
	adminState                                 int
	requests, connectionErrors, responseErrors int
	durationsMs                                [averagedRequests]float64 // of the last good tries, ms
	timedRequests                              int
}

// loadEvery is how long what the socket is told is gathered before the proxy goes by it.
const reloadDelay = 10 * time.Millisecond

// socketTimes are averaged, as the guide has it of its last 1024 requests.
const averagedRequests = 256

func newRuntimeSocket(proxy *Proxy) (*runtimeSocket, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("opening a proxy's socket: %w", err)
	}
	s := &runtimeSocket{proxy: proxy, listener: listener, conns: map[net.Conn]bool{}}
	for _, traffic := range proxy.settings.Traffic {
		s.classes = append(s.classes, traffic.Class)
	}
	return s, nil
}

// SocketAddress is where its runtime socket listens, "" where it has none.
func (p *Proxy) SocketAddress() string {
	if p.socket == nil {
		return ""
	}
	return p.socket.listener.Addr().String()
}

// SocketSlow makes each answer of the socket late; SocketMute lets it take commands and answer none.
func (p *Proxy) SetSocketDelay(delay time.Duration) {
	p.socket.mu.Lock()
	p.socket.responseDelay = delay
	p.socket.mu.Unlock()
}
func (p *Proxy) SetSocketUnresponsive(on bool) {
	p.socket.mu.Lock()
	p.socket.unresponsive = on
	p.socket.mu.Unlock()
}

// SocketRestart starts the proxy anew with its old file: the standing hosts, all counters from 0.
func (p *Proxy) RestartWithInitialConfig() {
	p.socket.closeConns()
	p.socket.reset()
}

// SocketState is what the proxy holds.
func (p *Proxy) ServerStates() []haproxy.ServerState {
	p.socket.mu.Lock()
	defer p.socket.mu.Unlock()
	return p.socket.serverStates()
}

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

func (s *runtimeSocket) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
}

// cut breaks all connections for a time.
func (s *runtimeSocket) disconnect(duration time.Duration) {
	s.mu.Lock()
	s.refuseUntil = time.Now().Add(duration)
	s.mu.Unlock()
	s.closeConns()
}

// reset is the proxy with its old file.
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

// taking are the servers of a class that take traffic. The lock is held.
func (s *runtimeSocket) activeServers(class string) (active []*backendServer) {
	for _, server := range s.servers[class] {
		if server.adminState == 0 && server.weight > 0 {
			active = append(active, server)
		}
	}
	return active
}

// load makes what the socket holds the proxy's tables. The lock is held.
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

// note tells the journal what the proxy now holds. The lock is held.
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

// count takes a transaction into the counters.
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
					time.AfterFunc(reloadDelay, func() { s.mu.Lock(); s.reloadPending = false; s.applyTables(); s.mu.Unlock() })
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

// run carries out a command. The lock is held.
func (s *runtimeSocket) execute(words []string) (answer string, changed bool) {
	command := strings.Join(words[:min(len(words), 2)], " ")
	if command == "show servers" && len(words) > 2 && words[2] == "state" {
		return haproxy.WriteState(s.serverStates()), false
	}
	switch command {
	case "show stat":
		return haproxy.WriteCSV(s.statRows()), false
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
	if command != "add server" && command != "del server" && command != "set server" && command != "set weight" || len(words) < 3 {
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
		s.servers[class] = append(s.servers[class], &backendServer{address: words[3], weight: weight, initialWeight: weight, adminState: haproxy.ForcedMaint})
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

// state is that of all servers. The lock is held.
func (s *runtimeSocket) serverStates() (states []haproxy.ServerState) {
	for backendIndex, class := range s.classes {
		for serverIndex, server := range s.servers[class] {
			states = append(states, haproxy.ServerState{BackendID: backendIndex + 2, ServerID: serverIndex + 1, Backend: class, Server: server.address, Address: server.address, Op: haproxy.Running,
				Admin: server.adminState, Weight: server.weight, Initial: server.initialWeight})
		}
	}
	return states
}

func (s *runtimeSocket) statRows() (rows []haproxy.Row) {
	row := func(class, name string, kind, id int, server *backendServer) haproxy.Row {
		meanMs := 0.0
		for _, durationMs := range server.durationsMs[:min(server.timedRequests, averagedRequests)] {
			meanMs += durationMs / float64(min(server.timedRequests, averagedRequests))
		}
		return haproxy.Row{"pxname": class, "svname": name, "type": strconv.Itoa(kind), "sid": strconv.Itoa(id), "stot": strconv.Itoa(server.requests),
			"econ": strconv.Itoa(server.connectionErrors), "eresp": strconv.Itoa(server.responseErrors), "ttime": strconv.Itoa(int(math.Round(meanMs))), "weight": strconv.Itoa(server.weight), "status": "UP"}
	}
	for _, class := range s.classes {
		for index, server := range s.servers[class] {
			rows = append(rows, row(class, server.address, haproxy.Server, index+1, server))
		}
		rows = append(rows, row(class, "BACKEND", haproxy.Backend, 0, s.backends[class]))
	}
	return rows
}
