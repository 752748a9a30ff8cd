package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"barleysail/client"
	"barleysail/internal/record"
)

// recordController runs a controller on loopback that serves one poll of a proxy. It returns the folder with the
// recordings of the controller and of the proxy, controller.day and proxy.day.
func recordController(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	list := writeTextFile(t, filepath.Join(dir, "hosts.textproto"),
		`hosts { address: "10.0.0.1:80" zone: "a" } hosts { address: "10.0.0.2:80" zone: "a" }`)
	settings := parseConfig(t, `zones: ["a"] listen: "127.0.0.1:0" identity { plain_loopback: true }
		classes { name: "sheet" due_ms: 1000 patience_ms: 2500 } probes { on: false } list { file: "`+list+`" }`)
	settings.Record = filepath.Join(dir, "controller.day")
	controller := startController(t, settings)
	recordProxy(t, filepath.Join(dir, "proxy.day"), func() {
		fetch(t, "http://"+controller.Addr()+"/v1/proxies/p/tables?zone=a")
	})
	if err := controller.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	return dir
}

// recordProxy records a proxy that polls and then completes ten requests.
func recordProxy(t *testing.T, name string, poll func()) {
	t.Helper()
	file, err := os.Create(name)
	if err != nil {
		t.Fatal(err)
	}
	recorder := record.NewProxyRecorder(file, "test", client.Options{Proxy: "p", Zone: "a"})
	poll()
	for range 10 {
		began := time.Now()
		recorder.RecordRequest(client.Request{Class: "sheet", ArrivedAt: began, Admitted: true, Fulfilled: true,
			Attempts: []client.Attempt{{Host: "10.0.0.1:80", StartedAt: began, Duration: time.Millisecond}}})
	}
	if err := recorder.Close(); err != nil {
		t.Fatal(err)
	}
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
}

func TestRecordings(t *testing.T) {
	dir := recordController(t)
	controller, proxy := filepath.Join(dir, "controller.day"), filepath.Join(dir, "proxy.day")
	torn := filepath.Join(dir, "torn")
	text, err := os.ReadFile(controller)
	if err != nil {
		t.Fatal(err)
	}
	writeTextFile(t, torn, string(text[:len(text)-20]))
	part, plot := filepath.Join(dir, "part.day"), filepath.Join(dir, "plot.svg")
	cut := []string{"recordings", "cut", controller, "--from", "0", "--to", "100"}
	comparison := []string{"replay", dir, "--set", "guard.grace_ms=2000"}
	runCases(t, "", []commandCase{
		{"list", []string{"recordings", "list", dir}, 0,
			[]string{"day             from (UTC)", "controller.day  20", "test     whole"}},
		{"check", []string{"recordings", "check", controller, proxy}, 0, []string{"controller.day: ", " records, whole"}},
		{"check a torn one", []string{"recordings", "check", torn}, 1, []string{"1 of 1 recordings are damaged"}},
		{"show", []string{"recordings", "show", controller}, 0,
			[]string{"1 proxies joined and 2 hosts listed", "the list: 2 hosts"}},
		{"show as JSON", []string{"recordings", "show", controller, "--json"}, 0, []string{`"Hosts": 2`}},
		{"show a missing one", []string{"recordings", "show", controller + "x"}, 1, []string{"no such file"}},
		{"cut", append(cut, "-o", part), 0, []string{"part.day: ", " records\n"}},
		{"cut onto an existing file", append(cut, "-o", part), 1, []string{"file exists"}},
		{"cut without an output", cut, 1, []string{"--output that ends in .day"}},
		{"replay the part", []string{"replay", part}, 0, []string{"responses as recorded"}},
		{"replay", []string{"replay", controller}, 0, []string{"controller.day: ", "responses as recorded"}},
		{"replay a proxy's alone", []string{"replay", proxy}, 1, []string{"none of the recordings is a controller's"}},
		{"replay with other settings", append(comparison, "--plot", plot), 0,
			[]string{"service  recorded  replayed", "rule", "changes of mode, with the other setting:"}},
		{"replay with other settings as JSON", append(comparison, "--json"), 0,
			[]string{`"comparison"`, `"same"`, `"other"`}},
		{"replay with an unknown plot form", append(comparison, "--plot", plot+".gif"), 1,
			[]string{"unknown file format, want .svg or .png"}},
		{"replay with an unknown setting", []string{"replay", dir, "--set", "guard.odd=1"}, 1,
			[]string{"unknown field: odd"}},
		{"replay with a malformed setting", []string{"replay", dir, "--set", "guard"}, 1, []string{"guard.grace_ms=2000"}},
		{"replay with settings of other zones", []string{"replay", dir, "--config", "../../examples/steward.textproto"}, 1,
			[]string{"steward.textproto: the zones or the number of classes differ from those of the recording"}},
		{"guard", []string{"guard", "replay", dir}, 0, []string{"day ", "looks", "controller.day"}},
		{"guard without a controller's", []string{"guard", "replay", proxy}, 1,
			[]string{"none of the recordings is a controller's"}},
	})
	if drawing, err := os.ReadFile(plot); err != nil || !strings.Contains(string(drawing), "<svg") {
		t.Errorf("plot: got error %v and %.80q, want an SVG document", err, drawing)
	}
}
