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

// format10Saves is how many saves of the script wrote the files in testdata/format-1.0.
const format10Saves = 7

// The files in testdata/format-1.0 were written when the format was new and are never written again.
func TestReadFormat10(t *testing.T) {
	loaded := loadTestdata(t, "format-1.0")
	golden.Compare(t, "format-1.0", loadedText(t, loaded))
}

// The script still writes the same files, byte for byte.
func TestWriteFormat10(t *testing.T) {
	want := openTestdata(t, "format-1.0")
	names, err := want.Names()
	if err != nil {
		t.Fatal(err)
	}
	fsys := newCrashFS()
	runScript(fsys, format10Saves)
	if written := slices.Sorted(maps.Keys(fsys.current)); !slices.Equal(written, names) {
		t.Fatalf("files %v, want %v", written, names)
	}
	for _, name := range names {
		if !bytes.Equal(mustReadFile(t, fsys, name), mustReadFile(t, want, name)) {
			t.Errorf("%s differs", name)
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
		t.Fatalf("no state: %+v", loaded)
	}
	return loaded
}

// loadedText is the state as protobuf text, whose encoder varies the spaces after a colon on purpose.
func loadedText(t *testing.T, loaded *LoadResult) string {
	t.Helper()
	text, err := prototext.MarshalOptions{Multiline: true}.Marshal(loaded.State)
	if err != nil {
		t.Fatal(err)
	}
	return strings.ReplaceAll(string(text), ":  ", ": ") + fmt.Sprint(loaded.Changes, " changes\n")
}

// Fields that a newer minor version added, to the state and to a host, are kept when the state is loaded and saved
// again.
func TestKeepUnknownFields(t *testing.T) {
	const unknownField = 999
	unknown := protowire.AppendTag(nil, unknownField, protowire.BytesType)
	unknown = protowire.AppendString(unknown, "from later")
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
			t.Errorf("unknown fields %q, want %q, in %v", got, unknown, message)
		}
	}
}

// A file of a newer major version is refused with a warning and stays, while older generations are read and removed.
func TestNewerMajorVersion(t *testing.T) {
	const ours, newer = 1, 5 // generations
	fsys := newCrashFS()
	mustSave(t, NewStore(fsys, &LoadResult{}, maxTestSnapshotBytes), testState(1))
	content := mustReadFile(t, fsys, fileName(snapshotFile, ours))
	content[len(magic)+1] = state.FormatMajor + 1
	fsys.put(fileName(snapshotFile, newer), content)

	loaded := mustLoad(t, fsys)
	if loaded.State == nil || loaded.Generation != ours || len(loaded.Warnings) != 1 {
		t.Errorf("loaded %+v", loaded)
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
		t.Errorf("the newer snapshot was removed, left are %v", names)
	}
	if fsys.current[fileName(snapshotFile, ours)] != nil {
		t.Errorf("the old snapshot was not removed, left are %v", names)
	}
	if loaded := mustLoad(t, fsys); loaded.Generation <= newer {
		t.Errorf("loaded %+v", loaded)
	}
}

// The files in testdata/former-daemon are the folder of a daemon of format 1.0 that ran overloaded for twelve
// seconds, with a failing host, a draining one, two proxies and two overrides, and was then killed. They are never
// written again.
func TestReadFolderOfFormerDaemon(t *testing.T) {
	loaded := loadTestdata(t, "former-daemon")
	if len(loaded.Warnings) > 0 {
		t.Errorf("warnings %v", loaded.Warnings)
	}
	golden.Compare(t, "former-daemon", loadedText(t, loaded))

	const elapsedMs = 1000
	const slowStartMs = 600000
	nowMs := loaded.State.At + elapsedMs
	restored := state.ApplyDecay(loaded.State, nowMs, state.DefaultLimits(slowStartMs))
	if restored.Incarnation == "" || restored.ElapsedMs != elapsedMs || restored.Reason != "" {
		t.Errorf("restored from %q after %g ms: %s", restored.Incarnation, restored.ElapsedMs, restored.Reason)
	}
	t.Run("hosts", func(t *testing.T) { checkFormerHosts(t, restored.Hosts) })
	t.Run("proxies", func(t *testing.T) { checkFormerProxies(t, restored.Proxies) })
	t.Run("overrides", func(t *testing.T) { checkFormerOverrides(t, restored.Overrides, nowMs) })
	t.Run("admission", func(t *testing.T) {
		quota := restored.AdmissionQuotas["sheet"]
		if restored.AdmissionRatio < 0.25 || restored.AdmissionRatio > 0.4 || quota < 0.25 || quota > 0.4 {
			t.Errorf("admission ratio %g, quota %g", restored.AdmissionRatio, quota)
		}
		if restored.AdmissionQuotas["finish"] != 1 {
			t.Errorf("quota %g of the class that was admitted", restored.AdmissionQuotas["finish"])
		}
	})
}

func checkFormerHosts(t *testing.T, hosts map[string]*state.Host) {
	t.Helper()
	if len(hosts) != 7 {
		t.Fatalf("%d hosts", len(hosts))
	}
	if failing := hosts["10.0.0.2:80"]; failing.Zone != "b" || failing.Failures < 100 || failing.Successes != 0 {
		t.Errorf("the failing host: %+v", failing)
	}
	if draining := hosts["10.0.0.3:80"]; draining.DrainingSinceMs == 0 || draining.StartedMs == 0 {
		t.Errorf("the draining host: %+v", draining)
	}
	if healthy := hosts["10.0.0.1:80"]; healthy.Failures != 0 || healthy.Successes < 100 || healthy.MeanLatencyMs < 900 {
		t.Errorf("a healthy host: %+v", healthy)
	}
}

func checkFormerProxies(t *testing.T, proxies map[string]*state.Proxy) {
	t.Helper()
	if len(proxies) != 2 {
		t.Fatalf("%d proxies", len(proxies))
	}
	for name, zone := range map[string]string{"p": "a", "q": "b"} {
		proxy := proxies[name]
		if proxy.Zone != zone || proxy.Tag == "" || len(proxy.Tables) != 2 || len(proxy.RequestRates) != 2 {
			t.Errorf("proxy %s: %+v", name, proxy)
			continue
		}
		if table := proxy.Tables[0]; table.Name != "sheet" || len(table.Hosts) != 5 || len(table.Weights) != 5 {
			t.Errorf("table of proxy %s: %v", name, table)
		}
	}
}

func checkFormerOverrides(t *testing.T, overrides []*statepb.Setting, nowMs float64) {
	t.Helper()
	if len(overrides) != 2 {
		t.Fatalf("%d overrides", len(overrides))
	}
	weight, drain := overrides[0], overrides[1]
	if weight.Host != "10.0.0.1:80" || weight.Weight != 0.6 || weight.By != "ann" || weight.Until <= nowMs {
		t.Errorf("the weight: %v", weight)
	}
	if drain.Host != "10.0.0.5:80" || drain.State != 1 || drain.By != "bob" || drain.Until != 0 {
		t.Errorf("the drain: %v", drain)
	}
}
