package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"barleysail/client"
	"barleysail/controller"
	"barleysail/internal/config"
	"barleysail/internal/config/configpb"
	"barleysail/internal/golden"
	"barleysail/internal/record"
	"barleysail/internal/record/recordpb"
	"barleysail/solver"
)

const baseConfig = `zones: ["a", "b"] classes { name: "sheet" due_ms: 1000 patience_ms: 2500 earnings: 3 }
classes { name: "finish" due_ms: 500 patience_ms: 1200 earnings: 9 } listen: "127.0.0.1:0" seed: 7 identity { plain_loopback: true }
probes { on: false } channel { lines_per_s: 1000000 most_waiting: 1000000 } `

// testDaemon is a daemon with its list file.
type testDaemon struct {
	*Daemon
	t         *testing.T
	config    *configpb.Config
	hostsFile string
	log       *lockedBuffer
	url       string
}

type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}
func (b *lockedBuffer) String() string { b.mu.Lock(); defer b.mu.Unlock(); return b.Buffer.String() }

func startDaemon(t *testing.T, more string) *testDaemon {
	t.Helper()
	d := &testDaemon{t: t, hostsFile: filepath.Join(t.TempDir(), "hosts.textproto"), log: &lockedBuffer{}}
	if !strings.Contains(more, "list {") {
		more += fmt.Sprintf(" list { file: %q }", d.hostsFile)
	}
	d.writeHosts(`hosts { address: "10.0.0.1:80" zone: "a" } hosts { address: "10.0.0.2:80" zone: "b" weight: 0.5 }`)
	var err error
	if d.config, err = config.Parse("test", []byte(baseConfig+more)); err != nil {
		t.Fatal(err)
	}
	d.start()
	t.Cleanup(func() { d.Kill() })
	return d
}

func (d *testDaemon) start() {
	d.t.Helper()
	var err error
	for range 100 { // the port of a daemon that was killed may be held for a moment
		if d.Daemon, err = Start(d.config, "test", zerolog.New(d.log)); err == nil {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if err != nil {
		d.t.Fatal(err)
	}
	d.config.Listen, d.url = d.Addr(), "http://"+d.Addr()
}

func (d *testDaemon) writeHosts(text string) {
	d.t.Helper()
	next := d.hostsFile + ".next"
	if err := os.WriteFile(next, []byte(text), 0o644); err == nil {
		err = os.Rename(next, d.hostsFile)
	} else {
		d.t.Fatal(err)
	}
}

// eventually waits for something that is sure to come.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !f(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("did not come: %s", what)
		}
	}
}

type httpResult struct {
	status int
	header http.Header
	body   string
}

func (d *testDaemon) request(method, path, body string, header ...string) httpResult {
	d.t.Helper()
	q, err := http.NewRequest(method, d.url+path, strings.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		q.Header.Add(header[i], header[i+1])
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return httpResult{body: err.Error()}
	}
	defer r.Body.Close()
	text, _ := io.ReadAll(r.Body)
	return httpResult{r.StatusCode, r.Header, string(text)}
}

// describe prints an answer with the life's name and the port taken out.
func (d *testDaemon) describe(out *strings.Builder, what string, g httpResult) {
	life := ""
	if tag := g.header.Get("Etag"); tag != "" {
		life, _, _ = strings.Cut(strings.Trim(tag, `"`), "-")
	}
	fmt.Fprintf(out, "%s\n  %d", what, g.status)
	for _, name := range []string{"Etag", "Im", "Delta-Base", "Preference-Applied", "Content-Type", "Allow", "Vary"} {
		if v := g.header.Get(name); v != "" {
			fmt.Fprintf(out, " | %s: %s", name, v)
		}
	}
	fmt.Fprintf(out, "\n  %s\n", strings.TrimSpace(g.body))
	if life != "" {
		text := strings.ReplaceAll(out.String(), life, "LIFE")
		out.Reset()
		out.WriteString(text)
	}
}

