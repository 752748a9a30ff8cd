package statefile

import (
	"bytes"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"

	"barleysail/internal/golden"
	"barleysail/state"
	"barleysail/state/statepb"
)

// format10Saves is the number of saves of the script that wrote the files in testdata/format-1.0.
const format10Saves = 7

// Files of format 1.0 stay readable. Those in testdata/format-1.0 were written when the format was new and are never
// written again.
func TestReadFormat10(t *testing.T) {
	loaded := loadTestdata(t, "format-1.0")
	golden.Compare(t, "format-1.0", loadedText(t, loaded))
}

// The format that is written has not changed: the script still writes the files in testdata/format-1.0 byte for byte.
func TestWriteFormat10(t *testing.T) {
	want := openTestdata(t, "format-1.0")
	names, err := want.Names()
	if err != nil {
		t.Fatal(err)
	}
	fsys := newCrashFS()
	runScript(fsys, format10Saves)
	if written := slices.Sorted(maps.Keys(fsys.current)); !slices.Equal(written, names) {
		t.Fatalf("the script wrote the files %v, want %v", written, names)
	}
	for _, name := range names {
		if !bytes.Equal(mustReadFile(t, fsys, name), mustReadFile(t, want, name)) {
			t.Errorf("the script wrote a %s that differs from the one in testdata", name)
		}
	}
}

func openTestdata(t *testing.T, name string) *Folder {
	t.Helper()
	folder, err := OpenReadOnly(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeFolder(t, folder) })
	return folder
}

func loadTestdata(t *testing.T, name string) *LoadResult {
	t.Helper()
	loaded := mustLoad(t, openTestdata(t, name))
	if loaded.State == nil {
		t.Fatalf("loaded %+v, want a state", loaded)
	}
	return loaded
}

// loadedText returns the state as protobuf text, without the second space that its encoder adds after colons in some
// builds on purpose.
func loadedText(t *testing.T, loaded *LoadResult) string {
	t.Helper()
	text, err := prototext.MarshalOptions{Multiline: true}.Marshal(loaded.State)
	if err != nil {
		t.Fatal(err)
	}
	return strings.ReplaceAll(string(text), ":  ", ": ") + fmt.Sprint(loaded.Changes, " changes\n")
}

// Unknown fields of a newer minor version, in the state and in a host, are kept when the state is loaded and saved
// again.
func TestKeepUnknownFields(t *testing.T) {
	const unknownField = 999
	unknown := protowire.AppendTag(nil, unknownField, protowire.BytesType)
	unknown = protowire.AppendString(unknown, "from a newer version")
	s := testState(1)
	s.Minor = 7
	s.ProtoReflect().SetUnknown(unknown)
	s.Hosts[0].ProtoReflect().SetUnknown(unknown)
	for range 2 {
		fsys := newCrashFS()
		mustSave(t, NewStore(fsys, &LoadResult{}, maxTestSnapshotBytes), s)
		s = mustLoad(t, fsys).State
	}
	for _, message := range []protoreflect.ProtoMessage{s, s.Hosts[0]} {
		if got := message.ProtoReflect().GetUnknown(); string(got) != string(unknown) {
			t.Errorf("the unknown fields are %q, want %q, in %v", got, unknown, message)
		}
	}
}

// A file of a newer major version is ignored with a warning and kept, while older generations are read and removed.
func TestNewerMajorVersion(t *testing.T) {
	const readable, newer = 1, 5 // generations
	fsys := newCrashFS()
	mustSave(t, NewStore(fsys, &LoadResult{}, maxTestSnapshotBytes), testState(1))
	content := mustReadFile(t, fsys, fileName(snapshotFile, readable))
	content[len(magic)+1] = state.FormatMajor + 1
	fsys.put(fileName(snapshotFile, newer), content)

	loaded := mustLoad(t, fsys)
	if loaded.State == nil || loaded.Generation != readable || len(loaded.Warnings) != 1 {
		t.Errorf("loaded %+v, want a state of generation %d and one warning", loaded, readable)
	}
	store := NewStore(fsys, loaded, maxTestSnapshotBytes)
	for n := range 4 {
		store.outgrowLog()
		mustSave(t, store, testState(n))
	}
	names, err := fsys.Names()
	if err != nil {
		t.Fatal(err)
	}
	if fsys.current[fileName(snapshotFile, newer)] == nil {
		t.Errorf("the folder has the files %v, want the newer snapshot among them", names)
	}
	if fsys.current[fileName(snapshotFile, readable)] != nil {
		t.Errorf("the folder has the files %v, want the old snapshot removed", names)
	}
	if loaded := mustLoad(t, fsys); loaded.Generation <= newer {
		t.Errorf("loaded %+v, want a generation above %d", loaded, newer)
	}
}

