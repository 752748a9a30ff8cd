package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// This file has the stand-ins for the program's daemon: servers, proxies that poll for their tables over HTTP, and
// operators.

// graceMs is the daemon's grace for drains in these cases.
const graceMs = 2000

// workServer is a stand-in of a server that counts the requests it runs.
type workServer struct {
	address, zone string

	mu   sync.Mutex
	runs []time.Time
}

// daemonBed is what a case with the daemon plays on.
type daemonBed struct {
	*bed
	servers  []*workServer
	stewards []*daemon // the leader first, then its standby, if there is one

	dmu    sync.Mutex
	joined map[string]time.Time // when a proxy last joined, by name
}

// daemon is one process of the daemon.
type daemon struct {
	bed     *daemonBed
	address string
	config  string
	log     string
	process *exec.Cmd     // guarded by the bed's dmu
	exited  chan struct{} // likewise
}

func newDaemonBed(b *bed, perZone int) *daemonBed {
	d := &daemonBed{bed: b, joined: map[string]time.Time{}}
	var list strings.Builder
	for i, zone := range []string{"hill", "lake"} {
		for k := range perZone {
			listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", b.net, i+1, k+1))
			if err != nil {
				fail("a server could not listen: %v", err)
			}
			s := &workServer{address: listener.Addr().String(), zone: zone}
			server := &http.Server{Handler: http.HandlerFunc(s.run)}
			go func() { _ = server.Serve(listener) }()
			b.onClose(func() { _ = server.Close() })
			d.servers = append(d.servers, s)
			fmt.Fprintf(&list, "hosts { address: %q zone: %q }\n", s.address, zone)
		}
	}
	d.write("hosts.textproto", list.String())
	d.addDaemon("")
	return d
}

// addDaemon adds a steward with a state folder of its own; more is the rest of its configuration.
func (d *daemonBed) addDaemon(more string) *daemon {
	name := fmt.Sprintf("steward-%d", len(d.stewards))
	s := &daemon{bed: d, address: d.freeAddress(), config: filepath.Join(d.folder, name+".textproto"),
		log: filepath.Join(d.folder, name+".log")}
	d.write(name+".textproto", fmt.Sprintf(`listen: %q
zones: ["hill", "lake"]
classes { name: "sheet" due_ms: 1000 patience_ms: 2500 earnings: 3 }
classes { name: "finish" due_ms: 500 patience_ms: 1200 earnings: 9 }
fleet { proxies: 4 }
guard { grace_ms: %d }
list { file: "hosts.textproto" }
probes { on: false }
state { folder: "state-%s" }
identity { plain_loopback: true }
%s
`, s.address, graceMs, name, more))
	d.stewards = append(d.stewards, s)
	d.onClose(func() { s.end(syscall.SIGKILL) })
	return s
}

func (d *daemonBed) write(name, text string) {
	if err := os.WriteFile(filepath.Join(d.folder, name), []byte(text), 0o644); err != nil {
		fail("%v", err)
	}
}

func (s *workServer) run(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.runs = append(s.runs, time.Now())
	s.mu.Unlock()
	_, _ = w.Write([]byte("done\n"))
}

// since returns how many requests the server has run since a time.
func (s *workServer) since(from time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, at := range s.runs {
		if !at.Before(from) {
			count++
		}
	}
	return count
}

// launch starts the daemon and waits until it answers.
func (s *daemon) launch() {
	d := s.bed
	logFile, err := os.OpenFile(s.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		fail("the log: %v", err)
	}
	root, err := filepath.Abs(d.root)
	if err != nil {
		fail("%v", err)
	}
	cmd := exec.Command(filepath.Join(root, "bin/barleysail"), "run", "--config", s.config)
	cmd.Dir = d.folder
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		fail("starting the steward: %v", err)
	}
	exited := make(chan struct{})
	d.dmu.Lock()
	s.process, s.exited = cmd, exited
	d.dmu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = logFile.Close()
		close(exited)
	}()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + s.address + "/v1/status")
		if err == nil {
			_ = response.Body.Close()
			break
		}
		if time.Now().After(deadline) {
			fail("the steward is not ready: %v", err)
		}
	}
	d.logf("the steward at %s is ready", s.address)
}

