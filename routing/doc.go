// Package routing is the balancer of the control plane. It decides the routing weight of every host, which hosts are
// ejected or warming up, how much of each request class is admitted, which proxy gets which table, and when each of
// these updates is sent.
//
// The caller makes one Balancer for each controller instance with New, records what comes in with the Observe
// methods, Ack, ConnectProxy and DisconnectProxy, and then calls Round. The recording methods make no decision; Round
// makes them all, and writes its updates to an UpdateWriter. Hosts and proxies are identified by small indices that
// the caller assigns.
//
// The package does no I/O, reads no clock and draws random numbers only from its own seeded source, so that the same
// inputs give the same decisions. It never reads a name or an address of a host. Instants and durations are float64
// milliseconds and end in Ms; instants count from the caller's epoch. Rates are in requests or attempts a second. A
// share, ratio, factor or fraction is a number from 0 to 1 unless its comment says otherwise.
//
// Weights follow "Deadline Guaranteed Service for Multi-Tenant Cloud Storage" (sections 3 and 4.3): a host is
// modelled as an M/M/1 queue, its arrival rate is bounded so that requests meet a deadline with a set probability,
// and weight moves from the most overloaded host to the one with the most headroom.
package routing

const (
	msPerSecond = 1000.0

	// minDivisor keeps a quotient finite where its divisor may be 0.
	minDivisor = 1e-9
)
