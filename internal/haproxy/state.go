package haproxy

import (
	"fmt"
	"net"
	"strconv"
	"strings"
)

// stateFields are the columns of "show servers state", version 1 of the format.
const stateFields = "be_id be_name srv_id srv_name srv_addr srv_op_state srv_admin_state srv_uweight srv_iweight " +
	"srv_time_since_last_change srv_check_status srv_check_result srv_check_health srv_check_state srv_agent_state " +
	"bk_f_forced_id srv_f_forced_id srv_fqdn srv_port srvrecord srv_use_ssl srv_check_port srv_check_addr " +
	"srv_agent_addr srv_agent_port"

// Bits of ServerState.AdminState, the column srv_admin_state.
const (
	ForcedMaint = 0x01
	ForcedDrain = 0x08
)

// Values of ServerState.OperationalState, the column srv_op_state.
const (
	Stopped  = 0
	Running  = 2
	Stopping = 3
)

// ServerState is a row of "show servers state".
type ServerState struct {
	BackendID, ServerID          int
	Backend, Server              string
	Address                      string // with the port
	OperationalState, AdminState int
	Weight, InitialWeight        int
	SecondsSinceChange           int // since the operational state last changed
}

// FormatState formats servers as "show servers state".
func FormatState(servers []ServerState) string {
	var text strings.Builder
	fmt.Fprintf(&text, "1\n# %s\n", stateFields)
	for _, server := range servers {
		host, port, err := net.SplitHostPort(server.Address)
		if err != nil {
			host, port = server.Address, "0"
		}
		fmt.Fprintf(&text, "%d %s %d %s %s %d %d %d %d %d 1 0 0 0 0 0 0 - %s - 0 0 - - 0\n", server.BackendID,
			server.Backend, server.ServerID, server.Server, host, server.OperationalState, server.AdminState,
			server.Weight, server.InitialWeight, server.SecondsSinceChange, port)
	}
	return text.String()
}

// ParseState parses "show servers state". It takes the columns from the header.
func ParseState(text string) ([]ServerState, error) {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	if len(lines) < 2 || strings.TrimSpace(lines[0]) != "1" || !strings.HasPrefix(lines[1], "# ") {
		return nil, fmt.Errorf("show servers state: expected format version 1 and a header line, got %.60q", text)
	}
	columns := map[string]int{} // index by name
	for i, field := range strings.Fields(lines[1][2:]) {
		columns[field] = i
	}
	for _, field := range []string{"be_name", "srv_name", "srv_addr", "srv_port", "srv_admin_state", "srv_uweight"} {
		if _, ok := columns[field]; !ok {
			return nil, fmt.Errorf("show servers state: header has no column %s", field)
		}
	}
	var servers []ServerState
	for _, line := range lines[2:] {
		values := strings.Fields(line)
		if len(values) == 0 {
			continue
		}
		if len(values) < len(columns) {
			return nil, fmt.Errorf("show servers state: got %d values for %d columns in line %.60q", len(values),
				len(columns), line)
		}
		number := func(field string) int { n, _ := strconv.Atoi(values[columns[field]]); return n }
		servers = append(servers, ServerState{
			BackendID:          number("be_id"),
			ServerID:           number("srv_id"),
			Backend:            values[columns["be_name"]],
			Server:             values[columns["srv_name"]],
			Address:            net.JoinHostPort(values[columns["srv_addr"]], values[columns["srv_port"]]),
			OperationalState:   number("srv_op_state"),
			AdminState:         number("srv_admin_state"),
			Weight:             number("srv_uweight"),
			InitialWeight:      number("srv_iweight"),
			SecondsSinceChange: number("srv_time_since_last_change"),
		})
	}
	return servers, nil
}
