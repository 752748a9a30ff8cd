package controller

import (
	"barleysail/routing"
)

// RequestClass of transactions, in the order of the settings.
type RequestClass struct {
	Name string
	routing.RequestClass
	MeanWorkMs float64 // mean, ms on a core of speed 1; for solved weights, 0: not told
}

// Deployment is what a steward is told of its surroundings.
type Deployment struct {
	Incarnation                                      string // names this run of the steward in its tags; never the same twice
	Seed                                             uint64
	Zones                                            []string
	Controllers, Proxies                             int     // stewards, and proxies over all of them
	ReportIntervalMs                                 float64 // proxies send their sums so often
	ProxyEjectAfter, DefaultRetryPolicy              int     // see decide.Fleet
	AdmissionControl, HealthChecks, WatchesEndpoints bool
}

// Settings holds the library's own figures.
type Settings struct {
	MinRoundIntervalMs     float64 // least time between two rounds of decisions
	MaxPollWaitMs          float64 // a poll is held so long at most
	MinFirstPollWaitMs     float64 // and one of a proxy without tables so long at least, until the first come
	SessionTimeoutMs       float64 // a proxy without a poll has left after so long
	RemovedHostRetentionMs float64 // a host that is gone is forgotten after so long
	VersionHistory         int     // versions kept of each proxy's tables, as bases of deltas
}

// DefaultSettings are the figures used where none are set.
func DefaultSettings() Settings {
	return Settings{MinRoundIntervalMs: 10, MaxPollWaitMs: 60000, MinFirstPollWaitMs: 300, SessionTimeoutMs: 5000, RemovedHostRetentionMs: 600000, VersionHistory: 32}
}
