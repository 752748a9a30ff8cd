package publisher

import (
	"fmt"
	"math"
	"strings"
)

// AdmissionRatioVariablePrefix is the prefix of the proxy's process variables that hold the admission ratio of a
// request class in thousandths, for the proxy's own rules. The class name follows it.
const AdmissionRatioVariablePrefix = "share_"

// ratioUnits is the number that is sent for an admission ratio of 1: ratios are sent in thousandths.
const ratioUnits = 1000

// operation is the kind of a command of the runtime API.
type operation int

const (
	addServer operation = iota
	setWeight
	setReady
	setDrain
	setMaintenance
	deleteServer
	setAdmissionRatio
)

// command is one command of the runtime API.
type command struct {
	operation operation
	server    serverKey // server that the command changes, unless it is setAdmissionRatio
	weight    int       // of addServer and setWeight
	class     string    // of setAdmissionRatio
	ratio     float64   // of setAdmissionRatio
}

// serverKey identifies a server of the proxy.
type serverKey struct {
	backend string // the request class
	name    string // the address of the host
}

func (k serverKey) String() string { return k.backend + "/" + k.name }

// text returns the command as HAProxy's management guide defines it.
func (c *command) text() string {
	switch c.operation {
	case addServer:
		return fmt.Sprintf("add server %s %s weight %d", c.server, c.server.name, c.weight)
	case setWeight:
		return fmt.Sprintf("set weight %s %d", c.server, c.weight)
	case setReady:
		return fmt.Sprintf("set server %s state ready", c.server)
	case setDrain:
		return fmt.Sprintf("set server %s state drain", c.server)
	case setMaintenance:
		return fmt.Sprintf("set server %s state maint", c.server)
	case deleteServer:
		return fmt.Sprintf("del server %s", c.server)
	default:
		units := int(math.Round(c.ratio * ratioUnits))
		return fmt.Sprintf("set var proc.%s%s int(%d)", AdmissionRatioVariablePrefix, c.class, units)
	}
}

// removesServer reports whether the command is a step in the removal of a drained server.
func (c *command) removesServer() bool {
	return c.operation == setMaintenance || c.operation == deleteServer
}

// RejectedError is the rejection of a command by the proxy.
type RejectedError struct {
	Command  string
	Response string // response of the proxy, without surrounding space
}

func (e *RejectedError) Error() string { return e.Command + ": " + e.Response }

// successPrefixes are the prefixes, in lower case, of responses that report success. An empty response reports
// success, too. Any other response is a rejection.
var successPrefixes = []string{"new server registered", "server deleted"}

// isSuccess reports whether a response reports success.
func isSuccess(response string) bool {
	response = strings.ToLower(strings.TrimSpace(response))
	if response == "" {
		return true
	}
	for _, prefix := range successPrefixes {
		if strings.HasPrefix(response, prefix) {
			return true
		}
	}
	return false
}
