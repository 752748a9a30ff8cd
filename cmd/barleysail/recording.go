package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"

	"barleysail/controller"
	"barleysail/internal/config"
	"barleysail/internal/record"
	"barleysail/internal/record/recordpb"
	"barleysail/replay"
)

const recordingPattern = "*.day" // file names of recordings in a folder

// recordedConfig names the configuration of a recording in error messages, in place of a file.
const recordedConfig = "the recorded configuration"

var errNoControllerRecording = errors.New("no controller's recording is among them")

// formatError says that a recording is of a newer format than this program reads.
type formatError struct{ format int32 }

func (e *formatError) Error() string {
	return fmt.Sprintf("the recording has format %d, %d is the newest known here", e.format, record.Format)
}

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

// close closes the file. Its error is dropped: the file was only read, so nothing can be lost.
func (r *recordingFile) close() { _ = r.file.Close() }

// printFaults prints which parts of the recording were damaged and passed over.
func (r *recordingFile) printFaults(p *printer) {
	for _, fault := range r.Faults {
		p.printf("damaged: %v\n", fault)
	}
}

// condition says in a few words whether a recording, read to its end, is complete.
func (r *recordingFile) condition() string {
	switch {
	case len(r.Faults) > 0:
		return fmt.Sprintf("%d parts damaged", len(r.Faults))
	case !r.Clean():
		return "not ended cleanly"
	}
	return "whole"
}

// endedEarly tells whether a recording ended by an error other than being cut off, as after a crash.
func endedEarly(err error) bool { return err != nil && !errors.Is(err, record.ErrTorn) }

// findRecordings returns the recordings at the paths, sorted: files as they are named, and of folders the files that
// recordingPattern matches.
func findRecordings(paths []string) ([]string, error) {
	var names []string
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, fmt.Errorf("looking for recordings: %w", err)
		}
		if !info.IsDir() {
			names = append(names, path)
			continue
		}
		inFolder, err := recordingsInFolder(path)
		if err != nil {
			return nil, err
		}
		names = append(names, inFolder...)
	}
	sort.Strings(names)
	return names, nil
}

func recordingsInFolder(folder string) ([]string, error) {
	names, err := filepath.Glob(filepath.Join(folder, recordingPattern))
	if err != nil {
		return nil, fmt.Errorf("looking for recordings: %w", err)
	}
	return names, nil
}

// findControllerRecordings returns those recordings at the paths that controllers made. It passes over the recordings
// of proxies, and files that cannot be opened; errNoControllerRecording says that none is left.
func findControllerRecordings(paths []string) ([]string, error) {
	names, err := findRecordings(paths)
	if err != nil {
		return nil, err
	}
	var ofControllers []string
	for _, name := range names {
		if ofProxy, err := isProxyRecording(name); err == nil && !ofProxy {
			ofControllers = append(ofControllers, name)
		}
	}
	if len(ofControllers) == 0 {
		return nil, errNoControllerRecording
	}
	return ofControllers, nil
}

// isProxyRecording tells whether a proxy made a recording, by its first record. One without a readable first record
// counts as a controller's, whose replay then reports the fault.
func isProxyRecording(name string) (bool, error) {
	recording, err := openRecording(name)
	if err != nil {
		return false, err
	}
	defer recording.close()
	first, err := recording.Next()
	return err == nil && first.GetProxyStart() != nil, nil
}

// recordingSet reads all recordings of a scenario or a deployment, once for each pass of a replay.
type recordingSet struct {
	names []string
	open  []*recordingFile // of the present pass
}

// sources opens the recordings from their beginnings, and closes those of the pass before.
func (s *recordingSet) sources() ([]replay.Source, error) {
	s.close()
	var sources []replay.Source
	for _, name := range s.names {
		recording, err := openRecording(name)
		if err != nil {
			return nil, err
		}
		s.open = append(s.open, recording)
		sources = append(sources, replay.Source{Name: filepath.Base(name), Next: recording.Next})
	}
	return sources, nil
}

func (s *recordingSet) close() {
	for _, recording := range s.open {
		recording.close()
	}
	s.open = nil
}

// rebuildController makes the controller that the start of a recording describes.
func rebuildController(start *recordpb.Start) (*controller.Controller, error) {
	if start.Format > record.Format {
		return nil, &formatError{start.Format}
	}
	settings, err := config.Parse(recordedConfig, []byte(start.Config))
	if err != nil {
		return nil, err
	}
	return config.Steward(config.Of(settings, start.Format), start.Life, start.Seed), nil
}

// countRecords reads a recording to its end. It returns the number of records and why the recording ended, io.EOF at a
// proper end.
func countRecords(recording *recordingFile) (count int, end error) {
	for {
		if _, err := recording.Next(); err != nil {
			return count, err
		}
		count++
	}
}

// isDamaged tells whether a recording that ended by an error is damaged or incomplete.
func (r *recordingFile) isDamaged(end error) bool {
	return len(r.Faults) > 0 || !errors.Is(end, io.EOF)
}
