package haproxy

import (
	"fmt"
	"net"
	"strconv"
	"strings"
)

// stateFields of show servers state, version 1 of the format.
const stateFields = "be_id be_name srv_id srv_name srv_addr srv_op_state srv_admin_state srv_uweight srv_iweight srv_time_since_last_change " +
	"srv_check_status srv_check_result srv_check_health srv_check_state srv_agent_state bk_f_forced_id srv_f_forced_id srv_fqdn srv_port " +
	"srvrecord srv_use_ssl srv_check_port srv_check_addr srv_agent_addr srv_agent_port"

// Bits of srv_admin_state, and values of srv_op_state.
const (
	ForcedMaint = 0x01
	ForcedDrain = 0x08

	Stopped  = 0
	Running  = 2
	Stopping = 3
)

// ServerState is a line of show servers state.
type ServerState struct {
	BackendID, ServerID          int
	Backend, Server              string
	Address                      string // with its port
	OperationalState, AdminState int
	Weight, InitialWeight        int
	SecondsSinceChange           int // seconds since its state changed last
}

// FormatState writes show servers state.
func FormatState(all []ServerState) string {
	var b strings.Builder
	fmt.Fprintf(&b, "1\n# %s\n", stateFields)
	for _, s := range all {
		host, port, err := net.SplitHostPort(s.Address)
		if err != nil {
			host, port = s.Address, "0"
		}
		fmt.Fprintf(&b, "%d %s %d %s %s %d %d %d %d %d 1 0 0 0 0 0 0 - %s - 0 0 - - 0\n", s.BackendID, s.Backend, s.ServerID, s.Server, host, s.OperationalState,
			s.AdminState, s.Weight, s.InitialWeight, s.SecondsSinceChange, port)
	}
	return b.String()
}

// ParseState reads show servers state by its header.
func ParseState(text string) ([]ServerState, error) {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	if len(lines) < 2 || strings.TrimSpace(lines[0]) != "1" || !strings.HasPrefix(lines[1], "# ") {
		return nil, fmt.Errorf("show servers state: version 1 and a header are wanted, not %.60q", text)
	}
	at := map[string]int{}
	for i, f := range strings.Fields(lines[1][2:]) {
		at[f] = i
	}
	for _, f := range []string{"be_name", "srv_name", "srv_addr", "srv_port", "srv_admin_state", "srv_uweight"} {
		if _, ok := at[f]; !ok {
			return nil, fmt.Errorf("show servers state: the column %s is missing", f)
		}
	}
	var all []ServerState
	for _, line := range lines[2:] {
		v := strings.Fields(line)
		if len(v) == 0 {
			continue
		}
		if len(v) < len(at) {
			return nil, fmt.Errorf("show servers state: a line of %d columns, %d are named: %.60q", len(v), len(at), line)
		}
		number := func(f string) int { n, _ := strconv.Atoi(v[at[f]]); return n }
		all = append(all, ServerState{BackendID: number("be_id"), ServerID: number("srv_id"), Backend: v[at["be_name"]], Server: v[at["srv_name"]],
			Address: net.JoinHostPort(v[at["srv_addr"]], v[at["srv_port"]]), OperationalState: number("srv_op_state"), AdminState: number("srv_admin_state"),
			Weight: number("srv_uweight"), InitialWeight: number("srv_iweight"), SecondsSinceChange: number("srv_time_since_last_change")})
	}
	return all, nil
}
