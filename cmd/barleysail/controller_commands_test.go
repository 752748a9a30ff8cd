package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// startTwoHostController starts a controller of one zone with two hosts, to which the proxy p is connected. It returns
// the controller's URL.
func startTwoHostController(t *testing.T) string {
	t.Helper()
	list := writeTextFile(t, filepath.Join(t.TempDir(), "hosts.textproto"),
		`hosts { address: "10.0.0.1:80" zone: "a" } hosts { address: "10.0.0.2:80" zone: "a" weight: 0.5 }`)
	controller := startController(t, parseConfig(t, `zones: ["a"] listen: "127.0.0.1:0" identity { plain_loopback: true }
		classes { name: "sheet" due_ms: 1000 patience_ms: 2500 } probes { on: false } list { file: "`+list+`" }`))
	t.Cleanup(controller.Kill)
	url := "http://" + controller.Addr()
	fetch(t, url+"/v1/proxies/p/tables?zone=a")
	return url
}

// waitForOutput repeats a command line until it ends with an exit code and prints a text.
func waitForOutput(t *testing.T, url string, code int, want string, args ...string) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for {
		out, got := command(t, url, args...)
		if got == code && strings.Contains(out, want) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%v: got exit code %d, want %d and output with %q; output:\n%s", args, got, code, want, out)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func TestControllerCommands(t *testing.T) {
	url := startTwoHostController(t)
	tables := "p,sheet,10.0.0.1:80,1,1,1\np,sheet,10.0.0.2:80,0.5,1,1\n"
	waitForOutput(t, url, 0, tables, "get", "tables", "-o", "csv")
	lastWarm := "refused: 10.0.0.2:80: it is the last warm host"
	proxies := "proxy,zone,tag,acked,held,rate,lines_waiting\np,a,"
	runCases(t, url, []commandCase{
		{"hosts", []string{"get", "hosts"}, 0, []string{"10.0.0.2:80  a     ready  0.5"}},
		{"proxies", []string{"get", "proxies", "-o", "csv"}, 0, []string{proxies}},
		{"events of get", []string{"get", "events"}, 0, []string{"joined"}},
		{"status", []string{"get", "status", "-o", "csv"}, 0, []string{"joined,1"}},
		{"unknown resource", []string{"get", "nothing"}, 1,
			[]string{"get nothing: unknown resource, want hosts, proxies, tables, events or status"}},
		{"unknown format", []string{"get", "hosts", "-o", "xml"}, 1,
			[]string{"-o xml: unknown output format, want table, json or csv"}},
		{"describe", []string{"describe", "host", "10.0.0.1:80"}, 0, []string{"capacity      mu "}},
		{"describe an unknown host", []string{"describe", "host", "none"}, 1, []string{"no such host"}},
		{"weight", []string{"weight", "10.0.0.2:80", "50%", "--by", "x"}, 0, []string{"done"}},
		{"no weight", []string{"weight", "10.0.0.2:80"}, 1, []string{"--clear"}},
		{"clear the weight", []string{"weight", "10.0.0.2:80", "--clear"}, 0, []string{"done"}},
		{"drain", []string{"drain", "10.0.0.1:80", "--for", "10m", "--by", "x"}, 0, []string{"done"}},
		{"refused", []string{"maint", "10.0.0.2:80"}, 3, []string{lastWarm}},
		{"wait", []string{"drain", "10.0.0.2:80", "--wait"}, 0, []string{"waits for its turn"}},
		{"hosts with overrides", []string{"get", "hosts"}, 0, []string{"drain by x"}},
		{"ready", []string{"ready", "10.0.0.1:80"}, 0, []string{"done"}},
		{"drain a zone", []string{"drain", "zone=a"}, 3, []string{"refused"}},
		{"events", []string{"events"}, 0, []string{"operator 10.0.0.2:80 maint"}},
	})
	waitForOutput(t, "", 0, "", "diff", url, url)
	var hosts []map[string]any
	out, _ := command(t, url, "get", "hosts", "-o", "json")
	if err := json.Unmarshal([]byte(out), &hosts); err != nil || len(hosts) != 2 {
		t.Errorf("get hosts -o json: got %d hosts, error %v, want 2 hosts; output:\n%s", len(hosts), err, out)
	}
}

func TestGuardCheck(t *testing.T) {
	url := startTwoHostController(t)
	dir := t.TempDir()
	sound := writeTextFile(t, filepath.Join(dir, "sound.json"),
		`{"tables":{"sheet":{"hosts":{"10.0.0.1:80":1,"10.0.0.2:80":0.5}}}}`)
	empty := writeTextFile(t, filepath.Join(dir, "empty.json"), `{"tables":{"sheet":{"hosts":{}}}}`)
	malformed := writeTextFile(t, filepath.Join(dir, "malformed.json"), `{`)
	runCases(t, url, []commandCase{
		{"sound tables", []string{"guard", "check", sound}, 0, []string{"sound\n"}},
		{"of a zone", []string{"guard", "check", sound, "--zone", "a"}, 0, []string{"sound\n"}},
		{"an empty table", []string{"guard", "check", empty}, exitRefused, []string{"instead:", "the guard finds 1 faults"}},
		{"no JSON", []string{"guard", "check", malformed}, 1, []string{"malformed.json"}},
		{"a missing file", []string{"guard", "check", sound + "x"}, 1, []string{"no such file"}},
	})
}

func TestDiffAndUnreachable(t *testing.T) {
	url := startTwoHostController(t)
	waitForOutput(t, url, 0, "10.0.0.1:80", "get", "hosts")
	other := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) {
		if _, err := io.WriteString(response, `{"hosts":[]}`); err != nil {
			t.Errorf("writing the response: %v", err)
		}
	}))
	defer other.Close()
	if out, code := command(t, "", "diff", url, other.URL); code != exitDiffers || !strings.Contains(out, "10.0.0.1:80") {
		t.Errorf("diff: got exit code %d, want %d and output with 10.0.0.1:80; output:\n%s", code, exitDiffers, out)
	}
	other.Close()
	if out, code := command(t, other.URL, "get", "hosts"); code != exitUnreachable {
		t.Errorf("get hosts of a closed server: got exit code %d, want %d; output:\n%s", code, exitUnreachable, out)
	}
}

// The error of a problem document is its detail after the field, if it names one. Any other body is the error itself.
func TestResponseError(t *testing.T) {
	for _, c := range []struct {
		name, body, want string
		status, code     int
	}{
		{"problem", `{"detail":"too large","field":"weight"}`, "weight: too large", 400, exitFailure},
		{"problem without a field", `{"detail":"no such host"}`, "no such host", 404, exitFailure},
		{"conflict", `{"detail":"the last host"}`, "refused: the last host", 409, exitRefused},
		{"plain text", "bad gateway\n", "bad gateway", 502, exitFailure},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := responseError(c.status, []byte(c.body))
			if err.Error() != c.want || exitCode(err) != c.code {
				t.Errorf("got exit code %d and error %q, want %d and %q", exitCode(err), err, c.code, c.want)
			}
		})
	}
}
