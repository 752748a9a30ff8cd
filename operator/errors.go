package operator

import "fmt"

// RejectedError is the reason why a command was rejected. A rejected command changes nothing.
type RejectedError struct {
	Host        string
	Reason      string // part of the HTTP and runtime APIs
	UnknownHost bool   // no host has that name
}

// Error implements error.
func (e *RejectedError) Error() string { return e.Host + ": " + e.Reason }

// Reasons of rejections. The HTTP and runtime APIs return them, so their wording is part of these APIs.
const (
	reasonHostExists        = "the host is there already"
	reasonUnknownHost       = "no such host"
	reasonNotAdded          = "the list has it, and only the list can take it off; set it to maint"
	reasonNotInMaintenance  = "it must be in maint first"
	reasonWeightRange       = "a weight is a number up to %d"
	reasonDurationRange     = "a time is a number from 0"
	reasonWarmingUp         = "it is cold: %.2f of its listed weight is the most now, all of it in %.1f s"
	reasonLastWarmHost      = "it is the last warm host that is ready"
	reasonLastInZone        = "it is the last warm host of zone %s, which class %s may not leave"
	reasonAllLeave          = "with all of these no warm host would be ready"
	reasonAllOfOneZoneLeave = "with all of these zone %s, which class %s may not leave, would have no warm host"
)

// reject returns a RejectedError whose reason is the formatted text.
func reject(host, format string, args ...any) error {
	return &RejectedError{Host: host, Reason: fmt.Sprintf(format, args...)}
}
