package routing

// AllTables in place of a table's number sets a level for all joined proxies.
const AllTables = 65535

// UpdateWriter takes the decisions of a round. Hosts and proxies go by the small indices they were noted with;
// bit k of classes is class k, and 0 stands for all of them.
type UpdateWriter interface {
	SetWeight(table, host int, weight float64)
	AssignTable(proxy, table, classes int)
	SetAdmission(table, classes int, share float64, tries int)
	StampVersion(number int)
	CheckHealth(host int)
	ScheduleRound(at float64)
	WatchEndpoints()
	Log(event Event)
}
