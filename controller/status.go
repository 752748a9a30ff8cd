package controller

import (
	"maps"
	"slices"
)

// Status is what a steward says of itself.
type Status struct {
	Life           string         `json:"life"`
	Zones          []string       `json:"zones"`
	Classes        []string       `json:"classes"`
	ListAgeMs      float64        `json:"list_age_ms"` // since the list last came; below 0: never
	ListFailed     bool           `json:"list_failed"` // the last try to get it
	Hosts          int            `json:"hosts"`
	Joined         int            `json:"joined"`
	Polls          int            `json:"polls"` // held now
	LinesWaiting   float64        `json:"lines_waiting"`
	LinesMost      float64        `json:"lines_waiting_most"` // since the start
	Rounds         int64          `json:"rounds"`
	Mode           string         `json:"mode"` // the last change of mode, as logged
	ModeForMs      float64        `json:"mode_for_ms"`
	IndicesInUse   int            `json:"indices_in_use"` // hosts listed or not yet forgotten
	MessagesQueued int            `json:"messages_queued"`
	Intake         IngestReport   `json:"intake"`
	GuardRefused   int            `json:"guard_refused"`    // so often the table guard began to
	Memory         *RestoreReport `json:"memory,omitempty"` // what an earlier life knew
}

// Status tells how things stand.
func (s *Controller) Status(now float64) Status {
	st := Status{Life: s.deployment.Incarnation, Zones: s.deployment.Zones, ListAgeMs: -1, ListFailed: s.endpoints.watchFailed,
		Hosts: len(s.endpoints.effective), Joined: len(s.sessions.byProxy), Polls: s.sessions.pendingPolls,
		LinesWaiting: s.channel.backlog(), LinesMost: s.channel.peakBacklog, Rounds: s.roundCount, Mode: "ordinary", IndicesInUse: len(s.hostIndex.IndexOf),
		MessagesQueued: s.channel.queuedMessages(), Intake: s.ingestReport(now), GuardRefused: s.validation.report.Refused, Memory: s.restoreReport()}
	for _, c := range s.classes {
		st.Classes = append(st.Classes, c.Name)
	}
	if s.endpoints.known {
		st.ListAgeMs = now - s.endpoints.receivedMs
	}
	if s.modeText != "" {
		st.Mode, st.ModeForMs = s.modeText, now-s.modeSinceMs
	}
	return st
}

// ProxyZone is the zone of a proxy that has joined, empty where it has not.
func (s *Controller) ProxyZone(proxy string) string {
	if m := s.sessions.byProxy[proxy]; m != nil {
		return s.deployment.Zones[m.zone]
	}
	return ""
}

// PublishedTables gives what a proxy was last given; false where it has not joined or has got nothing.
func (s *Controller) PublishedTables(proxy string) (Response, bool) {
	m := s.sessions.byProxy[proxy]
	if m == nil || len(m.versions) == 0 {
		return Response{}, false
	}
	v := m.versions[len(m.versions)-1]
	return Response{Kind: Snapshot, Proxy: proxy, Tag: s.tagOf(&v), view: v.tables}, true
}

// ProxyInfo is how a proxy stands.
type ProxyInfo struct {
	Proxy   string             `json:"proxy"`
	Zone    string             `json:"zone"`
	Tag     string             `json:"tag"`   // the newest version
	Acked   bool               `json:"acked"` // it polled with that
	Held    bool               `json:"held"`  // a poll of it is held
	Rates   map[string]float64 `json:"rates"`
	Waiting float64            `json:"lines_waiting"`
}

// ProxyInfos tells how the joined proxies stand, by name.
func (s *Controller) ProxyInfos() []ProxyInfo {
	var all []ProxyInfo
	for _, name := range slices.Sorted(maps.Keys(s.sessions.byProxy)) {
		m := s.sessions.byProxy[name]
		i := ProxyInfo{Proxy: name, Zone: s.deployment.Zones[m.zone], Held: m.pendingPoll != nil, Rates: map[string]float64{}}
		if n := len(m.versions); n > 0 {
			i.Tag, i.Acked = s.tagOf(&m.versions[n-1]), m.ackedVersion == m.versions[n-1].number
		}
		if m.queuedMessage != nil {
			i.Waiting = m.queuedMessage.entries
		}
		for k, c := range s.classes {
			i.Rates[c.Name] = m.requestRates[k]
		}
		all = append(all, i)
	}
	return all
}
