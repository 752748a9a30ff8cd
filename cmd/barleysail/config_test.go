package main

import (
	"fmt"
	"path/filepath"
	"testing"
)

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
	runCases(t, "", []commandCase{
		{"check", []string{"config", "check", plain}, 0, []string{"good: 1 zones, 1 classes, 1 hosts\nno identities"}},
		{"check with identities", []string{"config", "check", secured}, 0, []string{"1 hosts\n", "operator/* may [see]"}},
		{"check a wrong endpoint list", []string{"config", "check", wrong}, 1, []string{"wrong.textproto:1"}},
		{"check a missing file", []string{"config", "check", plain + "x"}, 1, []string{"no such file"}},
		{"allowed", []string{"auth", "explain", operator, "see", "--config", secured}, 0, []string{"operator/*"}},
		{"denied", []string{"auth", "explain", operator, "set", "--config", secured}, exitRefused, []string{"denied"}},
		{"no identities", []string{"auth", "explain", operator, "see", "--config", plain}, 0,
			[]string{"anybody on this machine"}},
		{"an unknown action",
			[]string{"auth", "explain", operator, "odd", "--config", plain}, 1, []string{`unknown action "odd", want one of [`}},
		{"no SPIFFE ID", []string{"auth", "explain", "ann", "see", "--config", plain}, 1, []string{`"ann": `}},
		{"a log level", []string{"run", "--config", plain, "--log-level", "odd"}, 1, []string{"--log-level: "}},
		{"version", []string{"version"}, 0, []string{"barleysail " + version + "\n"}},
	})
}
