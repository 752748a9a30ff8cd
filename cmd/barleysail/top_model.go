package main

import (
	"time"

	tea "github.com/charmbracelet/bubbletea"
)

// topView is one of the views of "top".
type topView int

const (
	hostsView topView = iota
	proxiesView
	eventsView
	topViewCount
)

// topModel is the model of the terminal view, which depends only on its state and the keys.
type topModel struct {
	state    topState
	fetch    func(topState) topState // queries the controller
	interval time.Duration           // between two queries
	view     topView
	byName   bool // hosts are sorted by name, not by load
	firstRow int  // index of the first displayed row
	width    int  // of the terminal, in columns
	height   int  // of the terminal, in lines
}

// refreshMsg reports that the next query is due.
type refreshMsg struct{}

// Init queries the controller at once.
func (m topModel) Init() tea.Cmd { return m.query() }

func (m topModel) query() tea.Cmd {
	state := m.state
	fetch := m.fetch
	return func() tea.Msg { return fetch(state) }
}

// Update handles a key, a new size of the terminal, the result of a query, or the time of the next one.
func (m topModel) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case topState:
		m.state = msg
		return m, tea.Tick(m.interval, func(time.Time) tea.Msg { return refreshMsg{} })
	case refreshMsg:
		return m, m.query()
	case tea.WindowSizeMsg:
		m.width = msg.Width
		m.height = msg.Height
	case tea.KeyMsg:
		key := msg.String()
		if isQuitKey(key) {
			return m, tea.Quit
		}
		m = m.selectView(key).scroll(key)
	}
	m.firstRow = max(min(m.firstRow, m.rowCount()-m.visibleRows()), 0)
	return m, nil
}

func isQuitKey(key string) bool { return key == "q" || key == "ctrl+c" || key == "esc" }

// selectView handles the keys that change the view or its order, and scrolls to the first row.
func (m topModel) selectView(key string) topModel {
	switch key {
	case "tab", "right", "l":
		m.view = (m.view + 1) % topViewCount
	case "shift+tab", "left", "h":
		m.view = (m.view + topViewCount - 1) % topViewCount
	case "1", "2", "3":
		m.view = topView(key[0] - '1')
	case "s":
		m.byName = !m.byName
	default:
		return m
	}
	m.firstRow = 0
	return m
}

// scroll handles the keys that scroll. Update limits the first row to the view.
func (m topModel) scroll(key string) topModel {
	switch key {
	case "down", "j":
		m.firstRow++
	case "up", "k":
		m.firstRow--
	case "pgdown", " ":
		m.firstRow += m.visibleRows()
	case "pgup", "b":
		m.firstRow -= m.visibleRows()
	case "home", "g":
		m.firstRow = 0
	}
	return m
}

// fixedLines is the number of lines around the rows: status, mode, views and column heads above, the number of
// further rows below.
const fixedLines = 5

// visibleRows returns the number of rows that fit on the terminal.
func (m topModel) visibleRows() int { return max(m.height-fixedLines, 1) }

// rowCount returns the number of rows of the current view.
func (m topModel) rowCount() int {
	switch m.view {
	case proxiesView:
		return len(m.state.proxies)
	case eventsView:
		return len(m.state.events)
	}
	return len(m.state.hosts)
}
