package controller

import "barleysail/routing"

// RequestClass is the configuration of a request class.
type RequestClass struct {
	Name string
	routing.RequestClass
	// MeanWorkMs is the mean work of a request in ms on a core of speed 1; 0 if it is not known. Solver weights, the
	// capacity checks of the table validator and the plausibility checks of load reports need it.
	MeanWorkMs float64
}

// Deployment describes the fleet of which a controller is a part.
type Deployment struct {
	Incarnation          string // unique name of this run of the controller, which its version tags contain
	Seed                 uint64
	Zones                []string
	Controllers, Proxies int     // number of controllers, and of the proxies of all of them
	ReportIntervalMs     float64 // between two reports of a proxy's request stats
	// ProxyEjectAfter and DefaultRetryPolicy are passed on to the balancer, see routing.Deployment.
	ProxyEjectAfter, DefaultRetryPolicy              int
	AdmissionControl, HealthChecks, WatchesEndpoints bool
}

// Settings configures rounds, polls, sessions and the retention of hosts and versions.
type Settings struct {
	MinRoundIntervalMs float64 // shortest time between two rounds of the balancer
	MaxPollWaitMs      float64 // longest time for which a poll is pending
	// MinFirstPollWaitMs is the shortest time for which the poll of a proxy without tables is pending, unless its first
	// tables are published before.
	MinFirstPollWaitMs     float64
	SessionTimeoutMs       float64 // time without a poll after which a proxy is disconnected
	RemovedHostRetentionMs float64 // time after which a removed host is forgotten
	VersionHistory         int     // versions of each proxy's tables that are retained as bases of deltas
}

// DefaultSettings returns the settings that apply if none are given.
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
