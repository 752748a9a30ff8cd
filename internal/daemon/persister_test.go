package daemon

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"barleysail/internal/config/configpb"
	"barleysail/internal/record"
	"barleysail/internal/statefile"
	"barleysail/replay"
)

// A daemon that is killed and started again continues from its state folder: a proxy's entity tag from before the
// restart gets a delta, an operator's override stays, and the recording replays with the restored state. A second
// daemon cannot open the folder.
func TestStateAcrossRestart(t *testing.T) {
	dir := t.TempDir()
	folder := filepath.Join(dir, "state")
	d := startDaemon(t, fmt.Sprintf("state { folder: %q every_ms: 20 }", folder))
	d.writeHosts(`hosts { address: "10.0.0.1:80" zone: "a" } hosts { address: "10.0.0.2:80" zone: "b" }`)
	d.waitForReads(2)
	tag := d.pollUntilBothHosts().tag()
	d.get(tablesPath, "If-None-Match", tag)
	d.post("/v1/hosts/10.0.0.2:80/operator", `{"weight":3,"by":"ann"}`)
	eventually(t, "the state to be persisted", func() bool { return statePersisted(folder, tag) })
	second, err := Start(onAnotherPort(d.config), "test", zerolog.Nop())
	if err == nil {
		second.Kill()
	}
	if !errors.Is(err, statefile.ErrLocked) {
		t.Errorf("a second daemon on the folder: error %v, want %v", err, statefile.ErrLocked)
	}

	d.Kill()
	d.config.Record = filepath.Join(dir, "day.rec")
	d.start()
	delta := d.get(tablesPath, "If-None-Match", tag, "Prefer", "wait=5", "A-IM", "merge-patch")
	if delta.status != 226 || delta.header.Get("Delta-Base") != tag ||
		!strings.Contains(delta.body, `"10.0.0.2:80":3`) || strings.Contains(delta.body, "10.0.0.1:80") {
		t.Errorf("poll after the restart returned %+v, want a delta onto %s with weight 3 of the second host", delta, tag)
	}
	status := d.get("/v1/status").body
	if !strings.Contains(status, `"versions":1`) || !strings.Contains(status, `"kept":{"failed":""`) {
		t.Errorf("GET /v1/status = %s, want 1 version and no error of the last save", status)
	}
	d.stop()
	verifyReplay(t, d.config.Record)
}

// statePersisted reports whether the folder has the override of TestStateAcrossRestart, and the proxy's session with
// this entity tag.
func statePersisted(folder, tag string) bool {
	found, err := loadState(folder)
	if err != nil || found.State == nil {
		return false
	}
	state := found.State
	return len(state.Settings) == 1 && len(state.Proxies) == 1 && state.Proxies[0].Tag == strings.Trim(tag, `"`)
}

// verifyReplay replays a recording, and fails the test if a response differs.
func verifyReplay(t *testing.T, path string) {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer closeOrFail(t, file)
	result, err := replay.Verify(record.NewReader(file).Next, recordedController)
	if err != nil || result.FirstDifference != nil || result.Responses == 0 {
		t.Errorf("replay of %s = %+v, %v, want responses without a difference", path, result, err)
	}
}

// onAnotherPort returns a copy of a configuration that listens on a free port.
func onAnotherPort(cfg *configpb.Config) *configpb.Config {
	cfg = proto.CloneOf(cfg)
	cfg.Listen = "127.0.0.1:0"
	return cfg
}

// loadState reads the folder of a running daemon.
func loadState(path string) (result *statefile.LoadResult, err error) {
	folder, err := statefile.OpenReadOnly(path)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, folder.Close()) }()
	return statefile.Load(folder)
}

// While the state folder cannot be written the daemon still serves proxies, and its status reports the error until
// saves succeed again.
func TestStateFolderUnwritable(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "state")
	d := startDaemon(t, fmt.Sprintf("state { folder: %q every_ms: 20 }", folder))
	d.writeHosts(`hosts { address: "10.0.0.1:80" zone: "a" }`)
	eventually(t, "a first save", func() bool { return d.persister.status().Saves > 0 })
	d.removeStateFolder(folder)
	eventually(t, "the failure to be reported", func() bool { return d.persister.status().LastError != "" })
	result := d.get(tablesPath, "Prefer", "wait=1")
	if result.status != 200 || !strings.Contains(result.body, "10.0.0.1:80") {
		t.Errorf("poll without the state folder returned %+v, want status 200 with the host", result)
	}
	if err := os.Rename(folder+"-away", folder); err != nil {
		t.Fatal(err)
	}
	eventually(t, "a save that succeeds", func() bool { return d.persister.status().LastError == "" })
}

// removeStateFolder renames the folder between two saves, and closes the store so that the next save has to create a
// file.
func (d *testDaemon) removeStateFolder(folder string) {
	d.t.Helper()
	d.persister.saveMu.Lock()
	defer d.persister.saveMu.Unlock()
	d.persister.store.Close()
	if err := os.Rename(folder, folder+"-away"); err != nil {
		d.t.Fatal(err)
	}
}
