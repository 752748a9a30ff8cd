package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

// steward is one process of the program, with its agent and its channel to the proxies.
type steward struct {
	bed     *bed
	index   int
	zone    string
	address string
	agent   *agent
	config  string
	known   []object

	// The bed's mutex guards the fields below.
	life       int // counts the starts
	up         bool
	stopping   bool // the case has ended or is about to end it
	readyAt    time.Time
	limitsFrom time.Time // time limits begin no sooner
	told       map[string]*toldHost
	channel    channel
	process    *exec.Cmd
	exited     chan struct{}
}

// channel is the channel of a steward's messages.
type channel struct {
	freeAt  time.Time
	waiting float64
	most    float64
	factor  float64 // its pace as a part of the usual one
	pace    float64 // the same, by which the times of the rules grow
}

// freeAddress returns an address at which nobody listens. It is none that outgoing connections get by themselves.
func (b *bed) freeAddress() string {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.250.1:0", b.net))
	if err != nil {
		fail("no free port: %v", err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// addSteward adds a steward that does not run yet.
func (b *bed) addSteward(zone string) *steward {
	s := &steward{bed: b, index: len(b.stewards), zone: zone, told: map[string]*toldHost{}, channel: channel{factor: 1, pace: 1}}
	s.address = b.freeAddress()
	s.agent = b.newAgent(s)
	s.config = filepath.Join(b.folder, fmt.Sprintf("config-%d.json", s.index))
	b.mu.Lock()
	b.stewards = append(b.stewards, s)
	b.mu.Unlock()
	b.onClose(s.kill)
	return s
}

// tell records that the steward was told a host's entry. The caller holds the mutex.
func (s *steward) tell(h *host, now time.Time) {
	known := s.told[h.id]
	if known == nil {
		if h.listed == "Gone" && s.life == 1 {
			return
		}
		known = &toldHost{lifecycle: "", at: now}
		s.told[h.id] = known
	}
	if known.lifecycle != h.listed {
		known.lifecycle, known.at = h.listed, now
		if len(s.bed.order) < 100 && h.listed != "Ready" {
			s.bed.logf("steward %d is told that %s of zone %s is %s", s.index, h.id, h.zone, h.listed)
		}
	}
	if known.startedMs != h.startedMs {
		known.startedMs, known.startAt = h.startedMs, now
	}
}

// runCommand returns the command of the deploy file that starts a steward.
func runCommand(root string) string {
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		fail("the deploy file: %v", err)
	}
	match := regexp.MustCompile(`(?m)^run *= *"([^"]*)"`).FindSubmatch(text)
	if match == nil {
		fail("the deploy file names no run")
	}
	return string(match[1])
}

// writeConfig writes the configuration file.
func (s *steward) writeConfig() {
	b := s.bed
	b.mu.Lock()
	known := []object{}
	for _, h := range b.order {
		if s.life == 0 && h.listed != "Gone" {
			known = append(known, h.entry())
		}
		if told := s.told[h.id]; told != nil && told.lifecycle != "Gone" && told.lifecycle != "" {
			entry := h.entry()
			entry["lifecycle"], entry["startedAtMs"] = told.lifecycle, told.startedMs
			known = append(known, entry)
		}
	}
	document := object{"name": fmt.Sprintf("n%d", s.index), "listen": s.address, "discovery": s.agent.address,
		"seed":     fmt.Sprintf("%016x", b.random.Uint64()),
		"limits":   object{"cores": b.set.Cores, "memory_mb": b.set.MemoryMB, "sockets": b.set.Sockets},
		"known":    object{"generation": 1, "reset": true, "instances": known},
		"settings": b.set.document(s.index, s.zone)}
	b.mu.Unlock()
	text, err := json.Marshal(document)
	if err == nil {
		err = os.WriteFile(s.config+".new", text, 0o644)
	}
	if err == nil {
		err = os.Rename(s.config+".new", s.config)
	}
	if err != nil {
		fail("the configuration: %v", err)
	}
}

// start starts the steward's process and waits until it answers a PING.
func (s *steward) start() {
	b := s.bed
	s.writeConfig()
	logFile, err := os.OpenFile(s.config+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		fail("the log: %v", err)
	}
	cmd := exec.Command("/bin/sh", "-c", runCommand(b.root))
	cmd.Dir = b.root
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.Env = append(os.Environ(), "EDGE_NAME="+fmt.Sprintf("n%d", s.index), "EDGE_LISTEN="+s.address,
		"EDGE_DISCOVERY="+s.agent.address, "EDGE_CONFIG="+s.config, "TMPDIR="+b.folder)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	b.mu.Lock()
	s.life++
	s.told = map[string]*toldHost{}
	s.channel = channel{factor: s.channel.factor, pace: s.channel.pace}
	s.stopping = false
	s.process = cmd
	s.exited = make(chan struct{})
	exited := s.exited
	b.mu.Unlock()
	if err := cmd.Start(); err != nil {
		fail("starting a steward: %v", err)
	}
	go func() {
		err := cmd.Wait()
		_ = logFile.Close()
		b.mu.Lock()
		s.up = false
		if !s.stopping && !b.closed {
			b.breach("crash", "steward %d ended by itself: %v", s.index, err)
		}
		b.mu.Unlock()
		close(exited)
	}()
	deadline := time.Now().Add(30 * time.Second)
	for !s.ping() {
		if time.Now().After(deadline) {
			b.mu.Lock()
			b.breach("ready", "steward %d is not ready after 30 s", s.index)
			b.mu.Unlock()
			fail("steward %d is not ready", s.index)
		}
		time.Sleep(20 * time.Millisecond)
	}
	b.mu.Lock()
	s.up = true
	s.readyAt = time.Now()
	s.limitsFrom = s.readyAt.Add(firstLimits)
	b.mu.Unlock()
	b.logf("steward %d is ready, life %d", s.index, s.life)
}

// ping reports whether the steward answers a PING.
func (s *steward) ping() bool {
	conn, err := net.DialTimeout("tcp", s.address, 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(500 * time.Millisecond))
	if _, err := conn.Write(encode("PING")); err != nil {
		return false
	}
	words, err := newDecoder(conn).read()
	return err == nil && len(words) == 1 && words[0] == "PONG"
}

// signal sends the process a signal.
func (s *steward) signal(signal syscall.Signal) {
	s.bed.mu.Lock()
	process := s.process
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		s.stopping = true
		s.up = false
	}
	s.bed.mu.Unlock()
	if process != nil && process.Process != nil {
		_ = syscall.Kill(process.Process.Pid, signal)
	}
}

// kill ends the process outright and waits for its end.
func (s *steward) kill() {
	s.bed.mu.Lock()
	exited := s.exited
	s.bed.mu.Unlock()
	if exited == nil {
		return
	}
	s.signal(syscall.SIGKILL)
	<-exited
}

// keepLog appends the steward's log to the record.
func (s *steward) keepLog(lines int) {
	text, err := os.ReadFile(s.config + ".log")
	if err != nil {
		return
	}
	for i, line := 0, ""; i < lines && len(text) > 0; i++ {
		line, text = cutLine(text)
		s.bed.logf("log of steward %d: %.300s", s.index, line)
	}
}

func cutLine(text []byte) (string, []byte) {
	for i, c := range text {
		if c == '\n' {
			return string(text[:i]), text[i+1:]
		}
	}
	return string(text), nil
}
