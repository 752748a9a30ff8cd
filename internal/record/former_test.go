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

// formerRecording was written by a former daemon, in format 4. The daemon restored a stored state, and then ran
// overloaded for four seconds with two proxies and two overrides. The file is never written again.
const formerRecording = "testdata/former-daemon.rec"

func newController(start *recordpb.Start) (*controller.Controller, error) {
	settings, err := config.Parse("record", []byte(start.Config))
	if err != nil {
		return nil, err
	}
	return config.NewController(config.ForRecordingFormat(settings, start.Format), start.Life, start.Seed), nil
}

// A recording of the former daemon can be read to its end, and has the restored state.
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
	if !reader.EndedCleanly() || len(reader.DamagedRanges) > 0 {
		t.Errorf("got a clean end %v and the damaged ranges %v, want a clean end and none",
			reader.EndedCleanly(), reader.DamagedRanges)
	}
	if restores != 1 || statistics != 8 || published == 0 {
		t.Errorf("got %d restored states, %d stats and %d responses, want 1, 8 and at least 1",
			restores, statistics, published)
	}
}

// The controller publishes the same responses as that of the former daemon, byte for byte.
func TestReplayFormerRecording(t *testing.T) {
	content, err := os.ReadFile(formerRecording)
	if err != nil {
		t.Fatal(err)
	}
	result, err := replay.Verify(record.NewReader(bytes.NewReader(content)).Next, newController)
	if err != nil {
		t.Fatal(err)
	}
	if result.FirstDifference != nil || result.Responses == 0 || result.ReadErr != nil {
		t.Errorf("got %d identical responses, the first difference %v and the error %v, want identical responses only",
			result.Responses, result.FirstDifference, result.ReadErr)
	}
}