// The API as any HTTP client sees it.
func TestAPI(t *testing.T) {
	d := startDaemon(t, "")
	var out strings.Builder
	say := func(what string, g httpResult) httpResult { d.describe(&out, what, g); return g }
	first := say("a proxy joins", d.request("GET", "/v1/proxies/p/tables?zone=a&rate=10", ""))
	tag := first.header.Get("Etag")
	say("the same tag", d.request("GET", "/v1/proxies/p/tables?zone=a", "", "If-None-Match", tag))
	say("HEAD", d.request("HEAD", "/v1/proxies/p/tables?zone=a", ""))
	say("held, and over", d.request("GET", "/v1/proxies/p/tables?zone=a", "", "If-None-Match", "W/"+tag, "Prefer", "respond-async, wait=0"))
	answer := make(chan httpResult)
	go func() {
		answer <- d.request("GET", "/v1/proxies/p/tables?zone=a", "", "If-None-Match", `"x", `+tag, "Prefer", "wait=20", "A-IM", "gzip, merge-patch;q=0.5")
	}()
	eventually(t, "a held poll", func() bool { return d.loop.status().Polls == 1 })
	d.writeHosts(`hosts { address: "10.0.0.1:80" zone: "a" } hosts { address: "10.0.0.2:80" zone: "b" phase: DRAINING }`)
	delta := say("held until a host drains: a delta", <-answer)
	say("the old tag without A-IM", d.request("GET", "/v1/proxies/p/tables?zone=a", "", "If-None-Match", tag))
	say("with A-IM of weight 0", d.request("GET", "/v1/proxies/p/tables?zone=a", "", "If-None-Match", tag, "A-IM", "merge-patch;q=0"))
	say("a tag of another life", d.request("GET", "/v1/proxies/p/tables?zone=a", "", "If-None-Match", `"other-1"`, "A-IM", "merge-patch"))
	say("whatever there is", d.request("GET", "/v1/proxies/p/tables?zone=a", "", "If-None-Match", "*"))
	sums := `{"sender":"s","number":1,"hosts":{"10.0.0.1:80":{"tries":5,"failed":1,"mean":20.5,"span":1000,"load":{"util":0.4,"queue":2}}},"usage":{"sheet":{"came":5,"unanswered":1,"span":1000}}}`
	say("sums", d.request("POST", "/v1/proxies/p/sums", sums, "Content-Type", "application/json"))
	say("the same sums again", d.request("POST", "/v1/proxies/p/sums", sums, "Content-Type", "application/json"))
	say("leaves", d.request("DELETE", "/v1/proxies/p", ""))
	say("leaves again", d.request("DELETE", "/v1/proxies/p", ""))
	say("sums after that", d.request("POST", "/v1/proxies/p/sums", sums, "Content-Type", "application/json"))
	// What is bad is refused with the field's name, and nothing of it is applied.
	say("no zone", d.request("GET", "/v1/proxies/p/tables", ""))
	say("a rate that is none", d.request("GET", "/v1/proxies/p/tables?zone=a&rate=x", ""))
	say("a name with a slash", d.request("GET", "/v1/proxies/a%2Fb/tables?zone=a", ""))
	d.request("GET", "/v1/proxies/p/tables?zone=a", "")
	for _, body := range []string{"", "{", "[]", `{"number":1}x`, `{"number":"1"}`, `{"number":2,"odd":1}`, `{"number":-1}`, `{"number":1e99}`,
		`{"number":2,"hosts":{"10.0.0.1:80":{"tries":1.5}}}`, `{"number":2,"hosts":{"10.0.0.1:80":{"tries":2,"failed":3,"span":1}}}`,
		`{"number":2,"hosts":{"1.1.1.1:1":{"tries":2,"span":1}}}`, `{"number":2,"hosts":{"10.0.0.1:80":{"tries":2,"span":1,"load":{"util":-3}}}}`,
		`{"number":2,"hosts":{"10.0.0.1:80":{"tries":2,"span":1,"mean":NaN}}}`, `{"number":2,"usage":{"nothing":{"came":1,"span":1}}}`} {
		say("sums "+body, d.request("POST", "/v1/proxies/p/sums", body, "Content-Type", "application/json"))
	}
	say("another media type", d.request("POST", "/v1/proxies/p/sums", "a", "Content-Type", "text/plain"))
	say("another method", d.request("PUT", "/v1/proxies/p/tables", ""))
	var st controller.Status
	if g := d.request("GET", "/v1/status", ""); json.Unmarshal([]byte(g.body), &st) != nil || st.Hosts != 2 || st.Joined != 1 {
		t.Errorf("status %s", g.body)
	}
	if delta.status != 226 {
		t.Errorf("no delta came: %+v", delta)
	}
	golden.Trace(t, out.String())
}

