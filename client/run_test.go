package client

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// testTimeout bounds a wait for the client, which takes milliseconds.
const testTimeout = 10 * time.Second

// fakeController answers a client's requests by functions, and sends the requests to its channels.
type fakeController struct {
	*httptest.Server
	polls     chan *http.Request
	offers    chan string
	stats     chan statsReport
	shutdowns chan struct{} // receives a value when the client notifies it of the shutdown
}

// newFakeController starts a controller. answerPoll answers a poll, answerStats returns the status for a report.
func newFakeController(
	t *testing.T, answerPoll http.HandlerFunc, answerStats func() int,
) *fakeController {
	t.Helper()
	controller := &fakeController{
		polls:     make(chan *http.Request, 100),
		offers:    make(chan string, 100),
		stats:     make(chan statsReport, 1000),
		shutdowns: make(chan struct{}, 1),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/proxies/p/tables", func(w http.ResponseWriter, r *http.Request) {
		offer, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		controller.offers <- string(offer)
		controller.polls <- r
		answerPoll(w, r)
	})
	mux.HandleFunc("POST /v1/proxies/p/sums", func(w http.ResponseWriter, r *http.Request) {
		var report statsReport
		if err := json.NewDecoder(r.Body).Decode(&report); err != nil {
			t.Error(err)
		}
		controller.stats <- report
		w.WriteHeader(answerStats())
	})
	mux.HandleFunc("DELETE /v1/proxies/p", func(http.ResponseWriter, *http.Request) {
		controller.shutdowns <- struct{}{}
	})
	controller.Server = httptest.NewServer(mux)
	t.Cleanup(controller.Close)
	return controller
}

func acceptStats() int { return http.StatusNoContent }

// receive waits for the next value.
func receive[T any](t *testing.T, values <-chan T) T {
	t.Helper()
	select {
	case value := <-values:
		return value
	case <-time.After(testTimeout):
		t.Fatalf("no value received within %v", testTimeout)
		panic("unreachable")
	}
}

// respond sends a response with an entity tag: a snapshot, a delta or, with an empty body, 304 Not Modified.
func respond(t *testing.T, w http.ResponseWriter, status int, tag, body string) {
	w.Header().Set("ETag", tag)
	w.WriteHeader(status)
	if body == "" {
		return
	}
	if _, err := io.WriteString(w, body); err != nil {
		t.Error(err)
	}
}

// holdPoll holds a poll until the client cancels it.
func holdPoll(r *http.Request) { <-r.Context().Done() }

// start runs a client and returns the tags of the tables that it applies, and a function that stops it.
func start(t *testing.T, options Options) (client *Client, applied <-chan string, stop func()) {
	t.Helper()
	tags := make(chan string, 100)
	options.Proxy = "p"
	options.Zone = "a"
	options.MinBackoff = time.Millisecond
	options.OnTablesApplied = func(tag string) { tags <- tag }
	client, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel) // before the controllers close, which wait for the polls that they hold
	ended := make(chan error, 1)
	go func() { ended <- client.Run(ctx) }()
	stop = func() {
		t.Helper()
		cancel()
		if err := receive(t, ended); !errors.Is(err, context.Canceled) {
			t.Errorf("error of Run: got %v, want %v", err, context.Canceled)
		}
	}
	return client, tags, stop
}

