package main

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	tea "github.com/charmbracelet/bubbletea"

	"barleysail/controller"
	"barleysail/internal/golden"
	"barleysail/routing"
)

// The terminal view, driven by keys, in 80 columns: each frame is compared with the kept one.
func TestTop(t *testing.T) {
	state := topState{status: controller.Status{Life: "abc", Hosts: 12, Joined: 2, Polls: 2, Mode: "withdraw host 10.0.0.3:80: 3 probes failed, absent false, 0.92 of the weight left, and so on"}}
	for i := range 12 {
		h := controller.HostInfo{Host: fmt.Sprintf("10.0.0.%d:80", i), Zone: "addis", Phase: "ready", Weight: 1,
			Why: routing.Explanation{ArrivalRate: float64(i * 3), Capacity: 30, SlowStartFactor: 1}}
		switch i {
		case 3:
			h.Withdrawn, h.Weight = true, 0
		case 5:
			h.Phase, h.Operator = "draining", &controller.OverrideInfo{State: "drain"}
		case 7:
			h.Why.SlowStartFactor = 0.3
		}
		state.hosts = append(state.hosts, h)
	}
	state.proxies = []controller.ProxyInfo{{Proxy: "p", Zone: "addis", Acked: true, Rates: map[string]float64{"sheet": 3, "finish": 2}}, {Proxy: "q", Zone: "adama"}}
	for i := range 9 {
		state.events = append(state.events, controller.Event{Number: int64(i + 1), At: float64(i) * 1000, Kind: "mode", Text: fmt.Sprint("event ", i+1, strings.Repeat(" long", 20))})
	}
	asked := 0
	var m tea.Model = topModel{interval: time.Second, width: 80, height: 12, fetch: func(topState) topState { asked++; return state }}
	var out strings.Builder
	frame := func(what string) {
		fmt.Fprintf(&out, "--- %s\n%s\n", what, m.View())
		for _, l := range strings.Split(m.View(), "\n") {
			if len([]rune(l)) > 80 {
				t.Errorf("%s: a line of %d columns", what, len([]rune(l)))
			}
		}
	}
	frame("before anything is known")
	m, _ = m.Update(m.Init()())
	frame("hosts by load")
	key := func(k string) {
		msg := tea.KeyMsg{Type: tea.KeyRunes, Runes: []rune(k)}
		switch k {
		case "tab":
			msg = tea.KeyMsg{Type: tea.KeyTab}
		case "down":
			msg = tea.KeyMsg{Type: tea.KeyDown}
		case "pgdown":
			msg = tea.KeyMsg{Type: tea.KeyPgDown}
		}
		m, _ = m.Update(msg)
		frame(k)
	}
	for _, k := range []string{"s", "down", "pgdown", "tab", "tab", "down", "1"} {
		key(k)
	}
	state.err = errors.New("asking the steward: connection refused")
	m, _ = m.Update(m.(topModel).query()())
	frame("the steward is gone")
	m, _ = m.Update(tea.WindowSizeMsg{Width: 40, Height: 8})
	frame("a small terminal")
	if _, quit := m.Update(tea.KeyMsg{Type: tea.KeyRunes, Runes: []rune("q")}); quit == nil || asked != 2 {
		t.Errorf("q does not end it, or it asked %d times", asked)
	}
	golden.Compare(t, "top", out.String())
}
