// Package routing takes every decision of the control plane: weights, admission quotas, ejections, subsets and the
// pace of updates. The caller makes one Balancer an instance with New, notes what came in, and then calls Round once
// a batch, also when the timer asked for by ScheduleRound is due. Noting only records; Round decides and writes
// updates to the UpdateWriter. Hosts and proxies are small indices. The package does no I/O and reads no clock.
package routing
