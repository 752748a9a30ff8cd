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
type socket struct {
	f        *Forwarder
	listener net.Listener

	mu      sync.Mutex
	classes []string
	servers map[string][]*socketServer // by class, in the order in which they were added
	backend map[string]*socketServer   // counters of the classes
	vars    map[string]string
	conns   map[net.Conn]bool
	slow    time.Duration
	mute    bool
	until   time.Time // no connections before
	version int
	loading bool    // its tables are made anew in a moment
	changed bool    // by the last command
	said    float64 // when the last command that changed something was answered
}

// oneMessage ms: commands that follow each other so soon are one message of the steward's.
const oneMessage = 50.0

// socketServer is a server of a backend.
type socketServer struct {
	address            string
	weight, initial    int
	admin              int
	total, econ, eresp int
	times              [socketTimes]float64 // of the last good tries, ms
	timed              int
}

// loadEvery is how long what the socket is told is gathered before the proxy goes by it.
const loadEvery = 10 * time.Millisecond

// socketTimes are averaged, as the guide has it of its last 1024 requests.
const socketTimes = 256

func newSocket(f *Forwarder) (*socket, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("opening a proxy's socket: %w", err)
	}
	s := &socket{f: f, listener: l, conns: map[net.Conn]bool{}}
	for _, t := range f.set.Traffic {
		s.classes = append(s.classes, t.Class)
	}
	return s, nil
}

// SocketAddress is where its runtime socket listens, "" where it has none.
func (f *Forwarder) SocketAddress() string {
	if f.socket == nil {
		return ""
	}
	return f.socket.listener.Addr().String()
}

// SocketSlow makes each answer of the socket late; SocketMute lets it take commands and answer none.
func (f *Forwarder) SocketSlow(d time.Duration) {
	f.socket.mu.Lock()
	f.socket.slow = d
	f.socket.mu.Unlock()
}
func (f *Forwarder) SocketMute(on bool) { f.socket.mu.Lock(); f.socket.mute = on; f.socket.mu.Unlock() }

// SocketRestart starts the proxy anew with its old file: the standing hosts, all counters from 0.
func (f *Forwarder) SocketRestart() {
	f.socket.drop()
	f.socket.reset()
}

// SocketState is what the proxy holds.
func (f *Forwarder) SocketState() []haproxy.ServerState {
	f.socket.mu.Lock()
	defer f.socket.mu.Unlock()
	return f.socket.state()
}

func (s *socket) begin() {
	s.reset()
	go func() {
		for {
			c, err := s.listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			if time.Now().Before(s.until) {
				s.mu.Unlock()
				c.Close()
				continue
			}
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
}

func (s *socket) close() { s.listener.Close(); s.drop() }

func (s *socket) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// cut breaks all connections for a time.
func (s *socket) cut(d time.Duration) {
	s.mu.Lock()
	s.until = time.Now().Add(d)
	s.mu.Unlock()
	s.drop()
}

// reset is the proxy with its old file.
func (s *socket) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers, s.backend, s.vars = map[string][]*socketServer{}, map[string]*socketServer{}, map[string]string{}
	for _, c := range s.classes {
		s.backend[c] = &socketServer{}
		for _, host := range s.f.set.Standing {
			s.servers[c] = append(s.servers[c], &socketServer{address: host, weight: 100, initial: 100})
		}
	}
	s.load()
}

// taking are the servers of a class that take traffic. The lock is held.
func (s *socket) taking(class string) (all []*socketServer) {
	for _, v := range s.servers[class] {
		if v.admin == 0 && v.weight > 0 {
			all = append(all, v)
		}
	}
	return all
}

// load makes what the socket holds the proxy's tables. The lock is held.
func (s *socket) load() {
	type table struct {
		Hosts map[string]float64 `json:"hosts"`
		Share float64            `json:"share"`
		Tries int                `json:"tries"`
	}
	doc := map[string]map[string]table{"tables": {}}
	for _, c := range s.classes {
		t := table{map[string]float64{}, 1, 1}
		if x, err := strconv.ParseFloat(s.vars["proc."+publisher.AdmissionRatioVariablePrefix+c], 64); err == nil {
			t.Share = x / 1000
		}
		for _, v := range s.taking(c) {
			t.Hosts[v.address] = float64(v.weight)
		}
		doc["tables"][c] = t
	}
	text, _ := json.Marshal(doc)
	s.version++
	s.f.Client.Load(strconv.Itoa(s.version), text)
}

// note tells the journal what the proxy now holds. The lock is held.
func (s *socket) note(lines int, more, joined bool) {
	j := s.f.set.Journal
	if j == nil {
		return
	}
	hosts := map[string]map[string]bool{}
	for _, c := range s.classes {
		hosts[c] = map[string]bool{}
		for _, v := range s.taking(c) {
			hosts[c][v.address] = true
		}
	}
	life, _, _ := strings.Cut(s.vars["proc."+publisher.OwnerVariable], ":")
	j.LogProxyState(Now(), s.f.set.Name, life, lines, more, hosts, joined)
}

// count takes a transaction into the counters.
func (s *socket) count(t client.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backend[t.Class]
	if b == nil {
		return
	}
	b.total++
	for _, try := range t.Attempts {
		for _, v := range s.servers[t.Class] {
			if v.address != try.Host {
				continue
			}
			switch try.Result {
			case client.Fulfilled:
				v.total++
				v.times[v.timed%socketTimes] = try.Duration.Seconds() * 1000
				v.timed++
			case client.NeverRan:
				v.econ++
			default:
				v.total, v.eresp = v.total+1, v.eresp+1
			}
		}
	}
	if !t.Fulfilled && t.Admitted {
		b.eresp++
	}
}

func (s *socket) serve(c net.Conn) {
	joined := false
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		if joined {
			s.note(0, false, false)
		}
		s.mu.Unlock()
	}()
	in, prompt := bufio.NewReader(c), false
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		s.mu.Lock()
		slow, mute := s.slow, s.mute
		s.mu.Unlock()
		if mute {
			continue
		}
		s.mu.Lock()
		more := Now()-s.said < oneMessage
		s.mu.Unlock()
		time.Sleep(slow)
		var out strings.Builder
		for _, command := range strings.Split(strings.TrimSpace(line), ";") {
			w := strings.Fields(command)
			if len(w) == 1 && w[0] == "prompt" {
				prompt = !prompt
				out.WriteString("\n")
				continue
			}
			s.mu.Lock()
			answer, changed := s.run(w)
			if changed {
				if !s.loading {
					s.loading = true
					time.AfterFunc(loadEvery, func() { s.mu.Lock(); s.loading = false; s.load(); s.mu.Unlock() })
				}
				joined, s.changed = true, true
				s.note(1, more, true)
			}
			s.mu.Unlock()
			out.WriteString(answer + "\n")
		}
		if prompt {
			out.WriteString("> ")
		}
		if _, err := io.WriteString(c, out.String()); err != nil || !prompt {
			return
		}
		s.mu.Lock()
		if s.changed {
			s.said, s.changed = Now(), false
		}
		s.mu.Unlock()
	}
}

