package daemon

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"barleysail/controller"
	"barleysail/internal/config"
	"barleysail/internal/record"
	"barleysail/internal/record/recordpb"
)

// A replay of the daemon's recording by a controller alone yields the same responses, byte for byte. The replay of a
// recording that is cut off ends with record.ErrTruncated.
func TestRecordingReplaysIdentically(t *testing.T) {
	const proxies = 8
	file := filepath.Join(t.TempDir(), "day.rec")
	d := startDaemon(t, fmt.Sprintf("record: %q fleet { proxies: 8 }", file))
	var polling sync.WaitGroup
	for i := range proxies {
		polling.Go(func() { runRecordedProxy(d, i) })
	}
	awaitGroup(t, "the end of all proxies", requestTimeout, &polling)
	d.stop()
	text := readFile(t, file)
	recorded, replayed, err := replayRecording(t, text)
	if !errors.Is(err, io.EOF) || len(recorded) < 30 {
		t.Fatalf("got %d responses, then %v, want at least 30, then %v", len(recorded), err, io.EOF)
	}
	if diff := cmp.Diff(recorded, replayed); diff != "" {
		t.Errorf("the replayed responses differ (-recorded +replayed):\n%s", diff)
	}
	if _, _, err := replayRecording(t, text[:len(text)/2]); !errors.Is(err, record.ErrTruncated) {
		t.Errorf("replay of half the recording ended with %v, want %v", err, record.ErrTruncated)
	}
}

// runRecordedProxy polls and reports a few times and disconnects; the first proxy changes the endpoint list meanwhile.
func runRecordedProxy(d *testDaemon, index int) {
	const polls = 6
	path := fmt.Sprintf("/v1/proxies/p%d", index)
	tag := ""
	for i := range polls {
		result := d.get(path+"/tables?zone=a", "Prefer", "wait=1", "If-None-Match", tag, "A-IM", "merge-patch")
		tag = result.tag()
		d.post(path+"/sums", fmt.Sprintf(
			`{"number":%d,"hosts":{"10.0.0.1:80":{"tries":40,"failed":%d,"mean":20,"span":300}}}`, i+1, i))
		if index == 0 && i == 2 {
			d.writeHosts(`hosts { address: "10.0.0.1:80" zone: "a" } hosts { address: "10.0.0.4:80" zone: "b" }`)
		}
	}
	d.request(http.MethodDelete, path, "")
}

// responseCollector collects the responses of a controller during a replay.
type responseCollector struct{ responses []string }

func (c *responseCollector) Respond(poll int64, response controller.Response) {
	c.responses = append(c.responses, fmt.Sprint(poll, response.Proxy, response.Kind, response.Tag, response.BaseTag,
		record.Checksum(response.Body())))
}
func (c *responseCollector) CheckHealth(string) {}
func (c *responseCollector) WatchEndpoints()    {}
func (c *responseCollector) Log(string)         {}

// replayRecording feeds the recorded inputs to a new controller. It returns the recorded responses, those of the new
// controller, and the error at the end of the recording.
func replayRecording(t *testing.T, text []byte) (recorded, replayed []string, end error) {
	t.Helper()
	reader := record.NewReader(bytes.NewReader(text))
	collector := &responseCollector{}
	var instance *controller.Controller
	for {
		entry, err := reader.Next()
		if err != nil {
			return recorded, collector.responses, err
		}
		switch what := entry.What.(type) {
		case *recordpb.Record_Start:
			instance, err = recordedController(what.Start)
		case *recordpb.Record_Published:
			response := what.Published
			recorded = append(recorded, fmt.Sprint(response.Poll, response.Proxy,
				controller.ResponseKind(response.Kind), response.Tag, response.Base, response.Sum))
		default:
			err = record.Apply(instance, entry, collector)
		}
		if err != nil {
			t.Fatalf("replaying a record of type %T: %v", entry.What, err)
		}
	}
}

// recordedController returns the controller that the first record of a recording describes.
func recordedController(start *recordpb.Start) (*controller.Controller, error) {
	cfg, err := config.Parse("recorded", []byte(start.Config))
	if err != nil {
		return nil, err
	}
	return config.NewController(cfg, start.Life, start.Seed), nil
}

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}
