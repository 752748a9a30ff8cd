package record

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"testing"

	"google.golang.org/protobuf/proto"

	"barleysail/internal/record/recordpb"
)

// testRecording returns a recording of proxies' disconnects, with a number of records in each block.
func testRecording(t testing.TB, records, blockRecords int, closed bool) []byte {
	t.Helper()
	var out bytes.Buffer
	w := NewWriter(&out)
	for i := range records {
		err := w.Write(Disconnect(float64(i), fmt.Sprint("proxy-", i)))
		if err == nil && (i+1)%blockRecords == 0 {
			err = w.Flush()
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	finish := w.Flush
	if closed {
		finish = w.Close
	}
	if err := finish(); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// readTimes returns the times of the records of a recording, the reader, and the error that ended reading.
func readTimes(recording []byte) (times []float64, r *Reader, endErr error) {
	r = NewReader(bytes.NewReader(recording))
	for {
		record, err := r.Next()
		if err != nil {
			return times, r, err
		}
		times = append(times, record.At)
	}
}

// A recording that is truncated at any byte has the complete blocks before that byte, and is reported as truncated.
func TestTruncated(t *testing.T) {
	recording := testRecording(t, 30, 10, true)
	all, r, err := readTimes(recording)
	if len(all) != 30 || !errors.Is(err, io.EOF) || !r.EndedCleanly() || len(r.DamagedRanges) != 0 {
		t.Fatalf("got %d records, the error %v, clean end %v and damaged ranges %v, want 30, EOF, a clean end and none",
			len(all), err, r.EndedCleanly(), r.DamagedRanges)
	}
	for cut := len(magic); cut < len(recording)-16; cut++ {
		times, r, err := readTimes(recording[:cut])
		truncated := errors.Is(err, ErrTruncated)
		if len(times)%10 != 0 || r.EndedCleanly() || !errors.Is(err, io.EOF) && !truncated {
			t.Fatalf("truncated at byte %d: got %d records, the error %v and clean end %v, want complete blocks, "+
				"EOF or %v, and no clean end", cut, len(times), err, r.EndedCleanly(), ErrTruncated)
		}
		if truncated && len(r.DamagedRanges) == 0 {
			t.Fatalf("truncated at byte %d: got no damaged range, want one", cut)
		}
	}
	if times, _, _ := readTimes(recording[:len(recording)-17]); len(times) != 30 {
		t.Errorf("without the index: got %d records, want 30", len(times))
	}
}

// A recording with a damaged byte has all other blocks, and the damaged range is reported.
func TestDamaged(t *testing.T) {
	recording := testRecording(t, 30, 10, true)
	lost := 0
	for offset := len(magic); offset < len(recording)-16; offset++ {
		damaged := bytes.Clone(recording)
		damaged[offset] ^= 0x10
		times, r, _ := readTimes(damaged)
		if len(times) < 20 && len(times) != 0 && len(times) != 10 {
			t.Fatalf("damage at byte %d: got %d records, want at least 20, or those of fewer complete blocks",
				offset, len(times))
		}
		if len(times) < 30 {
			if lost++; len(r.DamagedRanges) == 0 {
				t.Fatalf("damage at byte %d: got %d records and no damaged range, want one", offset, len(times))
			}
		}
	}
	if lost == 0 {
		t.Error("got all records whatever byte was damaged, want some to be lost")
	}
}

// Recordings of format 1 can still be read.
func TestFormat1(t *testing.T) {
	var recording []byte
	for i := range 3 {
		body, err := proto.Marshal(&recordpb.Record{At: float64(i), What: &recordpb.Record_Leave{Leave: "p"}})
		if err != nil {
			t.Fatal(err)
		}
		recording = binary.AppendUvarint(recording, uint64(len(body)))
		recording = binary.LittleEndian.AppendUint32(recording, Checksum(body))
		recording = append(recording, body...)
	}
	if times, _, err := readTimes(recording); len(times) != 3 || !errors.Is(err, io.EOF) {
		t.Errorf("got %d records and the error %v, want 3 and EOF", len(times), err)
	}
	if times, _, err := readTimes(recording[:len(recording)-1]); len(times) != 2 || !errors.Is(err, ErrTruncated) {
		t.Errorf("truncated: got %d records and the error %v, want 2 and %v", len(times), err, ErrTruncated)
	}
}

func FuzzReader(f *testing.F) {
	f.Add(testRecording(f, 5, 2, true))
	f.Add(testRecording(f, 5, 2, false))
	f.Fuzz(func(t *testing.T, recording []byte) {
		if times, _, err := readTimes(recording); err == nil || len(times) > len(recording) {
			t.Fatalf("got %d records from %d bytes and the error %v, want an error and at most a record a byte",
				len(times), len(recording), err)
		}
	})
}

// A reader that is asked again after the end of a recording does not read its index as a block.
func TestNextAfterEnd(t *testing.T) {
	r := NewReader(bytes.NewReader(testRecording(t, 3, 10, true)))
	for range 3 {
		if _, err := r.Next(); err != nil {
			t.Fatal(err)
		}
	}
	for range 2 {
		if record, err := r.Next(); !errors.Is(err, io.EOF) {
			t.Errorf("got the record %v and the error %v after the end, want EOF", record, err)
		}
	}
}
