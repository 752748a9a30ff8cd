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

// exampleTopState has twelve hosts, one of them ejected, one draining and one in slow start, two proxies and nine
// events.
func exampleTopState() topState {
	mode := "withdraw host 10.0.0.3:80: 3 probes failed, absent false, 0.92 of the weight left, and so on"
	state := topState{
		status: controller.Status{Incarnation: "abc", Hosts: 12, ConnectedProxies: 2, PendingPolls: 2, Mode: mode},
		proxies: []controller.ProxyInfo{
			{Proxy: "p", Zone: "addis", Acked: true, Rates: map[string]float64{"sheet": 3, "finish": 2}},
			{Proxy: "q", Zone: "adama"},
		},
	}
	for i := range 12 {
		host := controller.HostInfo{Host: fmt.Sprintf("10.0.0.%d:80", i), Zone: "addis", State: "ready", Weight: 1,
			Explanation: routing.Explanation{ArrivalRate: float64(i * 3), Capacity: 30, SlowStartFactor: 1}}
		switch i {
		case 3:
			host.Ejected = true
			host.Weight = 0
		case 5:
			host.State = "draining"
			host.Override = &controller.OverrideInfo{State: "drain"}
		case 7:
			host.Explanation.SlowStartFactor = 0.3
		}
		state.hosts = append(state.hosts, host)
	}
	for i := range 9 {
		text := fmt.Sprint("event ", i+1, strings.Repeat(" long", 20))
		state.events = append(state.events,
			controller.Event{Number: int64(i + 1), AtMs: float64(i) * 1000, Kind: "mode", Text: text})
	}
	return state
}

// keyMsg returns the message for a key.
func keyMsg(key string) tea.KeyMsg {
	switch key {
	case "tab":
		return tea.KeyMsg{Type: tea.KeyTab}
	case "down":
		return tea.KeyMsg{Type: tea.KeyDown}
	case "pgdown":
		return tea.KeyMsg{Type: tea.KeyPgDown}
	}
	return tea.KeyMsg{Type: tea.KeyRunes, Runes: []rune(key)}
}

// The screens after each key and event are compared with a golden file. No line exceeds the terminal width of 80
// columns.
func TestTop(t *testing.T) {
	state := exampleTopState()
	queries := 0
	fetch := func(topState) topState {
		queries++
		return state
	}
	var model tea.Model = topModel{interval: time.Second, width: 80, height: 12, fetch: fetch}
	var frames strings.Builder
	addFrame := func(name string) {
		t.Helper()
		view := model.View()
		fmt.Fprintf(&frames, "--- %s\n%s\n", name, view)
		for _, line := range strings.Split(view, "\n") {
			if columns := len([]rune(line)); columns > 80 {
				t.Errorf("%s: got a line of %d columns, want at most 80", name, columns)
			}
		}
	}
	update := func(msg tea.Msg) { model, _ = model.Update(msg) }

	addFrame("before anything is known")
	update(model.Init()())
	addFrame("hosts by load")
	for _, key := range []string{"s", "down", "pgdown", "tab", "tab", "down", "1"} {
		update(keyMsg(key))
		addFrame(key)
	}
	state.err = errors.New("calling the controller: connection refused")
	update(model.(topModel).query()())
	addFrame("controller unreachable")
	update(tea.WindowSizeMsg{Width: 40, Height: 8})
	addFrame("a small terminal")
	if _, quit := model.Update(keyMsg("q")); quit == nil || queries != 2 {
		t.Errorf("after q: got quit command %v and %d queries, want a quit command and 2 queries", quit != nil, queries)
	}
	golden.Compare(t, "top", frames.String())
}
