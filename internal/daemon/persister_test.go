package daemon

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"barleysail/controller"
	"barleysail/internal/config"
	"barleysail/internal/config/configpb"
	"barleysail/internal/record"
	"barleysail/internal/record/recordpb"
	"barleysail/internal/statefile"
	"barleysail/replay"
)

// A daemon that is killed and started again on its folder goes on from there: a proxy's tag of before gets a delta, what an
// operator set stands, and its recording replays with what was recalled. A second daemon on the folder is refused.
func TestStateAcrossRestart(t *testing.T) {
	dir := t.TempDir()
	folder := filepath.Join(dir, "state")
	more := fmt.Sprintf("state { folder: %q every_ms: 20 }", folder)
	d := startDaemon(t, more)
	d.writeHosts(`hosts { address: "10.0.0.1:80" zone: "a" } hosts { address: "10.0.0.2:80" zone: "b" }`)
	eventually(t, "the list", func() bool { return strings.Count(d.log.String(), "host list read") == 2 })
	g := d.request("GET", "/v1/proxies/p/tables?zone=a", "")
	for i := 0; i < 100 && !strings.Contains(g.body, "10.0.0.2:80"); i++ {
		g = d.request("GET", "/v1/proxies/p/tables?zone=a", "", "If-None-Match", g.header.Get("Etag"), "Prefer", "wait=1")
	}
	tag := g.header.Get("Etag")
	d.request("GET", "/v1/proxies/p/tables?zone=a", "", "If-None-Match", tag)
	d.request("POST", "/v1/hosts/10.0.0.2:80/operator", `{"weight":3,"by":"ann"}`, "Content-Type", "application/json")
	eventually(t, "it to be kept", func() bool {
		f, err := loadState(folder)
		return err == nil && f.State != nil && len(f.State.Settings) == 1 && len(f.State.Proxies) == 1 && f.State.Proxies[0].Tag == strings.Trim(tag, `"`)
	})
	if _, err := Start(onAnotherPort(d.config), "test", zerolog.Nop()); err == nil || !strings.Contains(err.Error(), "another steward") {
		t.Errorf("a second daemon on the folder: %v", err)
	}
	d.Kill()
	d.config.Record = filepath.Join(dir, "day.rec")
	d.start()
	g = d.request("GET", "/v1/proxies/p/tables?zone=a", "", "If-None-Match", tag, "Prefer", "wait=5", "A-IM", "merge-patch")
	if g.status != 226 || g.header.Get("Delta-Base") != tag || !strings.Contains(g.body, `"10.0.0.2:80":3`) || strings.Contains(g.body, "10.0.0.1:80") {
		t.Errorf("after the restart: %+v", g)
	}
	if g := d.request("GET", "/v1/status", ""); !strings.Contains(g.body, `"versions":1`) || !strings.Contains(g.body, `"kept":{"failed":""`) {
		t.Errorf("status %s", g.body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := d.Stop(ctx); err != nil {
		t.Error(err)
	}
	f, err := os.Open(d.config.Record)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	r, err := replay.Again(record.NewReader(f).Next, func(s *recordpb.Start) (*controller.Controller, error) {
		c, err := config.Parse("record", []byte(s.Config))
		if err != nil {
			return nil, err
		}
		return config.Steward(c, s.Life, s.Seed), nil
	})
	if err != nil || r.First != nil || r.Answers == 0 {
		t.Errorf("replayed: %+v, %v", r, err)
	}
}

// onAnotherPort is the same configuration at another port.
func onAnotherPort(c *configpb.Config) *configpb.Config {
	c = proto.CloneOf(c)
	c.Listen = "127.0.0.1:0"
	return c
}

func loadState(folder string) (*statefile.LoadResult, error) {
	f, err := statefile.OpenReadOnly(folder)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return statefile.Load(f)
}

// A folder that cannot be written costs what would be kept, and nothing else: it is told, and ends when it can.
func TestStateFolderUnwritable(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "state")
	d := startDaemon(t, fmt.Sprintf("state { folder: %q every_ms: 20 }", folder))
	d.writeHosts(`hosts { address: "10.0.0.1:80" zone: "a" }`)
	eventually(t, "it to be kept", func() bool { return d.persister.status().Saves > 0 })
	d.persister.saveMu.Lock()
	d.persister.store.Close() // the next is a new generation
	if err := os.Rename(folder, folder+"-away"); err != nil {
		t.Fatal(err)
	}
	d.persister.saveMu.Unlock()
	eventually(t, "the failure to be told", func() bool { return d.persister.status().Failed != "" })
	if g := d.request("GET", "/v1/proxies/p/tables?zone=a", "", "Prefer", "wait=1"); g.status != 200 || !strings.Contains(g.body, "10.0.0.1:80") {
		t.Errorf("%+v", g)
	}
	if err := os.Rename(folder+"-away", folder); err != nil {
		t.Fatal(err)
	}
	eventually(t, "it to be kept again", func() bool { return d.persister.status().Failed == "" })
}
