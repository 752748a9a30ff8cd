package main

import (
	"context"
	"fmt"
	"math"
	"sort"
	"strings"
	"time"

	tea "github.com/charmbracelet/bubbletea"
	"github.com/spf13/cobra"

	"barleysail/controller"
)

// topState is what the view shows, as it was asked last.
type topState struct {
	hosts   []controller.HostInfo
	proxies []controller.ProxyInfo
	events  []controller.Event
	status  controller.Status
	err     error
}

// topEvents are kept to be shown.
const topEvents = 200

// ask asks a steward for what is new.
func (t topState) ask(ctx context.Context, r *remote) topState {
	next := topState{events: t.events}
	after := int64(0)
	if n := len(t.events); n > 0 {
		after = t.events[n-1].Number
	}
	var fresh []controller.Event
	if next.hosts, next.err = r.hosts(ctx); next.err == nil {
		if next.proxies, next.err = r.proxies(ctx); next.err == nil {
			if next.err = r.do(ctx, "GET", "/v1/status", nil, &next.status); next.err == nil {
				fresh, next.err = r.events(ctx, after, 0)
			}
		}
	}
	if next.err != nil { // what was known stays on the screen
		next.hosts, next.proxies, next.status = t.hosts, t.proxies, t.status
	}
	if next.status.Life != t.status.Life && t.status.Life != "" { // another life numbers its events anew
		next.events = nil
	}
	next.events = append(next.events[:len(next.events):len(next.events)], fresh...)
	next.events = next.events[max(len(next.events)-topEvents, 0):]
	return next
}

// view of the terminal.
type view int

const (
	hostsView view = iota
	proxiesView
	eventsView
	views
)

// top is the model of the terminal view. What it shows depends on its state and the keys alone.
type top struct {
	state  topState
	fetch  func(topState) topState
	every  time.Duration
	view   view
	byName bool
	first  int
	width  int
	height int
}

type tick struct{}

// Init asks at once.
func (m top) Init() tea.Cmd { return m.ask() }

func (m top) ask() tea.Cmd {
	state, fetch := m.state, m.fetch
	return func() tea.Msg { return fetch(state) }
}

// Update takes a key, a size, an answer or the time to ask again in.
func (m top) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch x := msg.(type) {
	case topState:
		m.state = x
		return m, tea.Tick(m.every, func(time.Time) tea.Msg { return tick{} })
	case tick:
		return m, m.ask()
	case tea.WindowSizeMsg:
		m.width, m.height = x.Width, x.Height
	case tea.KeyMsg:
		switch x.String() {
		case "q", "ctrl+c", "esc":
			return m, tea.Quit
		case "tab", "right", "l":
			m.view, m.first = (m.view+1)%views, 0
		case "shift+tab", "left", "h":
			m.view, m.first = (m.view+views-1)%views, 0
		case "1", "2", "3":
			m.view, m.first = view(x.String()[0]-'1'), 0
		case "s":
			m.byName, m.first = !m.byName, 0
		case "down", "j":
			m.first++
		case "up", "k":
			m.first--
		case "pgdown", " ":
			m.first += m.rows()
		case "pgup", "b":
			m.first -= m.rows()
		case "home", "g":
			m.first = 0
		}
	}
	m.first = max(min(m.first, m.lines()-m.rows()), 0)
	return m, nil
}

// heads are the lines above the rows, and the one below.
const heads = 5

func (m top) rows() int { return max(m.height-heads, 1) }

func (m top) lines() int {
	return [...]int{len(m.state.hosts), len(m.state.proxies), len(m.state.events)}[m.view]
}

// View draws the screen, no line longer than it is wide.
func (m top) View() string {
	s := m.state.status
	lines := []string{fmt.Sprintf("barleysail %s  %d hosts  %d proxies  %d polls  %.0f lines waiting", s.Life, s.Hosts, s.Joined, s.Polls, s.LinesWaiting),
		"mode: " + s.Mode}
	if m.state.err != nil {
		lines[1] = "NOT REACHED: " + m.state.err.Error()
	}
	var names []string
	for i, n := range []string{"1 hosts", "2 proxies", "3 events"} {
		if view(i) == m.view {
			n = "[" + n + "]"
		}
		names = append(names, n)
	}
	lines = append(lines, strings.Join(names, "  ")+"   s: order  q: end")
	body := m.body()
	lines = append(lines, body[0])
	body = body[1:]
	from := min(m.first, len(body))
	lines = append(lines, body[from:min(from+m.rows(), len(body))]...)
	if left := len(body) - from - m.rows(); left > 0 {
		lines = append(lines, fmt.Sprintf("%d more", left))
	}
	for i, l := range lines {
		if m.width > 0 && len([]rune(l)) > m.width {
			lines[i] = string([]rune(l)[:m.width-1]) + "~"
		}
	}
	return strings.Join(lines, "\n")
}

// body gives the head and the rows of the present view.
func (m top) body() []string {
	switch m.view {
	case proxiesView:
		rows := []string{fmt.Sprintf("%-24s %-10s %8s %8s %6s", "proxy", "zone", "rate/s", "waiting", "acked")}
		for _, p := range m.state.proxies {
			rate := 0.0
			for _, x := range p.Rates {
				rate += x
			}
			rows = append(rows, fmt.Sprintf("%-24s %-10s %8.1f %8.0f %6v", p.Proxy, p.Zone, rate, p.Waiting, p.Acked))
		}
		return rows
	case eventsView:
		rows := []string{"time      kind      what"}
		for i := len(m.state.events) - 1; i >= 0; i-- { // the newest first
			e := m.state.events[i]
			rows = append(rows, fmt.Sprintf("%s  %-8s  %s", time.UnixMicro(int64(e.At*1000)).UTC().Format("15:04:05"), e.Kind, e.Text))
		}
		return rows
	}
	hosts := append([]controller.HostInfo(nil), m.state.hosts...)
	load := func(h controller.HostInfo) float64 {
		if h.Why.Capacity <= 0 {
			return 0
		}
		return h.Why.ArrivalRate / h.Why.Capacity
	}
	sort.SliceStable(hosts, func(i, j int) bool { return !m.byName && load(hosts[i]) > load(hosts[j]) })
	rows := []string{fmt.Sprintf("%-21s %-7s %-9s %6s %7s %7s  %-12s", "host", "zone", "state", "weight", "rate/s", "cap", "load")}
	for _, h := range hosts {
		l := load(h)
		bar := strings.Repeat("#", min(int(math.Round(l*8)), 9))
		mark := ""
		if h.Operator != nil {
			mark = " " + h.Operator.State
		}
		rows = append(rows, fmt.Sprintf("%-21s %-7s %-9s %6.2f %7.1f %7.1f  %-9s%3.0f%%%s", h.Host, h.Zone, hostState(h), h.Weight, h.Why.ArrivalRate, h.Why.Capacity, bar, 100*l, mark))
	}
	return rows
}

func topCommand() *cobra.Command {
	var every time.Duration
	c := &cobra.Command{Use: "top", Short: "Hosts by load, proxies and events of a running steward, as they change", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			r := stewardURL(c)
			m := top{every: max(every, 100*time.Millisecond), width: 80, height: 24,
				fetch: func(s topState) topState { return s.ask(c.Context(), r) }}
			_, err := tea.NewProgram(m, tea.WithAltScreen(), tea.WithContext(c.Context())).Run()
			return err
		}}
	c.Flags().DurationVar(&every, "every", time.Second, "between two looks")
	return c
}
