package daemon

import (
	"runtime"

	"barleysail/controller"
	"barleysail/intake"
	"barleysail/internal/http1"
	"barleysail/solver"
)

// statusBody is the status document.
type statusBody struct {
	Version string `json:"version"`
	controller.Status
	RateLimiter intake.RateLimiterReport `json:"door"`
	Persister   *PersisterReport         `json:"kept,omitempty"`
	Standby     *StandbyReport           `json:"standby,omitempty"`
	Identity    *IdentityReport          `json:"identity,omitempty"`
	Gap         *solver.Gap              `json:"gap,omitempty"` // to the optimal tables; only if hosts state their cores
}

func (a *api) getStatus(*http1.Request) http1.Reply {
	return jsonReply(statusBody{
		Version:     a.version,
		Status:      a.loop.status(),
		RateLimiter: a.loop.rateLimiter.Report(),
		Persister:   a.persister.status(),
		Standby:     a.standby.report(),
		Identity:    identityReport(a.credentials),
		Gap:         a.loop.optimalityGap(),
	})
}

// IngestReport is the document on the ingest of reports and the memory in use.
type IngestReport struct {
	controller.IngestReport
	RateLimiter intake.RateLimiterReport `json:"door"`
	HeapBytes   uint64                   `json:"heap_bytes"`
	PeakBacklog float64                  `json:"lines_waiting_most"` // peak backlog of the control channel, in entries
	Repairs     int                      `json:"guard_refused"`      // times that the validator began to repair
}

func (a *api) getIngestReport(*http1.Request) http1.Reply {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	status := a.loop.status()
	return jsonReply(IngestReport{
		IngestReport: status.Ingest,
		RateLimiter:  a.loop.rateLimiter.Report(),
		HeapBytes:    memory.HeapAlloc,
		PeakBacklog:  status.PeakBacklog,
		Repairs:      status.Repairs,
	})
}

// getFleet returns the problem that the solver solves for the fleet.
func (a *api) getFleet(*http1.Request) http1.Reply {
	problem := a.loop.listedProblem()
	if problem == nil {
		return notFound("a host on the list tells no cores, or no demand was heard yet")
	}
	return jsonReply(problem)
}
