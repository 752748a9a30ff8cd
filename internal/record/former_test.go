package record_test

import (
	"bytes"
	"errors"
	"io"
	"os"
	"testing"

	"barleysail/controller"
	"barleysail/internal/config"
	"barleysail/internal/record"
	"barleysail/internal/record/recordpb"
	"barleysail/replay"
)

// formerRecording was written by a daemon of format 4 that restored a stored state and then ran overloaded for four
// seconds, with two proxies and two overrides. It is never written again.
const formerRecording = "testdata/former-daemon.rec"

func newController(start *recordpb.Start) (*controller.Controller, error) {
	settings, err := config.Parse("record", []byte(start.Config))
	if err != nil {
		return nil, err
	}
	return config.NewController(config.ForRecordingFormat(settings, start.Format), start.Life, start.Seed), nil
}

// A recording of the former daemon can be read to its clean end, and holds the restored state.
func TestReadFormerRecording(t *testing.T) {
	content, err := os.ReadFile(formerRecording)
	if err != nil {
		t.Fatal(err)
	}
	reader := record.NewReader(bytes.NewReader(content))
	restores, statistics, published := 0, 0, 0
	for {
		next, err := reader.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		switch next.What.(type) {
		case *recordpb.Record_Recall:
			restores++
		case *recordpb.Record_Sums:
			statistics++
		case *recordpb.Record_Published:
			published++
		}
	}
	if !reader.Clean() || len(reader.Faults) > 0 {
		t.Errorf("clean end %v, faults %v", reader.Clean(), reader.Faults)
	}
	if restores != 1 || statistics != 8 || published == 0 {
		t.Errorf("%d restores, %d reports of proxies, %d published tables", restores, statistics, published)
	}
}

// The controller of today publishes what the former one published, byte for byte.
func TestReplayFormerRecording(t *testing.T) {
	content, err := os.ReadFile(formerRecording)
	if err != nil {
		t.Fatal(err)
	}
	result, err := replay.Again(record.NewReader(bytes.NewReader(content)).Next, newController)
	if err != nil {
		t.Fatal(err)
	}
	if result.First != nil || result.Answers == 0 || result.End != nil {
		t.Errorf("%d answers, first difference %v, end %v", result.Answers, result.First, result.End)
	}
}