// A poll held across the steward's restart: the client comes back, its old tag gets the whole, and meanwhile it
// goes on by its last tables.
func TestRestartWithPendingPoll(t *testing.T) {
	d := startDaemon(t, "")
	c, err := client.New(client.Options{Stewards: []string{d.url}, Proxy: "p", Zone: "a", Least: time.Millisecond, Most: 10 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { c.Run(ctx); close(ended) }()
	eventually(t, "tables", func() bool { return len(c.Tables()["sheet"].Hosts) == 2 })
	eventually(t, "a held poll", func() bool { return d.loop.status().Polls == 1 })
	life := d.loop.status().Life
	d.Kill()
	eventually(t, "the loss", func() bool { return c.Steward() == "" })
	if host, ok := c.Pick("finish"); !ok {
		t.Errorf("no host without a steward, %q", host)
	}
	d.writeHosts(`hosts { address: "10.0.0.3:80" zone: "a" }`)
	d.start()
	eventually(t, "the new tables", func() bool {
		h := c.Tables()["finish"].Hosts
		return len(h) == 1 && h[0].Address == "10.0.0.3:80"
	})
	if now := d.loop.status().Life; now == life {
		t.Errorf("two lives have the name %s", now)
	}
	cancel()
	<-ended
	eventually(t, "the proxy's leaving", func() bool { return d.loop.status().Joined == 0 })
}

// Stewards share nothing: each serves a proxy that polls both, and neither takes the other's tag.
func TestTwoControllersOneProxy(t *testing.T) {
	one, two := startDaemon(t, ""), startDaemon(t, "")
	a, b := one.request("GET", "/v1/proxies/p/tables?zone=a", ""), two.request("GET", "/v1/proxies/p/tables?zone=a", "")
	if a.status != 200 || b.status != 200 || a.header.Get("Etag") == b.header.Get("Etag") {
		t.Fatalf("%+v %+v", a, b)
	}
	cross := two.request("GET", "/v1/proxies/p/tables?zone=a", "", "If-None-Match", a.header.Get("Etag"), "A-IM", "merge-patch", "Prefer", "wait=20")
	if cross.status != 200 || cross.body != b.body {
		t.Errorf("a tag of the other steward: %+v", cross)
	}
}

// A proxy that posts sums but does not poll cannot be told of drains: it has left, and hears so.
func TestStatsDoNotKeepProxyConnected(t *testing.T) {
	d := startDaemon(t, "polls { leave_after_ms: 60 }")
	d.request("GET", "/v1/proxies/p/tables?zone=a", "")
	n := 0
	eventually(t, "the refusal", func() bool {
		n++
		return d.request("POST", "/v1/proxies/p/sums", fmt.Sprintf(`{"number":%d}`, n), "Content-Type", "application/json").status == 409
	})
	if st := d.loop.status(); st.Joined != 0 {
		t.Errorf("%+v", st)
	}
}

// A thousand proxies join at once, are all served, and are all told a drain.
func TestThousandProxiesConnect(t *testing.T) {
	d := startDaemon(t, "fleet { proxies: 1000 }")
	transport := &http.Transport{MaxIdleConnsPerHost: 1000}
	defer transport.CloseIdleConnections()
	web := &http.Client{Transport: transport}
	var all sync.WaitGroup
	failed := make(chan string, 2000)
	for i := range 1000 {
		all.Add(1)
		go func() {
			defer all.Done()
			tag, url := "", fmt.Sprintf("%s/v1/proxies/p%d/tables?zone=a", d.url, i)
			for {
				q, _ := http.NewRequest("GET", url, nil)
				q.Header.Set("Prefer", "wait=30")
				q.Header.Set("If-None-Match", tag)
				r, err := web.Do(q)
				if err != nil {
					failed <- err.Error()
					return
				}
				body, _ := io.ReadAll(r.Body)
				r.Body.Close()
				if r.StatusCode != 200 || !json.Valid(body) {
					failed <- fmt.Sprint(r.StatusCode, string(body))
					return
				}
				if tag = r.Header.Get("Etag"); strings.Contains(string(body), "10.0.0.1:80") && !strings.Contains(string(body), "10.0.0.2:80") {
					return
				}
			}
		}()
	}
	eventually(t, "all held", func() bool { return d.loop.status().Polls == 1000 })
	d.writeHosts(`hosts { address: "10.0.0.1:80" zone: "a" } hosts { address: "10.0.0.2:80" zone: "b" phase: DRAINING }`)
	all.Wait()
	close(failed)
	for f := range failed {
		t.Error(f)
	}
}

// The daemon ends in the middle of what it does: each answer that came is whole, the others did not come.
func TestKillLeavesNoTornResponse(t *testing.T) {
	for round := range 5 {
		d := startDaemon(t, "fleet { proxies: 200 }")
		var all sync.WaitGroup
		whole, broken := 0, make(chan string, 500)
		var mu sync.Mutex
		for i := range 200 {
			all.Add(1)
			go func() {
				defer all.Done()
				tag := ""
				for range 3 {
					g := d.request("GET", fmt.Sprintf("/v1/proxies/p%d/tables?zone=a", i), "", "Prefer", "wait=20", "If-None-Match", tag)
					if g.status == 0 {
						return
					}
					if tag = g.header.Get("Etag"); g.status == 200 && !strings.HasSuffix(g.body, "}}}\n") {
						broken <- g.body
					}
					mu.Lock()
					whole++
					mu.Unlock()
				}
			}()
		}
		eventually(t, "polls", func() bool { return d.loop.status().Polls > 150 })
		d.writeHosts(`hosts { address: "10.0.0.1:80" zone: "a" } hosts { address: "10.0.0.9:80" zone: "b" }`)
		mu.Lock()
		before := whole
		mu.Unlock()
		eventually(t, "a first answer", func() bool { mu.Lock(); defer mu.Unlock(); return whole > before+round*20 })
		d.Kill()
		all.Wait()
		close(broken)
		for b := range broken {
			t.Errorf("a torn document: %s", b)
		}
	}
}

// What the daemon recorded, given to the library alone, leads to the same answers byte for byte; a torn tail
// is seen and left out.
func TestRecordingReplaysIdentically(t *testing.T) {
	file := filepath.Join(t.TempDir(), "day.rec")
	d := startDaemon(t, fmt.Sprintf("record: %q fleet { proxies: 8 }", file))
	var all sync.WaitGroup
	for i := range 8 {
		all.Add(1)
		go func() {
			defer all.Done()
			tag, path := "", fmt.Sprintf("/v1/proxies/p%d/", i)
			for n := range 6 {
				g := d.request("GET", path+"tables?zone=a", "", "Prefer", "wait=1", "If-None-Match", tag, "A-IM", "merge-patch")
				tag = g.header.Get("Etag")
				d.request("POST", path+"sums", fmt.Sprintf(`{"number":%d,"hosts":{"10.0.0.1:80":{"tries":40,"failed":%d,"mean":20,"span":300}}}`, n+1, n), "Content-Type", "application/json")
				if i == 0 && n == 2 {
					d.writeHosts(`hosts { address: "10.0.0.1:80" zone: "a" } hosts { address: "10.0.0.4:80" zone: "b" }`)
				}
			}
			d.request("DELETE", path[:len(path)-1], "")
		}()
	}
	all.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := d.Stop(ctx); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	said, answers, last := replayRecording(t, text)
	if last != io.EOF || len(said) < 30 {
		t.Fatalf("%d answers, then %v", len(said), last)
	}
	if diff := cmp.Diff(said, answers); diff != "" {
		t.Errorf("(-daemon +library):\n%s", diff)
	}
	if _, _, last = replayRecording(t, text[:len(text)/2]); last != record.ErrTorn {
		t.Errorf("a torn tail: %v", last)
	}
}

// responseCollector collects the answers of a steward that is fed a recording.
type responseCollector struct{ responses []string }

func (l *responseCollector) Respond(poll int64, a controller.Response) {
	l.responses = append(l.responses, fmt.Sprint(poll, a.Proxy, a.Kind, a.Tag, a.BaseTag, record.Sum(a.Body())))
}
func (l *responseCollector) CheckHealth(string) {}
func (l *responseCollector) WatchEndpoints()    {}
func (l *responseCollector) Log(string)         {}

func replayRecording(t *testing.T, text []byte) (said, answers []string, last error) {
	r, out := record.NewReader(bytes.NewReader(text)), &responseCollector{}
	var s *controller.Controller
	for {
		rec, err := r.Next()
		if err != nil {
			return said, out.responses, err
		}
		switch x := rec.What.(type) {
		case *recordpb.Record_Start:
			cfg, err := config.Parse("recorded", []byte(x.Start.Config))
			if err != nil {
				t.Fatal(err)
			}
			s = config.Steward(cfg, x.Start.Life, x.Start.Seed)
		case *recordpb.Record_Published:
			p := x.Published
			said = append(said, fmt.Sprint(p.Poll, p.Proxy, controller.ResponseKind(p.Kind), p.Tag, p.Base, p.Sum))
		default:
			if err := record.Feed(s, rec, out); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// A list that is half written, empty or wrong leaves the last good one standing, and the log says so.
func TestEndpointFileErrors(t *testing.T) {
	d := startDaemon(t, "")
	for text, says := range map[string]string{`hosts { address: "10.0.0.1:80" `: "unexpected EOF", "": "no host is listed",
		`hosts { address: "10.0.0.1" zone: "a" }`:                                 "no address:port",
		`hosts { address: "10.0.0.1:80" zone: "c" }`:                              "hosts.textproto:1: hosts[0].zone: ",
		"hosts { address: \"10.0.0.1:80\"\n zone: \"a\"\n weight: -1 }":           "hosts.textproto:3: hosts[0].weight",
		"hosts { address: \"10.0.0.1:80\"\n zone: \"a\"\n colour: \"green\" }":    "hosts.textproto:3:2: unknown field: colour",
		"hosts { address: \"10.0.0.1:80\" zone: \"a\" }\nhosts { zone: \"a\"\n }": "hosts.textproto:2: hosts[1].address: is missing",
	} {
		d.writeHosts(text)
		eventually(t, says+" in "+d.log.String(), func() bool { return strings.Contains(d.log.String(), says) })
		if st := d.loop.status(); st.Hosts != 2 {
			t.Errorf("%q: %d hosts", text, st.Hosts)
		}
	}
	d.writeHosts(`hosts { address: "box-7.addis.example:80" zone: "a" }`)
	eventually(t, "the good list", func() bool { return d.loop.status().Hosts == 1 })
}

// listService is a stand-in that gives a list by long polls with deltas.
type fakeEndpointService struct {
	mu        sync.Mutex
	changed   *sync.Cond
	version   int
	snapshots map[int]string
	deltas    map[int]string
}

func (l *fakeEndpointService) publish(doc, patch string) {
	l.mu.Lock()
	l.version++
	l.snapshots[l.version], l.deltas[l.version] = doc, patch
	l.changed.Broadcast()
	l.mu.Unlock()
}

func (l *fakeEndpointService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	stop := context.AfterFunc(r.Context(), l.changed.Broadcast)
	defer stop()
	held := r.Header.Get("If-None-Match")
	for r.Context().Err() == nil && held == fmt.Sprintf(`"%d"`, l.version) {
		l.changed.Wait()
	}
	w.Header().Set("ETag", fmt.Sprintf(`"%d"`, l.version))
	if held == fmt.Sprintf(`"%d"`, l.version-1) && r.Header.Get("A-IM") == "merge-patch" {
		w.Header().Set("IM", "merge-patch")
		w.Header().Set("Delta-Base", held)
		w.WriteHeader(226)
		io.WriteString(w, l.deltas[l.version])
		return
	}
	io.WriteString(w, l.snapshots[l.version])
}

// The list service is gone for a while: the last list stands, and its changes are followed when it is back.
func TestEndpointServiceOutage(t *testing.T) {
	l := &fakeEndpointService{snapshots: map[int]string{}, deltas: map[int]string{}}
	l.changed = sync.NewCond(&l.mu)
	l.publish(`{"hosts":{"10.0.0.1:80":{"zone":"a"},"10.0.0.2:80":{"zone":"b","phase":"ready","weight":2,"started":5}}}`, "")
	service := &http.Server{Addr: "127.0.0.1:0", Handler: l}
	addr := serveHTTP(t, service, "127.0.0.1:0")
	d := startDaemon(t, fmt.Sprintf(`list { url: "http://%s/hosts" wait_ms: 20000 }`, addr))
	eventually(t, "the list", func() bool { return d.loop.status().Hosts == 2 })
	l.publish(`{"hosts":{"10.0.0.1:80":{"zone":"a"}}}`, `{"hosts":{"10.0.0.2:80":null}}`)
	eventually(t, "a delta", func() bool { return d.loop.status().Hosts == 1 })
	service.Close()
	eventually(t, "the failure", func() bool { return d.loop.status().ListFailed })
	if g := d.request("GET", "/v1/proxies/p/tables?zone=a", ""); g.status != 200 || !strings.Contains(g.body, `"10.0.0.1:80":1`) {
		t.Errorf("without the service: %+v", g)
	}
	l.publish(`{"hosts":{"10.0.0.1:80":{"zone":"a"},"10.0.0.3:80":{"zone":"a"},"10.0.0.4:80":{"zone":"b"}}}`, `{"hosts":{"10.0.0.3:80":{"zone":"a"},"10.0.0.4:80":{"zone":"b"}}}`)
	again := &http.Server{Handler: l}
	serveHTTP(t, again, addr)
	eventually(t, "the list again", func() bool { st := d.loop.status(); return st.Hosts == 3 && !st.ListFailed })
}

// Where hosts tell their cores and proxies their usage, the steward gives its fleet as the solver's problem, and the
// gap of its tables.
func TestFleetProblem(t *testing.T) {
	d := startDaemon(t, "")
	if g := d.request("GET", "/v1/fleet", ""); g.status != 404 {
		t.Errorf("without cores: %+v", g)
	}
	d.writeHosts(`hosts { address: "10.0.0.1:80" zone: "a" cores: 8 } hosts { address: "10.0.0.2:80" zone: "b" cores: 2 speed: 0.5 }`)
	eventually(t, "the list", func() bool { return strings.Count(d.log.String(), "host list read") == 2 })
	d.request("GET", "/v1/proxies/p/tables?zone=a", "")
	d.request("POST", "/v1/proxies/p/sums", `{"number":1,"usage":{"sheet":{"came":100,"span":1000}}}`, "Content-Type", "application/json")
	eventually(t, "the sums to be taken in", func() bool { return d.loop.status().Intake.Taken > 0 })
	var p solver.Problem
	if g := d.request("GET", "/v1/fleet", ""); g.status != 200 || json.Unmarshal([]byte(g.body), &p) != nil {
		t.Fatalf("%+v", g)
	}
	if s, err := p.Solve(); err != nil || len(p.Hosts) != 2 || s.Asked <= 0 || p.Verify(s) != nil {
		t.Errorf("%+v, %v", s, err)
	}
	if g := d.request("GET", "/v1/status", ""); !strings.Contains(g.body, `"gap":{"result":`) {
		t.Errorf("status %s", g.body)
	}
}

// A clean end answers the polls that are held, with what stands, and takes no more; its recording replays to the end.
func TestStopAnswersPendingPolls(t *testing.T) {
	file := filepath.Join(t.TempDir(), "day.rec")
	d := startDaemon(t, fmt.Sprintf("record: %q", file))
	tag := d.request("GET", "/v1/proxies/p/tables?zone=a", "").header.Get("Etag")
	answer := make(chan httpResult)
	go func() {
		answer <- d.request("GET", "/v1/proxies/p/tables?zone=a", "", "If-None-Match", tag, "Prefer", "wait=30")
	}()
	eventually(t, "a held poll", func() bool { return d.loop.status().Polls == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := d.Stop(ctx); err != nil {
		t.Fatal(err)
	}
	if g := <-answer; g.status != 304 || g.header.Get("Etag") != tag {
		t.Errorf("%+v", g)
	}
	if g := d.request("GET", "/v1/status", ""); g.status != 0 {
		t.Errorf("after the end: %+v", g)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	said, answers, last := replayRecording(t, text)
	if diff := cmp.Diff(said, answers); diff != "" || last != io.EOF || len(said) != 2 {
		t.Errorf("%d answers, then %v (-daemon +library):\n%s", len(said), last, diff)
	}
}

func TestMain(m *testing.M) {
	zerolog.SetGlobalLevel(zerolog.InfoLevel)
	os.Exit(m.Run())
}

func serveHTTP(t *testing.T, s *http.Server, addr string) string {
	t.Helper()
	var l net.Listener
	eventually(t, "the port", func() bool {
		var err error
		l, err = net.Listen("tcp", addr)
		return err == nil
	})
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}
