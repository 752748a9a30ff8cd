package main

import (
	"path/filepath"
	"testing"
	"time"

	"barleysail/internal/statefile"
	"barleysail/state"
	"barleysail/state/statepb"
)

// writeState writes a state folder as a controller leaves it that stopped a second ago, and returns its path.
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
	runCases(t, "", []commandCase{
		{"show", []string{"state", "show", path}, 0,
			[]string{"incarnation abc of program test", "10.0.0.2:80", "operator set 10.0.0.1:80", "1 proxies are known"}},
		{"check", []string{"state", "check", path}, 0, []string{"2 hosts, 1 proxies, 1 settings\nwhole\n"}},
		{"export", []string{"state", "export", path}, 0, []string{`name: `, `"10.0.0.1:80"`}},
		{"check an empty folder", []string{"state", "check", empty}, 1, []string{"contains no usable state"}},
		{"forget an unknown host", []string{"state", "forget", path, "--host", "odd"}, 1,
			[]string{"the state contains none of these hosts: odd"}},
		{"forget a host", []string{"state", "forget", path, "--host", "10.0.0.1:80"}, 0, []string{"forgotten"}},
		{"after forgetting a host", []string{"state", "check", path}, 0, []string{"1 hosts, 1 proxies, 1 settings"}},
		{"forget", []string{"state", "forget", path}, 0, []string{"forgotten"}},
		{"after forgetting", []string{"state", "check", path}, 0, []string{"0 hosts, 0 proxies, 1 settings"}},
		{"forget overrides", []string{"state", "forget", path, "--overrides"}, 0, []string{"forgotten"}},
		{"after forgetting overrides", []string{"state", "check", path}, 0, []string{"0 hosts, 0 proxies, 0 settings"}},
		{"forget in a missing folder", []string{"state", "forget", path + "x"}, 1, []string{"no such file"}},
	})
}
