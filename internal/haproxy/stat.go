// Package haproxy reads and writes the text formats of HAProxy's runtime socket as its management guide publishes them
// (https://docs.haproxy.org/3.0/management.html, sections 9.1 and 9.3). It does no I/O.
package haproxy

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Fields of show stat, by their published positions.
var statFields = strings.Split("pxname,svname,qcur,qmax,scur,smax,slim,stot,bin,bout,dreq,dresp,ereq,econ,eresp,wretr,wredis,status,weight,act,bck,"+
	"chkfail,chkdown,lastchg,downtime,qlimit,pid,iid,sid,throttle,lbtot,tracked,type,rate,rate_lim,rate_max,check_status,check_code,"+
	"check_duration,hrsp_1xx,hrsp_2xx,hrsp_3xx,hrsp_4xx,hrsp_5xx,hrsp_other,hanafail,req_rate,req_rate_max,req_tot,cli_abrt,srv_abrt,"+
	"comp_in,comp_out,comp_byp,comp_rsp,lastsess,last_chk,last_agt,qtime,ctime,rtime,ttime,agent_status,agent_code,agent_duration,"+
	"check_desc,agent_desc,check_rise,check_fall,check_health,agent_rise,agent_fall,agent_health,addr,cookie,mode,algo", ",")

// StatFields gives the names of show stat's columns.
func StatFields() []string { return slices.Clone(statFields) }

// texts are the fields that are strings; all others are figures.
var texts = map[string]bool{"pxname": true, "svname": true, "status": true, "check_status": true, "last_chk": true, "last_agt": true,
	"agent_status": true, "check_desc": true, "agent_desc": true, "addr": true, "cookie": true, "mode": true, "algo": true, "tracked": true}

// Types of show stat's objects.
const (
	TypeFrontend = 0
	TypeBackend  = 1
	TypeServer   = 2
)

// Row of show stat: values by field name; a field without one is empty.
type Row map[string]string

// FormatCSV writes show stat's usual form: a header after "# ", each line ended by a comma.
func FormatCSV(rows []Row) string {
	var b strings.Builder
	b.WriteString("# " + strings.Join(statFields, ",") + ",\n")
	for _, r := range rows {
		for _, f := range statFields {
			v := r[f]
			if strings.ContainsAny(v, "\",\n") {
				v = `"` + strings.ReplaceAll(v, `"`, `""`) + `"`
			}
			b.WriteString(v + ",")
		}
		b.WriteByte('\n')
	}
	return b.String()
}

// ParseCSV reads show stat by its header, whatever its columns are.
func ParseCSV(text string) ([]Row, error) {
	text, ok := strings.CutPrefix(strings.TrimSpace(text), "# ")
	if !ok {
		return nil, fmt.Errorf("show stat: no header, but %.60q", text)
	}
	r := csv.NewReader(strings.NewReader(text))
	r.FieldsPerRecord = -1
	all, err := r.ReadAll()
	if err != nil {
		return nil, fmt.Errorf("show stat: %w", err)
	}
	var rows []Row
	for _, line := range all[1:] {
		row := Row{}
		for i, v := range line {
			if i < len(all[0]) && all[0][i] != "" && v != "" {
				row[all[0][i]] = v
			}
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// object gives the letter and the ids of a row, for the typed form.
func (r Row) object() (letter, kind string, iid, sid string) {
	switch r["type"] {
	case "0":
		letter, kind = "F", "Frontend"
	case "1":
		letter, kind = "B", "Backend"
	default:
		letter, kind = "S", "Server"
	}
	return letter, kind, r["iid"], r["sid"]
}

// tags of a field's origin, nature and scope.
func tags(field string) (short, origin, nature, scope string) {
	switch {
	case field == "pxname" || field == "svname" || field == "iid" || field == "sid" || field == "type" || field == "pid":
		return "KNSP", "Key", "Name", "Service"
	case field == "weight" || field == "slim" || field == "mode" || field == "algo" || field == "addr":
		return "CLSP", "Config", "Limit", "Service"
	case strings.HasSuffix(field, "tot") || strings.HasPrefix(field, "hrsp") || field == "econ" || field == "eresp" || field == "wretr":
		return "MCSP", "Metric", "Counter", "Service"
	}
	return "MGSP", "Metric", "Gauge", "Service"
}

func valueType(field string) string {
	if texts[field] {
		return "str"
	}
	return "u32"
}

// FormatTyped writes show stat typed: a line for each field that has a value.
func FormatTyped(rows []Row) string {
	var b strings.Builder
	for _, r := range rows {
		letter, _, iid, sid := r.object()
		for pos, f := range statFields {
			if v, ok := r[f]; ok {
				tag, _, _, _ := tags(f)
				fmt.Fprintf(&b, "%s.%s.%s.%d.%s.1:%s:%s:%s\n", letter, iid, sid, pos, f, tag, valueType(f), v)
			}
		}
	}
	return b.String()
}

// FormatJSON writes show stat json: a list of objects, each a list of fields.
func FormatJSON(rows []Row) string {
	all := [][]any{}
	for _, r := range rows {
		_, kind, iid, sid := r.object()
		object := []any{}
		for pos, f := range statFields {
			v, ok := r[f]
			if !ok {
				continue
			}
			var value any = v
			if n, err := strconv.ParseFloat(v, 64); err == nil && !texts[f] {
				value = n
			}
			_, origin, nature, scope := tags(f)
			proxy, _ := strconv.Atoi(iid)
			id, _ := strconv.Atoi(sid)
			object = append(object, map[string]any{"objType": kind, "proxyId": proxy, "id": id,
				"field": map[string]any{"pos": pos, "name": f}, "processNum": 1,
				"tags":  map[string]string{"origin": origin, "nature": nature, "scope": scope},
				"value": map[string]any{"type": valueType(f), "value": value}})
		}
		all = append(all, object)
	}
	text, _ := json.Marshal(all)
	return string(text) + "\n"
}
