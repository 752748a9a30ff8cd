package haproxy

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// What show stat's readers expect: a header that begins with "# ", names by position, lines that end with a comma, and
// values that hold commas or quotes in quotes.
func TestStat(t *testing.T) {
	rows := []Row{{"pxname": "sheet", "svname": "10.0.0.1:80", "status": "UP", "weight": "100", "type": "2", "iid": "2", "sid": "1", "stot": "5"},
		{"pxname": "sheet", "svname": "BACKEND", "status": "UP", "type": "1", "iid": "2", "sid": "0", "check_desc": `a "b", c`}}
	text := FormatCSV(rows)
	if !strings.HasPrefix(text, "# pxname,svname,qcur,qmax,scur,smax,slim,stot,bin,bout,dreq,dresp,ereq,econ,eresp,wretr,wredis,status,weight,act,bck,") ||
		!strings.Contains(text, ",mode,algo,\n") || strings.Count(text, "\n") != 3 {
		t.Errorf("%s", text)
	}
	if StatFields()[17] != "status" || StatFields()[18] != "weight" || StatFields()[32] != "type" || StatFields()[73] != "addr" {
		t.Error("columns are not at their published positions")
	}
	back, err := ParseCSV(text)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(rows, back); d != "" {
		t.Error(d)
	}
	// A later version has more columns, an older one fewer: they go by name.
	back, err = ParseCSV("# pxname,svname,new_one,stot,\nweb,s1,7,3,\n\n")
	if err != nil || back[0]["stot"] != "3" || back[0]["new_one"] != "7" {
		t.Errorf("%v %v", back, err)
	}
	if _, err := ParseCSV("Permission denied\n"); err == nil {
		t.Error("an answer that is no table is read")
	}
	if typed := FormatTyped(rows[:1]); !strings.Contains(typed, "S.2.1.0.pxname.1:KNSP:str:sheet\n") || !strings.Contains(typed, "S.2.1.18.weight.1:CLSP:u32:100\n") {
		t.Errorf("%s", typed)
	}
	var objects [][]struct {
		ObjType string
		Field   struct{ Name string }
		Value   struct{ Value any }
	}
	if err := json.Unmarshal([]byte(FormatJSON(rows)), &objects); err != nil || objects[0][0].ObjType != "Server" || objects[0][0].Field.Name != "pxname" ||
		objects[1][0].ObjType != "Backend" {
		t.Errorf("%v %+v", err, objects)
	}
}

func TestState(t *testing.T) {
	all := []ServerState{{2, 1, "sheet", "s1", "10.0.0.1:80", Running, 0, 100, 50, 7}, {2, 2, "sheet", "s2", "[::1]:81", Stopped, ForcedMaint, 0, 100, 0}}
	text := FormatState(all)
	if !strings.HasPrefix(text, "1\n# be_id be_name srv_id srv_name srv_addr srv_op_state srv_admin_state srv_uweight srv_iweight ") {
		t.Errorf("%s", text)
	}
	back, err := ParseState(text)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(all, back); d != "" {
		t.Error(d)
	}
	for _, bad := range []string{"", "2\n# x\n", "1\n# be_id be_name\n", strings.Replace(text, " 100 50 7 ", " ", 1)} {
		if _, err := ParseState(bad); err == nil {
			t.Errorf("%.80q is read", bad)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(FormatCSV([]Row{{"pxname": "a"}}))
	f.Add(FormatState([]ServerState{{2, 1, "a", "b", "1.2.3.4:5", 2, 0, 1, 1, 0}}))
	f.Fuzz(func(t *testing.T, text string) {
		if rows, err := ParseCSV(text); err == nil {
			for _, r := range rows {
				if r[""] != "" {
					t.Error("a column without a name")
				}
			}
		}
		ParseState(text)
	})
}
