package main

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"barleysail/controller"
)

const (
	loadBarScale  = 8 // marks of the load bar at full load
	loadBarLength = 9 // marks at most
)

// View returns the screen, with lines cut to the width of the terminal.
func (m topModel) View() string {
	lines := m.headLines()
	heads, rows := m.table()
	lines = append(lines, heads)
	first := min(m.firstRow, len(rows))
	last := min(first+m.visibleRows(), len(rows))
	lines = append(lines, rows[first:last]...)
	if further := len(rows) - first - m.visibleRows(); further > 0 {
		lines = append(lines, fmt.Sprintf("%d more", further))
	}
	for i, line := range lines {
		lines[i] = m.clip(line)
	}
	return strings.Join(lines, "\n")
}

// headLines returns the lines above the table: the controller's status, its mode or the error, and the views.
func (m topModel) headLines() []string {
	status := m.state.status
	second := "mode: " + status.Mode
	if m.state.err != nil {
		second = "NOT REACHED: " + m.state.err.Error()
	}
	return []string{
		fmt.Sprintf("barleysail %s  %d hosts  %d proxies  %d polls  %.0f lines waiting",
			status.Incarnation, status.Hosts, status.ConnectedProxies, status.PendingPolls, status.Backlog),
		second,
		m.viewNames() + "   s: order  q: end",
	}
}

// viewNames lists the views, with the current one in brackets.
func (m topModel) viewNames() string {
	names := []string{"1 hosts", "2 proxies", "3 events"}
	names[m.view] = "[" + names[m.view] + "]"
	return strings.Join(names, "  ")
}

// clip cuts a line to the width of the terminal.
func (m topModel) clip(line string) string {
	runes := []rune(line)
	if m.width <= 0 || len(runes) <= m.width {
		return line
	}
	return string(runes[:m.width-1]) + "~"
}

// table returns the column heads and the rows of the current view.
func (m topModel) table() (heads string, rows []string) {
	switch m.view {
	case proxiesView:
		return m.proxiesTable()
	case eventsView:
		return m.eventsTable()
	}
	return m.hostsTable()
}

// hostsTable returns the hosts, sorted by load or by name.
func (m topModel) hostsTable() (heads string, rows []string) {
	hosts := slices.Clone(m.state.hosts)
	if !m.byName {
		slices.SortStableFunc(hosts, func(one, other controller.HostInfo) int {
			switch {
			case hostLoad(one) > hostLoad(other):
				return -1
			case hostLoad(one) < hostLoad(other):
				return 1
			}
			return 0
		})
	}
	for _, host := range hosts {
		rows = append(rows, hostRow(host))
	}
	heads = fmt.Sprintf("%-21s %-7s %-9s %6s %7s %7s  %-12s", "host", "zone", "state", "weight", "rate/s", "cap", "load")
	return heads, rows
}

func hostRow(host controller.HostInfo) string {
	load := hostLoad(host)
	bar := strings.Repeat("#", min(int(math.Round(load*loadBarScale)), loadBarLength))
	override := ""
	if host.Override != nil {
		override = " " + host.Override.State
	}
	return fmt.Sprintf("%-21s %-7s %-9s %6.2f %7.1f %7.1f  %-9s%3.0f%%%s", host.Host, host.Zone, hostState(host),
		host.Weight, host.Explanation.ArrivalRate, host.Explanation.Capacity, bar, 100*load, override)
}

// hostLoad returns a host's arrival rate as a fraction of its capacity, or 0 for an unknown capacity.
func hostLoad(host controller.HostInfo) float64 {
	if host.Explanation.Capacity <= 0 {
		return 0
	}
	return host.Explanation.ArrivalRate / host.Explanation.Capacity
}

func (m topModel) proxiesTable() (heads string, rows []string) {
	for _, proxy := range m.state.proxies {
		rows = append(rows, fmt.Sprintf("%-24s %-10s %8.1f %8.0f %6v",
			proxy.Proxy, proxy.Zone, totalRate(proxy), proxy.QueuedEntries, proxy.Acked))
	}
	return fmt.Sprintf("%-24s %-10s %8s %8s %6s", "proxy", "zone", "rate/s", "waiting", "acked"), rows
}

// eventsTable returns the events, the newest first.
func (m topModel) eventsTable() (heads string, rows []string) {
	for _, event := range slices.Backward(m.state.events) {
		rows = append(rows, fmt.Sprintf("%s  %-8s  %s", instant(event.AtMs).Format("15:04:05"), event.Kind, event.Text))
	}
	return "time      kind      what", rows
}
