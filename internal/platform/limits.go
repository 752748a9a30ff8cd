package platform

import (
	"math"
	"runtime"
	"runtime/debug"
)

const (
	bytesPerMB = 1 << 20

	// heapShareOfMemory is the ratio of the garbage collector's soft memory limit to the memory of the machine. The
	// rest is for memory that the collector does not count, and for allocations while it runs.
	heapShareOfMemory = 0.6

	// reservedDescriptors is the number of file descriptors for the runtime, the log, the listener and the endpoint
	// watcher.
	reservedDescriptors = 24

	// Bounds of the health checks in flight. They may use an eighth of the descriptors, since a check of a host that
	// hangs holds its descriptor until the timeout.
	descriptorsPerHealthCheck = 8
	minHealthChecks           = 16
	maxHealthChecks           = 256

	// unlimitedConnections is the limit of connections where the number of descriptors is not limited.
	unlimitedConnections = 1 << 16
)

// Limits are the resources that the process may use; 0 means no limit.
type Limits struct {
	Cores    float64 `json:"cores"`     // rounded down, but at least 1
	MemoryMB float64 `json:"memory_mb"` // in MiB
	Sockets  int     `json:"sockets"`   // file descriptors
}

// Apply configures the Go runtime for the limits: the number of threads that run Go code (GOMAXPROCS), and the garbage
// collector's soft memory limit.
func (l Limits) Apply() {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(l.Cores)))
	} else {
		runtime.SetDefaultGOMAXPROCS()
	}
	memoryBytes := int64(math.MaxInt64)
	if l.MemoryMB > 0 {
		memoryBytes = int64(l.MemoryMB * heapShareOfMemory * bytesPerMB)
	}
	debug.SetMemoryLimit(memoryBytes)
}

// valid reports whether no limit is below 0.
func (l Limits) valid() bool { return l.Cores >= 0 && l.MemoryMB >= 0 && l.Sockets >= 0 }

// healthChecks returns how many health checks may be in flight at once.
func (l Limits) healthChecks() int {
	if l.Sockets == 0 {
		return maxHealthChecks
	}
	return min(max(l.Sockets/descriptorsPerHealthCheck, minHealthChecks), maxHealthChecks)
}

// connections returns how many connections may be open: the descriptors that health checks and reservedDescriptors
// leave, but at least twice minUnidentifiedLimit.
func (l Limits) connections(healthChecks int) int {
	if l.Sockets == 0 {
		return unlimitedConnections
	}
	return max(l.Sockets-healthChecks-reservedDescriptors, 2*minUnidentifiedLimit)
}