// end sends the daemon a signal and waits for its end.
func (s *daemon) end(signal syscall.Signal) {
	s.bed.dmu.Lock()
	process, exited := s.process, s.exited
	s.process = nil
	s.bed.dmu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Signal(signal)
	select {
	case <-exited:
	case <-time.After(5 * time.Second):
		_ = process.Process.Kill()
		<-exited
	}
}

// order has an operator post a command.
func (d *daemonBed) order(path, body string) {
	response, err := http.Post("http://"+d.stewards[0].address+path, "application/json", strings.NewReader(body))
	if err != nil {
		fail("the operator's command: %v", err)
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	d.logf("operator: POST %s %s: answered %s %s", path, body, response.Status, strings.TrimSpace(string(text)))
	if response.StatusCode/100 != 2 {
		fail("the command was not accepted")
	}
}

// proxy polls for its tables until the bed ends, and sends 20 requests a second by what it holds.
func (d *daemonBed) proxy(name, zone string) {
	var mu sync.Mutex
	var table []string
	go func() {
		tag := ""
		connected := false
		for current := 0; !d.ended(); {
			hosts, newTag, err := d.poll(d.stewards[current].address, name, zone, tag)
			if err != nil {
				connected = false
				tag = ""
				current = (current + 1) % len(d.stewards)
				time.Sleep(200 * time.Millisecond)
				continue
			}
			d.dmu.Lock()
			if !connected {
				d.joined[name] = time.Now()
			}
			d.dmu.Unlock()
			connected = true
			if newTag != tag {
				d.logf("proxy %s goes by table %s of %s: %s", name, newTag, d.stewards[current].address, strings.Join(hosts, " "))
				tag = newTag
				mu.Lock()
				table = hosts
				mu.Unlock()
			}
		}
	}()
	go func() {
		for i := 0; !d.ended(); i++ {
			time.Sleep(50 * time.Millisecond)
			mu.Lock()
			hosts := table
			mu.Unlock()
			if len(hosts) > 0 {
				response, err := http.Get("http://" + hosts[i%len(hosts)] + "/work")
				if err == nil {
					_ = response.Body.Close()
				}
			}
		}
	}()
}

func (d *daemonBed) ended() bool {
	select {
	case <-d.stop:
		return true
	default:
		return false
	}
}

// poll makes one long poll of a steward and returns the hosts of the first class.
func (d *daemonBed) poll(address, name, zone, tag string) ([]string, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet,
		"http://"+address+"/v1/proxies/"+name+"/tables?zone="+zone, nil)
	if err != nil {
		return nil, "", err
	}
	request.Header.Set("Prefer", "wait=5")
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, "", err
	}
	if response.StatusCode == http.StatusNotModified {
		return nil, tag, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, "", fmt.Errorf("%s", response.Status)
	}
	var document struct {
		Tables map[string]struct{ Hosts map[string]float64 }
	}
	if err := json.Unmarshal(body, &document); err != nil {
		return nil, "", err
	}
	var hosts []string
	for host := range document.Tables["sheet"].Hosts {
		hosts = append(hosts, host)
	}
	return hosts, response.Header.Get("ETag"), nil
}

// lastJoin returns when the last proxy joined.
func (d *daemonBed) lastJoin() time.Time {
	d.dmu.Lock()
	defer d.dmu.Unlock()
	var last time.Time
	for _, at := range d.joined {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// judge breaks the rule on draining for each server that ran a request since a time.
func (d *daemonBed) judge(servers []*workServer, from time.Time, what string) {
	for _, s := range servers {
		count := s.since(from)
		d.logf("server %s of zone %s ran %d requests in the last %.1f s, %d in all", s.address, s.zone, count,
			time.Since(from).Seconds(), s.since(time.Time{}))
		if count > 0 {
			d.mu.Lock()
			d.breach("drain", "server %s of zone %s, %s, ran %d requests after the grace", s.address, s.zone, what, count)
			d.mu.Unlock()
		}
	}
}
