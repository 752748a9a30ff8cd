package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"barleysail/internal/record"
)

// recordingFile is a recording that is being read.
type recordingFile struct {
	*record.Reader
	file *os.File
}

func openRecording(name string) (*recordingFile, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("opening the recording: %w", err)
	}
	return &recordingFile{record.NewReader(file), file}, nil
}

// close closes the file. It ignores the error: the file was only read, so no data can be lost.
func (r *recordingFile) close() { _ = r.file.Close() }

// printFaults prints the damaged parts of the recording that were skipped.
func (r *recordingFile) printFaults(p *printer) {
	for _, fault := range r.DamagedRanges {
		p.printf("damaged: %v\n", fault)
	}
}

// condition describes whether a recording that was read to its end is complete and undamaged.
func (r *recordingFile) condition() string {
	switch {
	case len(r.DamagedRanges) > 0:
		return fmt.Sprintf("%d parts damaged", len(r.DamagedRanges))
	case !r.EndedCleanly():
		return "not ended cleanly"
	}
	return "whole"
}

// isDamaged reports whether a recording whose last read returned end is damaged or incomplete.
func (r *recordingFile) isDamaged(end error) bool {
	return len(r.DamagedRanges) > 0 || !errors.Is(end, io.EOF)
}

// isReadError reports whether end is neither the proper end of a recording nor a last record that a crash truncated.
func isReadError(end error) bool {
	return end != nil && !errors.Is(end, io.EOF) && !errors.Is(end, record.ErrTruncated)
}

// countRecords reads a recording to its end. It returns the number of records and the error of the last read, which
// is io.EOF at a proper end.
func countRecords(recording *recordingFile) (count int, end error) {
	for {
		if _, err := recording.Next(); err != nil {
			return count, err
		}
		count++
	}
}
