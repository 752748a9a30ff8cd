package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"barleysail/client"
	"barleysail/internal/config"
	"barleysail/internal/daemon"
	"barleysail/internal/record"
	"barleysail/internal/statefile"
	"barleysail/state"
	"barleysail/state/statepb"
)

const exampleFleet = "../../examples/fleet.textproto"

// commandCase is a command line with its expected exit code and parts of its output.
type commandCase struct {
	name string
	args []string
	code int
	want []string
}

func (c commandCase) run(t *testing.T) {
	t.Helper()
	t.Run(c.name, func(t *testing.T) {
		t.Helper()
		out, code := command(t, "", c.args...)
		if code != c.code {
			t.Errorf("exit code %d, want %d:\n%s", code, c.code, out)
		}
		for _, part := range c.want {
			if !strings.Contains(out, part) {
				t.Errorf("no %q in:\n%s", part, out)
			}
		}
	})
}

func writeTextFile(t *testing.T, name, text string) string {
	t.Helper()
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

// recordController records a controller on loopback that serves one proxy for a moment, and the proxy's own recording.
// It returns the folder of both files.
func recordController(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	list := writeTextFile(t, filepath.Join(dir, "hosts.textproto"),
		`hosts { address: "10.0.0.1:80" zone: "a" } hosts { address: "10.0.0.2:80" zone: "a" }`)
	settings, err := config.Parse("test", []byte(`zones: ["a"] listen: "127.0.0.1:0" identity { plain_loopback: true }
		classes { name: "sheet" due_ms: 1000 patience_ms: 2500 } probes { on: false } list { file: "`+list+`" }`))
	if err != nil {
		t.Fatal(err)
	}
	settings.Record = filepath.Join(dir, "controller.day")
	controller, err := daemon.Start(settings, "test", zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	recordProxy(t, filepath.Join(dir, "proxy.day"), func() {
		response, err := http.Get("http://" + controller.Addr() + "/v1/proxies/p/tables?zone=a")
		if err != nil {
			t.Fatal(err)
		}
		if err := response.Body.Close(); err != nil {
			t.Fatal(err)
		}
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
	recorder := record.NewProxy(file, "test", client.Options{Proxy: "p", Zone: "a"})
	poll()
	for range 10 {
		began := time.Now()
		recorder.Ended(client.Transaction{Class: "sheet", Came: began, LetIn: true, Fulfilled: true,
			Tries: []client.Attempt{{Host: "10.0.0.1:80", Began: began, Took: time.Millisecond}}})
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
	cut := []string{"days", "cut", controller, "--from", "0", "--to", "100"}
	comparison := []string{"replay", dir, "--set", "guard.grace_ms=2000"}
	for _, c := range []commandCase{
		{"list", []string{"days", "list", dir}, 0,
			[]string{"day             from (UTC)", "controller.day  20", "test     whole"}},
		{"check", []string{"days", "check", controller, proxy}, 0, []string{"controller.day: ", " records, whole"}},
		{"check a torn one", []string{"days", "check", torn}, 1, []string{"1 of 1 recordings are damaged"}},
		{"show", []string{"days", "show", controller}, 0,
			[]string{"1 proxies joined and 2 hosts listed", "the list: 2 hosts"}},
		{"show as JSON", []string{"days", "show", controller, "--json"}, 0, []string{`"Hosts": 2`}},
		{"show a missing one", []string{"days", "show", controller + "x"}, 1, []string{"no such file"}},
		{"cut", append(cut, "-o", part), 0, []string{"part.day: ", " records\n"}},
		{"cut onto an existing file", append(cut, "-o", part), 1, []string{"file exists"}},
		{"cut without an output", cut, 1, []string{"--output that ends in .day"}},
		{"replay the part", []string{"replay", part}, 0, []string{"answers as recorded"}},
		{"replay", []string{"replay", controller}, 0, []string{"controller.day: ", "answers as recorded"}},
		{"replay a proxy's alone", []string{"replay", proxy}, 1, []string{"recording is among them"}},
		{"replay with other settings", append(comparison, "--plot", plot), 0,
			[]string{"service  recorded  replayed", "rule", "changes of mode, with the other setting:"}},
		{"replay with other settings as JSON", append(comparison, "--json"), 0, []string{`"comparison"`, `"same"`, `"other"`}},
		{"replay with an unknown plot form", append(comparison, "--plot", plot+".gif"), 1, []string{".svg and .png are known"}},
		{"replay with an unknown setting", []string{"replay", dir, "--set", "guard.odd=1"}, 1, []string{"unknown field: odd"}},
		{"replay with a malformed setting", []string{"replay", dir, "--set", "guard"}, 1, []string{"guard.grace_ms=2000"}},
		{"replay with settings of other zones", []string{"replay", dir, "--config", "../../examples/steward.textproto"}, 1,
			[]string{"zones and classes are not those"}},
		{"guard", []string{"guard", "days", dir}, 0, []string{"day ", "looks", "controller.day"}},
		{"guard without a controller's", []string{"guard", "days", proxy}, 1, []string{"recording is among them"}},
	} {
		c.run(t)
	}
	if drawing, err := os.ReadFile(plot); err != nil || !strings.Contains(string(drawing), "<svg") {
		t.Errorf("the plot: %v %.80s", err, drawing)
	}
}

func TestSolveAndPlan(t *testing.T) {
	for _, c := range []commandCase{
		{"solve", []string{"solve", exampleFleet}, 0, []string{"class   let in  of addis", "share of a host in the table of"}},
		{"solve as JSON", []string{"solve", exampleFleet, "--json"}, 0, []string{`"Result": 0.`}},
		{"solve with doubt", []string{"solve", exampleFleet, "--spread", "0.2", "--worst", "2"}, 0,
			[]string{"against 2 hosts with 20% less than stated: costs"}},
		{"solve a missing file", []string{"solve", exampleFleet + "x"}, 1, []string{"no such file"}},
		{"solve an unreachable controller", []string{"solve", "http://127.0.0.1:1"}, exitUnreachable,
			[]string{"connection refused"}},
		{"plan", []string{"plan", exampleFleet, "--demand", "1.4", "--lose", "adama"}, 0,
			[]string{"asked for, a second", "at its cap: addis-full-0", "and 1 more"}},
		{"plan a drain", []string{"plan", exampleFleet, "--drain", "addis-full-0", "--add", "full:adama:1"}, 0,
			[]string{"to drain them in order", "addis-full-0; result"}},
		{"plan without a count", []string{"plan", exampleFleet, "--add", "full:adama"}, 1, []string{"as in full:addis:5"}},
		{"plan with a wrong count", []string{"plan", exampleFleet, "--add", "full:adama:x"}, 1, []string{"as in full:addis:5"}},
	} {
		c.run(t)
	}
}

// writeState writes a state folder as a controller does that stopped a second ago.
func writeState(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "state")
	folder, err := statefile.OpenFolder(path)
	if err != nil {
		t.Fatal(err)
	}
	loaded, err := statefile.Load(folder)
	if err != nil {
		t.Fatal(err)
	}
	now := float64(time.Now().UnixMilli())
	store := statefile.NewStore(folder, loaded, 1<<20)
	if err := store.SaveSnapshot(&statepb.State{
		Major: state.FormatMajor, Minor: state.FormatMinor, Program: "test", Life: "abc", At: now - 1000,
		Hosts: []*statepb.Host{
			{Name: "10.0.0.1:80", Zone: "a", Weight: 1, Trust: 1, At: now - 1000},
			{Name: "10.0.0.2:80", Zone: "a", Weight: 0.5, Trust: 1, At: now - 1000},
		},
		Proxies:  []*statepb.Proxy{{Name: "p"}},
		Settings: []*statepb.Setting{{Host: "10.0.0.1:80", Part: 0.5, By: "ann"}},
	}); err != nil {
		t.Fatal(err)
	}
	store.Close()
	if err := folder.Close(); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestState(t *testing.T) {
	path := writeState(t)
	empty := t.TempDir()
	for _, c := range []commandCase{
		{"show", []string{"state", "show", path}, 0,
			[]string{"life abc of program test", "10.0.0.2:80", "operator set 10.0.0.1:80", "1 proxies are known"}},
		{"check", []string{"state", "check", path}, 0, []string{"2 hosts, 1 proxies, 1 settings\nwhole\n"}},
		{"export", []string{"state", "export", path}, 0, []string{`name: `, `"10.0.0.1:80"`}},
		{"check an empty folder", []string{"state", "check", empty}, 1, []string{"is kept there"}},
		{"forget an unknown host", []string{"state", "forget", path, "--host", "odd"}, 1, []string{"nothing is kept of odd"}},
		{"forget a host", []string{"state", "forget", path, "--host", "10.0.0.1:80"}, 0, []string{"forgotten"}},
		{"after forgetting a host", []string{"state", "check", path}, 0, []string{"1 hosts, 1 proxies, 1 settings"}},
		{"forget", []string{"state", "forget", path}, 0, []string{"forgotten"}},
		{"after forgetting", []string{"state", "check", path}, 0, []string{"0 hosts, 0 proxies, 1 settings"}},
		{"forget settings", []string{"state", "forget", path, "--settings"}, 0, []string{"forgotten"}},
		{"after forgetting settings", []string{"state", "check", path}, 0, []string{"0 hosts, 0 proxies, 0 settings"}},
		{"forget in a missing folder", []string{"state", "forget", path + "x"}, 1, []string{"no such file"}},
	} {
		c.run(t)
	}
}

func TestConfigAndAuth(t *testing.T) {
	dir := t.TempDir()
	list := writeTextFile(t, filepath.Join(dir, "hosts.textproto"), `hosts { address: "10.0.0.1:80" zone: "a" }`)
	wrongList := writeTextFile(t, filepath.Join(dir, "wrong.textproto"), `hosts { address: "10.0.0.1:80" zone: "odd" }`)
	settings := func(name, list, identity string) string {
		return writeTextFile(t, filepath.Join(dir, name), fmt.Sprintf(`zones: ["a"] classes { name: "sheet" due_ms: 1000
			patience_ms: 2500 } listen: "127.0.0.1:0" %s identity { %s }`, list, identity))
	}
	allow := `workload_api: "unix:///nowhere" allow { id: "spiffe://race.example/operator/*" actions: "see" }`
	plain := settings("plain", `list { file: "`+list+`" }`, "plain_loopback: true")
	secured := settings("secured", `list { file: "`+list+`" }`, allow)
	wrong := settings("wrong", `list { file: "`+wrongList+`" }`, allow)
	operator := "spiffe://race.example/operator/ann"
	for _, c := range []commandCase{
		{"check", []string{"config", "check", plain}, 0, []string{"good: 1 zones, 1 classes, 1 hosts\nno identities"}},
		{"check with identities", []string{"config", "check", secured}, 0, []string{"1 hosts\n", "operator/* may [see]"}},
		{"check a wrong host list", []string{"config", "check", wrong}, 1, []string{"wrong.textproto:1"}},
		{"check a missing file", []string{"config", "check", plain + "x"}, 1, []string{"no such file"}},
		{"allowed", []string{"auth", "explain", operator, "see", "--config", secured}, 0, []string{"operator/*"}},
		{"denied", []string{"auth", "explain", operator, "set", "--config", secured}, exitRefused, []string{"denied"}},
		{"no identities", []string{"auth", "explain", operator, "see", "--config", plain}, 0, []string{"anybody on this machine"}},
		{"an unknown action", []string{"auth", "explain", operator, "odd", "--config", plain}, 1, []string{`"odd" is no action`}},
		{"no SPIFFE ID", []string{"auth", "explain", "ann", "see", "--config", plain}, 1, []string{`"ann": `}},
		{"a log level", []string{"run", "--config", plain, "--log-level", "odd"}, 1, []string{"--log-level: "}},
		{"version", []string{"version"}, 0, []string{"barleysail " + version + "\n"}},
	} {
		c.run(t)
	}
}
