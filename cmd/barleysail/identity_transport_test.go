package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"barleysail/internal/config"
	"barleysail/internal/daemon"
	"barleysail/internal/fake/issuer"
)

// An operator's commands prove who he is and go to the steward that is named, and to no other; without an identity, or with
// one that may not, they end with the code that says so.
func TestOperatorProves(t *testing.T) {
	dir, err := os.MkdirTemp("", "id") // a socket's path has to be short
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	root, err := issuer.NewAuthority("race.example")
	if err != nil {
		t.Fatal(err)
	}
	give := func(name, id string) string {
		e, err := issuer.NewEndpoint(dir, name)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		v, err := root.Sign("spiffe://race.example"+id, time.Hour, nil)
		if err != nil {
			t.Fatal(err)
		}
		e.Give(v, []*issuer.Authority{root})
		return e.Address
	}
	list, file := filepath.Join(dir, "hosts.textproto"), filepath.Join(dir, "steward.textproto")
	os.WriteFile(list, []byte(`hosts { address: "10.0.0.1:80" zone: "a" }`), 0o644)
	text := `zones: ["a"] classes { name: "sheet" due_ms: 1000 patience_ms: 2500 } listen: "127.0.0.1:0" probes { on: false } list { file: "` + list + `" }
		identity { workload_api: "` + give("s", "/steward/one") + `" allow { id: "spiffe://race.example/operator/*" actions: "see" actions: "set" } }`
	os.WriteFile(file, []byte(text), 0o644)
	c, err := config.Parse("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	d, err := daemon.Start(c, "test", zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer d.Kill()
	ann, host := give("a", "/operator/ann"), give("h", "/host/10.0.0.1_80")
	for _, x := range []struct {
		what, api, id string
		args          []string
		code          int
		want          string
	}{
		{"ann", ann, "spiffe://race.example/steward/one", []string{"get", "hosts"}, 0, "10.0.0.1:80"},
		{"ann drains", ann, "spiffe://race.example/steward/one", []string{"weight", "10.0.0.1:80", "2"}, 0, "done"},
		{"another steward is meant", ann, "spiffe://race.example/steward/two", []string{"get", "hosts"}, exitUnreachable, "not spiffe://race.example/steward/two"},
		{"a host's identity", host, "spiffe://race.example/steward/one", []string{"get", "hosts"}, 1, "may not see here"},
		{"no identity", "", "", []string{"get", "hosts"}, exitUnreachable, "BARLEYSAIL_WORKLOAD_API"},
	} {
		t.Setenv("BARLEYSAIL_WORKLOAD_API", x.api)
		t.Setenv("BARLEYSAIL_STEWARD_ID", x.id)
		if out, code := command(t, "https://"+d.Addr(), x.args...); code != x.code || !strings.Contains(out, x.want) {
			t.Errorf("%s: %d %s", x.what, code, out)
		}
	}
}