// run carries out a command. The lock is held.
func (s *socket) run(w []string) (answer string, changed bool) {
	command := strings.Join(w[:min(len(w), 2)], " ")
	if command == "show servers" && len(w) > 2 && w[2] == "state" {
		return haproxy.FormatState(s.state()), false
	}
	switch command {
	case "show stat":
		return haproxy.FormatCSV(s.stat()), false
	case "get var":
		if v, ok := s.vars[w[2]]; ok {
			return w[2] + ": type=str value=<" + v + ">\n", false
		}
		return w[2] + ": not found\n", false
	case "set var":
		v := w[3]
		v = strings.TrimSuffix(v[strings.IndexByte(v, '(')+1:], ")")
		old := s.vars[w[2]]
		s.vars[w[2]] = v
		return "", old != v && strings.Contains(w[2], publisher.AdmissionRatioVariablePrefix)
	}
	at := 2
	if command != "add server" && command != "del server" && command != "set server" && command != "set weight" || len(w) < 3 {
		return "Unknown command.\n", false
	}
	class, name, _ := strings.Cut(w[at], "/")
	if !slices.Contains(s.classes, class) {
		return "No such backend.\n", false
	}
	i := slices.IndexFunc(s.servers[class], func(v *socketServer) bool { return v.address == name })
	if command == "add server" {
		if i >= 0 {
			return "Already exists a server with the same name in backend.\n", false
		}
		n, _ := strconv.Atoi(w[5])
		s.servers[class] = append(s.servers[class], &socketServer{address: w[3], weight: n, initial: n, admin: haproxy.ForcedMaint})
		return "New server registered.\n", true
	}
	if i < 0 {
		return "No such server.\n", false
	}
	v := s.servers[class][i]
	switch {
	case command == "del server" && v.admin&haproxy.ForcedMaint == 0:
		return "Only servers in maintenance mode can be deleted.\n", false
	case command == "del server":
		s.servers[class] = slices.Delete(s.servers[class], i, i+1)
		return "Server deleted.\n", true
	case command == "set weight":
		v.weight, _ = strconv.Atoi(w[3])
	case w[3] == "state":
		v.admin = map[string]int{"drain": haproxy.ForcedDrain, "maint": haproxy.ForcedMaint}[w[4]]
	}
	return "", true
}

// state is that of all servers. The lock is held.
func (s *socket) state() (all []haproxy.ServerState) {
	for b, c := range s.classes {
		for i, v := range s.servers[c] {
			all = append(all, haproxy.ServerState{BackendID: b + 2, ServerID: i + 1, Backend: c, Server: v.address, Address: v.address, OperationalState: haproxy.Running,
				AdminState: v.admin, Weight: v.weight, InitialWeight: v.initial})
		}
	}
	return all
}

func (s *socket) stat() (rows []haproxy.Row) {
	row := func(class, name string, kind, id int, v *socketServer) haproxy.Row {
		mean := 0.0
		for _, x := range v.times[:min(v.timed, socketTimes)] {
			mean += x / float64(min(v.timed, socketTimes))
		}
		return haproxy.Row{"pxname": class, "svname": name, "type": strconv.Itoa(kind), "sid": strconv.Itoa(id), "stot": strconv.Itoa(v.total),
			"econ": strconv.Itoa(v.econ), "eresp": strconv.Itoa(v.eresp), "ttime": strconv.Itoa(int(math.Round(mean))), "weight": strconv.Itoa(v.weight), "status": "UP"}
	}
	for _, c := range s.classes {
		for i, v := range s.servers[c] {
			rows = append(rows, row(c, v.address, haproxy.TypeServer, i+1, v))
		}
		rows = append(rows, row(c, "BACKEND", haproxy.TypeBackend, 0, s.backend[c]))
	}
	return rows
}
