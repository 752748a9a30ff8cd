package controller

import "barleysail/routing"

// RequestClass is a class of requests, in the order of the settings.
type RequestClass struct {
	Name string
	routing.RequestClass
	// MeanWorkMs is the mean work of a request in ms on a core of speed 1; 0 where it is not known. Solver weights, the
	// capacity checks of the table validator and the plausibility checks of load reports need it.
	MeanWorkMs float64
}

// Deployment describes what a controller is a part of.
type Deployment struct {
	Incarnation          string // names this run of the controller in its version tags, and is never used twice
	Seed                 uint64
	Zones                []string
	Controllers, Proxies int     // controllers, and proxies over all of them
	ReportIntervalMs     float64 // at which a proxy sends its request statistics
	// ProxyEjectAfter and DefaultRetryPolicy are passed on to the balancer, see routing.Deployment.
	ProxyEjectAfter, DefaultRetryPolicy              int
	AdmissionControl, HealthChecks, WatchesEndpoints bool
}

// Settings holds the settings of the library itself.
type Settings struct {
	MinRoundIntervalMs float64 // least time between two rounds of the balancer
	MaxPollWaitMs      float64 // longest time for which a poll is left pending
	// MinFirstPollWaitMs is the least time for which the poll of a proxy without tables is left pending, until the first
	// tables are there.
	MinFirstPollWaitMs     float64
	SessionTimeoutMs       float64 // a proxy without a poll is disconnected after this time
	RemovedHostRetentionMs float64 // a removed host is forgotten after this time
	VersionHistory         int     // versions of each proxy's tables that are retained as bases of deltas
}

// DefaultSettings returns the settings that apply where none are given.
func DefaultSettings() Settings {
	return Settings{
		MinRoundIntervalMs:     10,
		MaxPollWaitMs:          60000,
		MinFirstPollWaitMs:     300,
		SessionTimeoutMs:       5000,
		RemovedHostRetentionMs: 600000,
		VersionHistory:         32,
	}
}
