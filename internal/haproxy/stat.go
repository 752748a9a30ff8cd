// Package haproxy formats and parses the text formats of HAProxy's runtime API, as the management guide defines them
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

// statFields are the columns of "show stat" in the order of the management guide.
var statFields = strings.Split("pxname,svname,qcur,qmax,scur,smax,slim,stot,bin,bout,dreq,dresp,ereq,econ,eresp,"+
	"wretr,wredis,status,weight,act,bck,chkfail,chkdown,lastchg,downtime,qlimit,pid,iid,sid,throttle,lbtot,tracked,"+
	"type,rate,rate_lim,rate_max,check_status,check_code,check_duration,hrsp_1xx,hrsp_2xx,hrsp_3xx,hrsp_4xx,hrsp_5xx,"+
	"hrsp_other,hanafail,req_rate,req_rate_max,req_tot,cli_abrt,srv_abrt,comp_in,comp_out,comp_byp,comp_rsp,lastsess,"+
	"last_chk,last_agt,qtime,ctime,rtime,ttime,agent_status,agent_code,agent_duration,check_desc,agent_desc,"+
	"check_rise,check_fall,check_health,agent_rise,agent_fall,agent_health,addr,cookie,mode,algo", ",")

// StatFields returns the names of the columns of "show stat", in order.
func StatFields() []string { return slices.Clone(statFields) }

// stringFields are the columns whose values are strings. All others are numbers.
var stringFields = map[string]bool{
	"pxname": true, "svname": true, "status": true, "check_status": true, "last_chk": true, "last_agt": true,
	"agent_status": true, "check_desc": true, "agent_desc": true, "addr": true, "cookie": true, "mode": true,
	"algo": true, "tracked": true,
}

// Values of the column "type".
const (
	TypeFrontend = 0
	TypeBackend  = 1
	TypeServer   = 2
)

// Row is a row of "show stat": its values by column name. Columns without a value are left out.
type Row map[string]string

// FormatCSV formats rows as the default form of "show stat": CSV with a header that begins with "# ". A comma ends
// each line.
func FormatCSV(rows []Row) string {
	var text strings.Builder
	text.WriteString("# " + strings.Join(statFields, ",") + ",\n")
	for _, row := range rows {
		for _, field := range statFields {
			value := row[field]
			if strings.ContainsAny(value, "\",\n") {
				value = `"` + strings.ReplaceAll(value, `"`, `""`) + `"`
			}
			text.WriteString(value + ",")
		}
		text.WriteByte('\n')
	}
	return text.String()
}

// ParseCSV parses the default form of "show stat". It takes the columns from the header, since they differ between
// versions of HAProxy.
func ParseCSV(text string) ([]Row, error) {
	text, ok := strings.CutPrefix(strings.TrimSpace(text), "# ")
	if !ok {
		return nil, fmt.Errorf("show stat: expected a header line, got %.60q", text)
	}
	reader := csv.NewReader(strings.NewReader(text))
	reader.FieldsPerRecord = -1
	records, err := reader.ReadAll()
	if err != nil {
		return nil, fmt.Errorf("show stat: %w", err)
	}
	header := records[0]
	var rows []Row
	for _, record := range records[1:] {
		row := Row{}
		for i, value := range record {
			if i < len(header) && header[i] != "" && value != "" {
				row[header[i]] = value
			}
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// objectID returns what identifies the row's object in the typed and the JSON form: the letter and the name of its
// type, the id of its proxy (frontend or backend), and the id of its server.
func (r Row) objectID() (letter, typeName, proxyID, serverID string) {
	switch r["type"] {
	case "0":
		letter, typeName = "F", "Frontend"
	case "1":
		letter, typeName = "B", "Backend"
	default:
		letter, typeName = "S", "Server"
	}
	return letter, typeName, r["iid"], r["sid"]
}

// fieldTags returns the origin, nature and scope of a field. letters is their form in "show stat typed": the first
// letter of each, followed by P.
func fieldTags(field string) (letters, origin, nature, scope string) {
	switch {
	case field == "pxname" || field == "svname" || field == "iid" || field == "sid" || field == "type" || field == "pid":
		return "KNSP", "Key", "Name", "Service"
	case field == "weight" || field == "slim" || field == "mode" || field == "algo" || field == "addr":
		return "CLSP", "Config", "Limit", "Service"
	case strings.HasSuffix(field, "tot") || strings.HasPrefix(field, "hrsp") || field == "econ" || field == "eresp" ||
		field == "wretr":
		return "MCSP", "Metric", "Counter", "Service"
	}
	return "MGSP", "Metric", "Gauge", "Service"
}

func valueType(field string) string {
	if stringFields[field] {
		return "str"
	}
	return "u32"
}

// FormatTyped formats rows as "show stat typed": one line for each value.
func FormatTyped(rows []Row) string {
	var text strings.Builder
	for _, row := range rows {
		letter, _, proxyID, serverID := row.objectID()
		for position, field := range statFields {
			if value, ok := row[field]; ok {
				tags, _, _, _ := fieldTags(field)
				fmt.Fprintf(&text, "%s.%s.%s.%d.%s.1:%s:%s:%s\n", letter, proxyID, serverID, position, field, tags,
					valueType(field), value)
			}
		}
	}
	return text.String()
}

// FormatJSON formats rows as "show stat json": a list with a list of fields for each row.
func FormatJSON(rows []Row) string {
	objects := [][]any{}
	for _, row := range rows {
		_, typeName, proxyIDText, serverIDText := row.objectID()
		object := []any{}
		for position, field := range statFields {
			text, ok := row[field]
			if !ok {
				continue
			}
			var value any = text
			if number, err := strconv.ParseFloat(text, 64); err == nil && !stringFields[field] {
				value = number
			}
			_, origin, nature, scope := fieldTags(field)
			proxyID, _ := strconv.Atoi(proxyIDText)
			serverID, _ := strconv.Atoi(serverIDText)
			object = append(object, map[string]any{"objType": typeName, "proxyId": proxyID, "id": serverID,
				"field": map[string]any{"pos": position, "name": field}, "processNum": 1,
				"tags":  map[string]string{"origin": origin, "nature": nature, "scope": scope},
				"value": map[string]any{"type": valueType(field), "value": value}})
		}
		objects = append(objects, object)
	}
	text, _ := json.Marshal(objects)
	return string(text) + "\n"
}
