package daemon

import (
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
)

const drainFirstHost = `{"state":"drain","by":"ann"}`

const firstHostCommands = "/v1/hosts/10.0.0.1:80/operator"

// firstHostDrains reports whether the daemon has the drain of the first host.
func (d *testDaemon) firstHostDrains() bool {
	return strings.Contains(d.get("/v1/hosts/10.0.0.1:80").body, `"phase":"draining"`)
}

// Guards against an operator's command that is forgotten: the daemon is killed right after its answer, long before the
// next save of its state.
func TestAnsweredCommandSurvivesKill(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "state")
	d := startDaemon(t, fmt.Sprintf("state { folder: %q every_ms: 3600000 }", folder))
	d.pollUntilBothHosts()
	if got := d.post(firstHostCommands, drainFirstHost); got.status != http.StatusOK {
		t.Fatalf("command: %+v, want status 200", got)
	}
	d.Kill()
	d.start()
	if !d.firstHostDrains() {
		t.Errorf("the host is not draining after the restart, want the drain that was answered with 200: %s",
			d.get("/v1/hosts/10.0.0.1:80").body)
	}
}

// A command is refused while the state folder cannot be written, and changes nothing.
func TestCommandRefusedWhileFolderUnwritable(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "state")
	d := startDaemon(t, fmt.Sprintf("state { folder: %q every_ms: 20 }", folder))
	d.pollUntilBothHosts()
	eventually(t, "a first save", func() bool { return d.persister.status().Saves > 0 })
	d.removeStateFolder(folder)
	eventually(t, "the failure to be reported", func() bool { return d.persister.status().LastError != "" })
	got := d.post(firstHostCommands, drainFirstHost)
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "refused") {
		t.Errorf("command: %+v, want status 503 that says that it is refused", got)
	}
	if d.firstHostDrains() {
		t.Error("the host is draining, want the refused command without an effect")
	}
}
