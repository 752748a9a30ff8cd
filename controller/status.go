package controller

import (
	"maps"
	"slices"
)

// Status is the state of a controller.
type Status struct {
	Incarnation      string         `json:"life"` // incarnation
	Zones            []string       `json:"zones"`
	Classes          []string       `json:"classes"`
	EndpointsAgeMs   float64        `json:"list_age_ms"` // since an endpoint list was last received; below 0: never
	WatchFailed      bool           `json:"list_failed"` // the watch has failed since then
	Hosts            int            `json:"hosts"`
	ConnectedProxies int            `json:"joined"`             // connected proxies
	PendingPolls     int            `json:"polls"`              // pending
	Backlog          float64        `json:"lines_waiting"`      // backlog of the control channel, in entries
	PeakBacklog      float64        `json:"lines_waiting_most"` // since the start
	Rounds           int64          `json:"rounds"`
	Mode             string         `json:"mode"` // the last change of the mode, as in the log
	ModeForMs        float64        `json:"mode_for_ms"`
	HostIndices      int            `json:"indices_in_use"` // hosts that are listed, or removed and not yet forgotten
	QueuedMessages   int            `json:"messages_queued"`
	Ingest           IngestReport   `json:"intake"`
	Repairs          int            `json:"guard_refused"`    // number of times that tables had to be repaired
	Restored         *RestoreReport `json:"memory,omitempty"` // what was restored of an earlier incarnation
}

// initialMode is the mode before its first change.
const initialMode = "ordinary"

// Status returns the current state of the controller.
func (c *Controller) Status(nowMs float64) Status {
	status := Status{
		Incarnation:      c.deployment.Incarnation,
		Zones:            c.deployment.Zones,
		EndpointsAgeMs:   -1,
		WatchFailed:      c.endpoints.watchFailed,
		Hosts:            len(c.endpoints.effective),
		ConnectedProxies: len(c.sessions.byProxy),
		PendingPolls:     c.sessions.pendingPolls,
		Backlog:          c.channel.backlog(),
		PeakBacklog:      c.channel.peakBacklog,
		Rounds:           c.tables.round,
		Mode:             initialMode,
		HostIndices:      len(c.hostIndex.IndexOf),
		QueuedMessages:   c.channel.queuedMessages(),
		Ingest:           c.ingestReport(nowMs),
		Repairs:          c.validation.report.Repairs,
		Restored:         c.restoreReport(),
	}
	for _, class := range c.classes {
		status.Classes = append(status.Classes, class.Name)
	}
	if c.endpoints.known {
		status.EndpointsAgeMs = nowMs - c.endpoints.receivedMs
	}
	if c.mode.text != "" {
		status.Mode = c.mode.text
		status.ModeForMs = nowMs - c.mode.sinceMs
	}
	return status
}

// ProxyInfo is the state of a connected proxy.
type ProxyInfo struct {
	Proxy         string             `json:"proxy"`
	Zone          string             `json:"zone"`
	Tag           string             `json:"tag"`           // entity tag of the newest version
	Acked         bool               `json:"acked"`         // the proxy has acknowledged that version
	PollPending   bool               `json:"held"`          // a poll is pending
	Rates         map[string]float64 `json:"rates"`         // recent requests per second, by class
	QueuedEntries float64            `json:"lines_waiting"` // entries that are queued for it in the control channel
}

// ProxyInfos returns the state of the connected proxies, by name.
func (c *Controller) ProxyInfos() []ProxyInfo {
	var infos []ProxyInfo
	for _, proxy := range slices.Sorted(maps.Keys(c.sessions.byProxy)) {
		infos = append(infos, c.proxyInfo(c.sessions.byProxy[proxy]))
	}
	return infos
}

func (c *Controller) proxyInfo(session *proxySession) ProxyInfo {
	info := ProxyInfo{
		Proxy:       session.proxy,
		Zone:        c.deployment.Zones[session.zone],
		PollPending: session.pendingPoll != nil,
		Rates:       map[string]float64{},
	}
	if newest := session.newest(); newest != nil {
		info.Tag = c.tagOf(newest)
		info.Acked = session.ackedVersion == newest.number
	}
	if session.queuedMessage != nil {
		info.QueuedEntries = session.queuedMessage.entries
	}
	for i, class := range c.classes {
		info.Rates[class.Name] = session.requestRates[i]
	}
	return info
}

// ProxyZone returns the name of the zone of a proxy, empty if the proxy is not connected.
func (c *Controller) ProxyZone(proxy string) string {
	if session := c.sessions.byProxy[proxy]; session != nil {
		return c.deployment.Zones[session.zone]
	}
	return ""
}

// PublishedTables returns the newest version of a proxy's tables, as a snapshot. It reports false if the proxy is not
// connected or has no version yet.
func (c *Controller) PublishedTables(proxy string) (Response, bool) {
	session := c.sessions.byProxy[proxy]
	if session == nil || len(session.versions) == 0 {
		return Response{}, false
	}
	newest := session.newest()
	return Response{Kind: Snapshot, Proxy: proxy, Tag: c.tagOf(newest), tables: newest.tables}, true
}