// The files in testdata/former-daemon are the folder of a daemon of format 1.0 that ran overloaded for twelve
// seconds, with a failing host, a draining one, two proxies and two overrides, and was then killed. They are never
// written again.
func TestReadFolderOfFormerDaemon(t *testing.T) {
	loaded := loadTestdata(t, "former-daemon")
	if len(loaded.Warnings) > 0 {
		t.Errorf("the warnings are %v, want none", loaded.Warnings)
	}
	golden.Compare(t, "former-daemon", loadedText(t, loaded))

	const elapsedMs = 1000
	const slowStartMs = 600000
	nowMs := loaded.State.At + elapsedMs
	restored := state.ApplyDecay(loaded.State, nowMs, state.DefaultLimits(slowStartMs))
	if restored.Incarnation == "" || restored.ElapsedMs != elapsedMs || restored.Reason != "" {
		t.Errorf("restored from %q after %g ms with the reason %q, want an incarnation, %d ms and no reason",
			restored.Incarnation, restored.ElapsedMs, restored.Reason, elapsedMs)
	}
	t.Run("hosts", func(t *testing.T) { checkFormerHosts(t, restored.Hosts) })
	t.Run("proxies", func(t *testing.T) { checkFormerProxies(t, restored.Proxies) })
	t.Run("overrides", func(t *testing.T) { checkFormerOverrides(t, restored.Overrides, nowMs) })
	t.Run("admission", func(t *testing.T) {
		quota := restored.AdmissionQuotas["sheet"]
		if restored.AdmissionRatio < 0.25 || restored.AdmissionRatio > 0.4 || quota < 0.25 || quota > 0.4 {
			t.Errorf("the admission ratio is %g and the quota of sheet %g, want both from 0.25 to 0.4",
				restored.AdmissionRatio, quota)
		}
		if restored.AdmissionQuotas["finish"] != 1 {
			t.Errorf("the quota of finish is %g, want 1", restored.AdmissionQuotas["finish"])
		}
	})
}

func checkFormerHosts(t *testing.T, hosts map[string]*state.Host) {
	t.Helper()
	if len(hosts) != 7 {
		t.Fatalf("%d hosts were restored, want 7", len(hosts))
	}
	if failing := hosts["10.0.0.2:80"]; failing.Zone != "b" || failing.Failures < 100 || failing.Successes != 0 {
		t.Errorf("the failing host is %+v, want zone b, at least 100 failures and no successes", failing)
	}
	if draining := hosts["10.0.0.3:80"]; draining.DrainingSinceMs == 0 || draining.StartedMs == 0 {
		t.Errorf("the draining host is %+v, want it draining with a start time", draining)
	}
	if healthy := hosts["10.0.0.1:80"]; healthy.Failures != 0 || healthy.Successes < 100 || healthy.MeanLatencyMs < 900 {
		t.Errorf("a healthy host is %+v, want no failures, at least 100 successes and 900 ms latency", healthy)
	}
}

func checkFormerProxies(t *testing.T, proxies map[string]*state.Proxy) {
	t.Helper()
	if len(proxies) != 2 {
		t.Fatalf("%d proxies were restored, want 2", len(proxies))
	}
	for name, zone := range map[string]string{"p": "a", "q": "b"} {
		proxy := proxies[name]
		if proxy.Zone != zone || proxy.Tag == "" || len(proxy.Tables) != 2 || len(proxy.RequestRates) != 2 {
			t.Errorf("proxy %s is %+v, want zone %s, a tag, 2 tables and 2 request rates", name, proxy, zone)
			continue
		}
		if table := proxy.Tables[0]; table.Name != "sheet" || len(table.Hosts) != 5 || len(table.Weights) != 5 {
			t.Errorf("the first table of proxy %s is %v, want sheet with 5 hosts", name, table)
		}
	}
}

func checkFormerOverrides(t *testing.T, overrides []*statepb.Setting, nowMs float64) {
	t.Helper()
	if len(overrides) != 2 {
		t.Fatalf("%d overrides were restored, want 2", len(overrides))
	}
	weight, drain := overrides[0], overrides[1]
	if weight.Host != "10.0.0.1:80" || weight.Weight != 0.6 || weight.By != "ann" || weight.Until <= nowMs {
		t.Errorf("the first override is %v, want the weight 0.6 of 10.0.0.1:80 by ann, which expires later", weight)
	}
	if drain.Host != "10.0.0.5:80" || drain.State != 1 || drain.By != "bob" || drain.Until != 0 {
		t.Errorf("the second override is %v, want the drain of 10.0.0.5:80 by bob, which does not expire", drain)
	}
}
