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

func written(n, block int, finish bool) []byte {
	var out bytes.Buffer
	w := NewWriter(&out)
	for i := range n {
		w.Write(Disconnect(float64(i), fmt.Sprint("proxy-", i)))
		if (i+1)%block == 0 {
			w.Flush()
		}
	}
	if finish {
		w.Close()
	} else {
		w.Flush()
	}
	return out.Bytes()
}

// read gives the times of the records that come.
func read(text []byte) (times []float64, r *Reader, last error) {
	r = NewReader(bytes.NewReader(text))
	for {
		rec, err := r.Next()
		if err != nil {
			return times, r, err
		}
		times = append(times, rec.At)
	}
}

// A recording cut at any byte gives the whole blocks before the cut and says that it is torn; one with any byte
// damaged gives all other blocks and names the damaged part.
func TestTornAndDamaged(t *testing.T) {
	text := written(30, 10, true)
	all, r, err := read(text)
	if len(all) != 30 || !errors.Is(err, io.EOF) || !r.EndedCleanly() || len(r.DamagedRanges) != 0 {
		t.Fatalf("%d records, %v, clean %v", len(all), err, r.EndedCleanly())
	}
	for cut := len(magic); cut < len(text)-16; cut++ {
		times, r, err := read(text[:cut])
		if len(times)%10 != 0 || r.EndedCleanly() || err != io.EOF && err != ErrTruncated {
			t.Fatalf("cut at %d: %d records, %v", cut, len(times), err)
		}
		if err == ErrTruncated && len(r.DamagedRanges) == 0 {
			t.Fatalf("cut at %d: nothing named", cut)
		}
	}
	if n, _, _ := read(text[:len(text)-17]); len(n) != 30 {
		t.Errorf("%d records without the index", len(n))
	}
	lost := 0
	for at := len(magic); at < len(text)-16; at++ {
		bad := bytes.Clone(text)
		bad[at] ^= 0x10
		times, r, _ := read(bad)
		if len(times) < 20 && len(times) != 0 && len(times) != 10 {
			t.Fatalf("byte %d: %d records", at, len(times))
		}
		if len(times) < 30 {
			if lost++; len(r.DamagedRanges) == 0 {
				t.Fatalf("byte %d: %d records and no fault named", at, len(times))
			}
		}
	}
	if lost == 0 {
		t.Error("no damage was ever seen")
	}
}

// Format 1 is still read.
func TestFormatOne(t *testing.T) {
	var text []byte
	for i := range 3 {
		body, _ := proto.Marshal(&recordpb.Record{At: float64(i), What: &recordpb.Record_Leave{Leave: "p"}})
		text = binary.AppendUvarint(text, uint64(len(body)))
		text = binary.LittleEndian.AppendUint32(text, Checksum(body))
		text = append(text, body...)
	}
	if times, _, err := read(text); len(times) != 3 || err != io.EOF {
		t.Errorf("%v, %v", times, err)
	}
	if times, _, err := read(text[:len(text)-1]); len(times) != 2 || err != ErrTruncated {
		t.Errorf("%v, %v", times, err)
	}
}

func FuzzReader(f *testing.F) {
	f.Add(written(5, 2, true))
	f.Add(written(5, 2, false))
	f.Fuzz(func(t *testing.T, text []byte) {
		if times, _, err := read(text); err == nil || len(times) > len(text) {
			t.Fatalf("%d records of %d bytes, %v", len(times), len(text), err)
		}
	})
}
