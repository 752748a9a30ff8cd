package routing

// AllTables in place of a table's number sets an admission quota for all connected proxies.
const AllTables = 65535

// The retry policies that the balancer sets. A proxy may know others, such as Deployment.DefaultRetryPolicy.
const (
	retryNone        = 0 // a failed attempt is not retried
	retryUnprocessed = 1 // one retry, only where the first attempt provably never ran: safe for every class
)

// UpdateWriter receives the decisions of a round, in the order in which they must be sent. Hosts and proxies are
// identified by the indices with which they were recorded, tables by numbers. Bit k of classes stands for class k,
// and 0 for all classes.
type UpdateWriter interface {
	// SetWeight sets the weight of a host in a table; 0 removes it.
	SetWeight(table, host int, weight float64)
	// AssignTable makes a proxy route by a table. The proxy must be sent all entries of the table.
	AssignTable(proxy, table, classes int)
	// SetAdmission sets the fraction of the requests that proxies admit, and their retry policy.
	SetAdmission(table, classes int, quota float64, retryPolicy int)
	// StampVersion closes the round's updates with a version, which proxies acknowledge.
	StampVersion(version int)
	// CheckHealth starts a health check of a host; its result comes back by ObserveHealthCheck.
	CheckHealth(host int)
	// ScheduleRound asks for a call of Round at an instant, in ms.
	ScheduleRound(atMs float64)
	// WatchEndpoints starts or restarts the watch of the endpoint list.
	WatchEndpoints()
	// Log writes an event that operators may want to see.
	Log(event Event)
}
