package haproxy

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func testRows() []Row {
	return []Row{
		{"pxname": "sheet", "svname": "10.0.0.1:80", "status": "UP", "weight": "100", "type": "2", "iid": "2",
			"sid": "1", "stot": "5"},
		{"pxname": "sheet", "svname": "BACKEND", "status": "UP", "type": "1", "iid": "2", "sid": "0",
			"check_desc": `a "b", c`},
	}
}

// Programs that read "show stat" expect a header that begins with "# ", columns at their published positions, a comma
// at the end of each line, and quotes around values with commas or quotes.
func TestCSV(t *testing.T) {
	rows := testRows()
	text := FormatCSV(rows)
	wantStart := "# pxname,svname,qcur,qmax,scur,smax,slim,stot,bin,bout,dreq,dresp,ereq,econ,eresp,wretr,wredis,status," +
		"weight,act,bck,"
	if !strings.HasPrefix(text, wantStart) {
		t.Errorf("FormatCSV: got %q, want a text that begins with %q", text, wantStart)
	}
	if want := ",mode,algo,\n"; !strings.Contains(text, want) {
		t.Errorf("FormatCSV: got %q, want a text that contains %q", text, want)
	}
	if got := strings.Count(text, "\n"); got != 3 {
		t.Errorf("FormatCSV: got %d lines, want 3:\n%s", got, text)
	}
	parsed, err := ParseCSV(text)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(rows, parsed); diff != "" {
		t.Errorf("ParseCSV of formatted rows (-want +got):\n%s", diff)
	}
	if _, err := ParseCSV("Permission denied\n"); err == nil {
		t.Error("ParseCSV of a text without a header: got no error, want one")
	}
}

func TestStatFieldPositions(t *testing.T) {
	fields := StatFields()
	for position, want := range map[int]string{17: "status", 18: "weight", 32: "type", 73: "addr"} {
		if got := fields[position]; got != want {
			t.Errorf("column %d: got %q, want %q", position, got, want)
		}
	}
}

// HAProxy versions differ in their columns: a newer one has more, an older one fewer.
func TestParseCSVOfAnotherVersion(t *testing.T) {
	rows, err := ParseCSV("# pxname,svname,new_one,stot,\nweb,s1,7,3,\n\n")
	if err != nil {
		t.Fatal(err)
	}
	if got := rows[0]["stot"]; got != "3" {
		t.Errorf("stot: got %q, want %q", got, "3")
	}
	if got := rows[0]["new_one"]; got != "7" {
		t.Errorf("new_one: got %q, want %q", got, "7")
	}
}

func TestFormatTyped(t *testing.T) {
	typed := FormatTyped(testRows()[:1])
	for _, want := range []string{"S.2.1.0.pxname.1:KNSP:str:sheet\n", "S.2.1.18.weight.1:CLSP:u32:100\n"} {
		if !strings.Contains(typed, want) {
			t.Errorf("got %q, want a text that contains %q", typed, want)
		}
	}
}

func TestFormatJSON(t *testing.T) {
	var objects [][]struct {
		ObjType string
		Field   struct{ Name string }
		Value   struct{ Value any }
	}
	if err := json.Unmarshal([]byte(FormatJSON(testRows())), &objects); err != nil {
		t.Fatal(err)
	}
	if got := objects[0][0].ObjType; got != "Server" {
		t.Errorf("type of the first object: got %q, want %q", got, "Server")
	}
	if got := objects[0][0].Field.Name; got != "pxname" {
		t.Errorf("first field of the first object: got %q, want %q", got, "pxname")
	}
	if got := objects[1][0].ObjType; got != "Backend" {
		t.Errorf("type of the second object: got %q, want %q", got, "Backend")
	}
}

func TestState(t *testing.T) {
	servers := []ServerState{
		{2, 1, "sheet", "s1", "10.0.0.1:80", Running, 0, 100, 50, 7},
		{2, 2, "sheet", "s2", "[::1]:81", Stopped, ForcedMaint, 0, 100, 0},
	}
	text := FormatState(servers)
	wantStart := "1\n# be_id be_name srv_id srv_name srv_addr srv_op_state srv_admin_state srv_uweight srv_iweight "
	if !strings.HasPrefix(text, wantStart) {
		t.Errorf("FormatState: got %q, want a text that begins with %q", text, wantStart)
	}
	parsed, err := ParseState(text)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(servers, parsed); diff != "" {
		t.Errorf("ParseState of formatted servers (-want +got):\n%s", diff)
	}
	missingValues := strings.Replace(text, " 100 50 7 ", " ", 1)
	for _, malformed := range []string{"", "2\n# x\n", "1\n# be_id be_name\n", missingValues} {
		if _, err := ParseState(malformed); err == nil {
			t.Errorf("ParseState(%.80q): got no error, want one", malformed)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(FormatCSV([]Row{{"pxname": "a"}}))
	f.Add(FormatState([]ServerState{{2, 1, "a", "b", "1.2.3.4:5", 2, 0, 1, 1, 0}}))
	f.Fuzz(func(t *testing.T, text string) {
		if rows, err := ParseCSV(text); err == nil {
			for _, row := range rows {
				if got := row[""]; got != "" {
					t.Errorf("value of a column without a name: got %q, want none", got)
				}
			}
		}
		_, _ = ParseState(text) // must not panic
	})
}
