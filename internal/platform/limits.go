package platform

import (
	"math"
	"runtime"
	"runtime/debug"
)

const (
	bytesPerMB = 1 << 20

	// heapShareOfMemory is the part of the memory that the garbage collector is asked to stay below. The rest is for
	// what it does not count and for the time it takes to collect.
	heapShareOfMemory = 0.6

	// reservedDescriptors are for the runtime, the log, the listener and the watch of the endpoint list.
	reservedDescriptors = 24

	// Health checks in flight: an eighth of the descriptors, since one of a host that hangs holds its descriptor
	// until the timeout.
	descriptorsPerHealthCheck = 8
	minHealthChecks           = 16
	maxHealthChecks           = 256

	// unlimitedConnections stands for no limit of connections.
	unlimitedConnections = 1 << 16
)

// Limits are the resources of the machine that the process may use; 0 means no limit.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // file descriptors
}

// Apply sets the Go runtime by the limits: the number of threads that run Go code, and the garbage collector's soft
// memory limit.
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

// healthChecks is how many health checks may be in flight.
func (l Limits) healthChecks() int {
	if l.Sockets == 0 {
		return maxHealthChecks
	}
	return min(max(l.Sockets/descriptorsPerHealthCheck, minHealthChecks), maxHealthChecks)
}

// connections is how many connections may be open: what health checks and reserved descriptors leave.
func (l Limits) connections(healthChecks int) int {
	if l.Sockets == 0 {
		return unlimitedConnections
	}
	return max(l.Sockets-healthChecks-reservedDescriptors, 2*minUnidentified)
}
