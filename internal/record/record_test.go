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

func testRecording(records, blockRecords int, closed bool) []byte {
	var out bytes.Buffer
	w := NewWriter(&out)
	for i := range records {
		w.Write(Disconnect(float64(i), fmt.Sprint("proxy-", i)))
		if (i+1)%blockRecords == 0 {
			w.Flush()
		}
	}
	if closed {
		w.Close()
	} else {
		w.Flush()
	}
	return out.Bytes()
}

// read gives the times of the records that come.
func readTimes(recording []byte) (times []float64, r *Reader, last error) {
	r = NewReader(bytes.NewReader(recording))
	for {
		record, err := r.Next()
		if err != nil {
			return times, r, err
		}
		times = append(times, record.At)
	}
}

// A recording cut at any byte gives the whole blocks before the cut and says that it is torn; one with any byte
// damaged gives all other blocks and names the damaged part.
func TestTruncatedAndDamaged(t *testing.T) {
	recording := testRecording(30, 10, true)
	all, r, err := readTimes(recording)
	if len(all) != 30 || !errors.Is(err, io.EOF) || !r.EndedCleanly() || len(r.DamagedRanges) != 0 {
		t.Fatalf("%d records, %v, clean %v", len(all), err, r.EndedCleanly())
	}
	for cut := len(magic); cut < len(recording)-16; cut++ {
		times, r, err := readTimes(recording[:cut])
		if len(times)%10 != 0 || r.EndedCleanly() || err != io.EOF && err != ErrTruncated {
			t.Fatalf("cut at %d: %d records, %v", cut, len(times), err)
		}
		if err == ErrTruncated && len(r.DamagedRanges) == 0 {
			t.Fatalf("cut at %d: nothing named", cut)
		}
	}
	if n, _, _ := readTimes(recording[:len(recording)-17]); len(n) != 30 {
		t.Errorf("%d records without the index", len(n))
	}
	lost := 0
	for offset := len(magic); offset < len(recording)-16; offset++ {
		damaged := bytes.Clone(recording)
		damaged[offset] ^= 0x10
		times, r, _ := readTimes(damaged)
		if len(times) < 20 && len(times) != 0 && len(times) != 10 {
			t.Fatalf("byte %d: %d records", offset, len(times))
		}
		if len(times) < 30 {
			if lost++; len(r.DamagedRanges) == 0 {
				t.Fatalf("byte %d: %d records and no fault named", offset, len(times))
			}
		}
	}
	if lost == 0 {
		t.Error("no damage was ever seen")
	}
}

// Format 1 is still read.
func TestFormat1(t *testing.T) {
	var recording []byte
	for i := range 3 {
		body, _ := proto.Marshal(&recordpb.Record{At: float64(i), What: &recordpb.Record_Leave{Leave: "p"}})
		recording = binary.AppendUvarint(recording, uint64(len(body)))
		recording = binary.LittleEndian.AppendUint32(recording, Checksum(body))
		recording = append(recording, body...)
	}
	if times, _, err := readTimes(recording); len(times) != 3 || err != io.EOF {
		t.Errorf("%v, %v", times, err)
	}
	if times, _, err := readTimes(recording[:len(recording)-1]); len(times) != 2 || err != ErrTruncated {
		t.Errorf("%v, %v", times, err)
	}
}

func FuzzReader(f *testing.F) {
	f.Add(testRecording(5, 2, true))
	f.Add(testRecording(5, 2, false))
	f.Fuzz(func(t *testing.T, recording []byte) {
		if times, _, err := readTimes(recording); err == nil || len(times) > len(recording) {
			t.Fatalf("%d records of %d bytes, %v", len(times), len(recording), err)
		}
	})
}
