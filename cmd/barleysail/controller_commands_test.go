package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"barleysail/internal/config"
	"barleysail/internal/daemon"
	"os"
	"path/filepath"
)

// command runs the command line against a steward, and gives what it printed and its exit code.
func command(t *testing.T, url string, args ...string) (string, int) {
	t.Helper()
	root := newRootCommand()
	var out bytes.Buffer
	root.SetOut(&out)
	if url != "" && args[0] != "diff" {
		args = append(args, "--steward", url)
	}
	root.SetArgs(args)
	if err := root.ExecuteContext(context.Background()); err != nil {
		return out.String() + err.Error(), exitCode(err)
	}
	return out.String(), 0
}

func TestOperatorsCommands(t *testing.T) {
	list := filepath.Join(t.TempDir(), "hosts.textproto")
	os.WriteFile(list, []byte(`hosts { address: "10.0.0.1:80" zone: "a" } hosts { address: "10.0.0.2:80" zone: "a" weight: 0.5 }`), 0o644)
	c, err := config.Parse("test", []byte(`zones: ["a"] classes { name: "sheet" due_ms: 1000 patience_ms: 2500 } listen: "127.0.0.1:0" identity { plain_loopback: true } probes { on: false } list { file: "`+list+`" }`))
	if err != nil {
		t.Fatal(err)
	}
	d, err := daemon.Start(c, "test", zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer d.Kill()
	url := "http://" + d.Addr()
	http.Get(url + "/v1/proxies/p/tables?zone=a")
	in := func(code int, want string, args ...string) { // once what was ordered has come through
		t.Helper()
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			out, got := command(t, url, args...)
			if got == code && strings.Contains(out, want) {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("%d %s", got, out)
			}
		}
	}
	in(0, "p,sheet,10.0.0.1:80,1,1,1\np,sheet,10.0.0.2:80,0.5,1,1\n", "get", "tables", "-o", "csv")
	for _, x := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"get", "hosts"}, 0, "10.0.0.2:80  a     ready  0.5"},
		{[]string{"get", "proxies", "-o", "csv"}, 0, "proxy,zone,tag,acked,held,rate,lines_waiting\np,a,"},
		{[]string{"get", "events"}, 0, "joined"},
		{[]string{"get", "status", "-o", "csv"}, 0, "joined,1"},
		{[]string{"get", "nothing"}, 1, "are known"},
		{[]string{"get", "hosts", "-o", "xml"}, 1, "table, json and csv are known"},
		{[]string{"describe", "host", "10.0.0.1:80"}, 0, "cap           mu "},
		{[]string{"describe", "host", "none"}, 1, "no such host"},
		{[]string{"weight", "10.0.0.2:80", "50%", "--by", "x"}, 0, "done"},
		{[]string{"weight", "10.0.0.2:80"}, 1, "--clear"},
		{[]string{"weight", "10.0.0.2:80", "--clear"}, 0, "done"},
		{[]string{"drain", "10.0.0.1:80", "--for", "10m", "--by", "x"}, 0, "done"},
		{[]string{"maint", "10.0.0.2:80"}, 3, "refused: 10.0.0.2:80: it is the last warm host"},
		{[]string{"drain", "10.0.0.2:80", "--wait"}, 0, "waits for its turn"},
		{[]string{"get", "hosts"}, 0, "drain by x"},
		{[]string{"ready", "10.0.0.1:80"}, 0, "done"},
		{[]string{"drain", "zone=a"}, 3, "refused"},
		{[]string{"events"}, 0, "operator 10.0.0.2:80 maint"},
	} {
		out, code := command(t, url, x.args...)
		if code != x.code || !strings.Contains(out, x.want) {
			t.Errorf("%v: %d, want %d and %q:\n%s", x.args, code, x.code, x.want, out)
		}
	}
	in(0, "", "diff", url, url)
	var hosts []map[string]any
	out, _ := command(t, url, "get", "hosts", "-o", "json")
	if err := json.Unmarshal([]byte(out), &hosts); err != nil || len(hosts) != 2 {
		t.Errorf("%v %s", err, out)
	}
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.Write([]byte(`{"hosts":[]}`)) }))
	defer other.Close()
	if out, code := command(t, "", "diff", url, other.URL); code != exitDiffers || !strings.Contains(out, "10.0.0.1:80") {
		t.Errorf("%d %s", code, out)
	}
	other.Close()
	if out, code := command(t, other.URL, "get", "hosts"); code != exitUnreachable {
		t.Errorf("%d %s", code, out)
	}
}