// A client applies a snapshot and deltas, sends request stats again until they are accepted, and notifies the
// controller of its shutdown.
func TestRun(t *testing.T) {
	answerPoll := func(w http.ResponseWriter, r *http.Request) {
		switch r.Header.Get("If-None-Match") {
		case "":
			respond(t, w, http.StatusOK, `"1"`, testDocument)
		case `"1"`:
			w.Header().Set("IM", "merge-patch")
			w.Header().Set("Delta-Base", `"1"`)
			respond(t, w, http.StatusIMUsed, `"2"`, `{"tables":{"sheet":{"hosts":{"b:1":null}}}}`)
		default:
			holdPoll(r)
		}
	}
	answers := []int{http.StatusTooManyRequests, http.StatusInternalServerError}
	answerStats := func() int {
		if len(answers) == 0 {
			return http.StatusNoContent
		}
		status := answers[0]
		answers = answers[1:]
		return status
	}
	controller := newFakeController(t, answerPoll, answerStats)
	client, applied, stop := start(t, Options{
		Controllers:    []string{controller.URL + "/"},
		RequestRate:    7.5,
		ReportInterval: time.Millisecond,
		PollTimeout:    time.Minute,
	})
	poll := receive(t, controller.polls)
	if query := poll.URL.RawQuery; query != "zone=a&rate=7.5" {
		t.Errorf("query of the poll: got %q, want %q", query, "zone=a&rate=7.5")
	}
	if prefer := poll.Header.Get("Prefer"); prefer != "wait=60" {
		t.Errorf("Prefer field of the poll: got %q, want %q", prefer, "wait=60")
	}
	for _, want := range []string{"1", "2"} {
		if tag := receive(t, applied); tag != want {
			t.Errorf("tag of the applied tables: got %q, want %q", tag, want)
		}
	}
	if hosts := client.Tables()["sheet"].Hosts; len(hosts) != 1 || client.Controller() != controller.URL {
		t.Errorf("got the hosts %v of controller %s, want one of %s", hosts, client.Controller(), controller.URL)
	}
	for _, want := range []int64{1, 1, 1, 2} { // a 429, a 500, accepted, and the next one
		if report := receive(t, controller.stats); report.Sequence != want || report.Sender != client.sender {
			t.Errorf("got report %d of %s, want %d of %s", report.Sequence, report.Sender, want, client.sender)
		}
	}
	stop()
	receive(t, controller.shutdowns)
}

// A client whose controller fails polls the next one, and offers it the tables so that it continues with deltas.
func TestFailOver(t *testing.T) {
	first := newFakeController(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("If-None-Match") == "" {
			respond(t, w, http.StatusOK, `"1"`, testDocument)
			return
		}
		respond(t, w, http.StatusServiceUnavailable, "", "going down")
	}, acceptStats)
	second := newFakeController(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			respond(t, w, http.StatusNotModified, `"1"`, "")
			return
		}
		holdPoll(r)
	}, acceptStats)
	logs := make(chan string, 100)
	client, applied, stop := start(t, Options{
		Controllers: []string{first.URL, second.URL},
		OfferTables: true,
		Log:         func(text string) { logs <- text },
	})
	if tag := receive(t, applied); tag != "1" {
		t.Errorf("tag of the applied tables: got %q, want %q", tag, "1")
	}
	var offered struct {
		Tag    string
		Tables map[string]any
	}
	if err := json.Unmarshal([]byte(receive(t, second.offers)), &offered); err != nil {
		t.Fatal(err)
	}
	if offered.Tag != "1" || len(offered.Tables) != 2 {
		t.Errorf("offered tables: got %+v, want two with the tag 1", offered)
	}
	receive(t, second.offers) // the next poll, after the response was taken
	if got := client.Controller(); got != second.URL {
		t.Errorf("controller after the failover: got %q, want %q", got, second.URL)
	}
	stop()
	for _, want := range []string{"joined ", "going down", "joined "} {
		if text := receive(t, logs); !strings.Contains(text, want) {
			t.Errorf("log line: got %q, want one with %q", text, want)
		}
	}
}

// After a response that cannot be applied the next poll asks for a snapshot.
func TestUnknownManipulation(t *testing.T) {
	controller := newFakeController(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("If-None-Match") == "" {
			respond(t, w, http.StatusOK, `"1"`, testDocument)
			return
		}
		w.Header().Set("IM", "zip")
		respond(t, w, http.StatusIMUsed, `"2"`, "{}")
	}, acceptStats)
	_, applied, stop := start(t, Options{Controllers: []string{controller.URL}})
	for range 2 {
		if tag := receive(t, applied); tag != "1" {
			t.Errorf("tag of the applied tables: got %q, want %q", tag, "1")
		}
	}
	stop()
}

func TestRunWithoutController(t *testing.T) {
	client, err := New(Options{Proxy: "p", Zone: "a"})
	if err != nil {
		t.Fatal(err)
	}
	if err := client.Run(context.Background()); !errors.Is(err, errNoController) {
		t.Errorf("error of Run: got %v, want %v", err, errNoController)
	}
}
