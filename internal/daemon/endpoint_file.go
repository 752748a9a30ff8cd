package daemon

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/fsnotify/fsnotify"
	"github.com/rs/zerolog"

	"barleysail/controller"
	"barleysail/internal/config"
)

const (
	// settleDelay is the delay from a notification of a change to the read of the file, since an editor may write it in
	// several steps.
	settleDelay = 50 * time.Millisecond

	// recheckInterval is the time between reads of the file without notifications, for file systems that send none.
	recheckInterval = 2 * time.Second
)

// endpointFile watches an endpoint list in a file. A list that cannot be read, does not parse, is empty or is invalid
// is a rejected list: the error is logged, once for each text, and the last valid list stays in force. The file is read
// again when it changes; no signal is needed.
type endpointFile struct {
	path     string
	log      zerolog.Logger
	publish  func([]controller.Endpoint) error
	lastText []byte // as last read, valid or not; nil: never read
}

// reload reads the file and publishes the list if the text has changed. The error says why the list was rejected, and
// for a parsed file in which line.
func (f *endpointFile) reload() error {
	text, err := os.ReadFile(f.path)
	if err != nil {
		return fmt.Errorf("reading the endpoint list: %w", err)
	}
	if f.lastText != nil && bytes.Equal(text, f.lastText) {
		return nil
	}
	f.lastText = text
	endpoints, err := config.ParseHosts(f.path, text)
	if err != nil {
		return err
	}
	if len(endpoints) == 0 {
		return fmt.Errorf("%s: no host is listed", f.path)
	}
	if err := f.publish(endpoints); err != nil {
		return config.LocateEndpointError(f.path, text, err)
	}
	f.log.Info().Int("hosts", len(endpoints)).Msg("endpoint list loaded")
	return nil
}

// watch reloads the file whenever it changes, until the context ends.
func (f *endpointFile) watch(ctx context.Context) {
	var events chan fsnotify.Event // nil if there are no notifications: nothing is then received from it
	watcher, err := f.newWatcher()
	if err != nil {
		f.log.Warn().Err(err).Msg("watching the folder of the endpoint list failed, reading the list every two seconds")
	} else {
		events = watcher.Events
		defer f.closeWatcher(watcher)
	}
	timer := time.NewTimer(recheckInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event, ok := <-events:
			if !ok {
				events = nil
			} else if filepath.Clean(event.Name) == filepath.Clean(f.path) {
				timer.Reset(settleDelay)
			}
		case <-timer.C:
			timer.Reset(recheckInterval)
			if err := f.reload(); err != nil {
				f.log.Error().Err(err).Msg("endpoint list rejected, the last list stays in force")
			}
		}
	}
}

// newWatcher returns a watcher of the file's folder, since the file itself may be replaced by a rename.
func (f *endpointFile) newWatcher() (*fsnotify.Watcher, error) {
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return nil, err
	}
	if err := watcher.Add(filepath.Dir(f.path)); err != nil {
		f.closeWatcher(watcher)
		return nil, err
	}
	return watcher, nil
}

// closeWatcher closes a watcher. A failure is only logged, since the file is still read every recheckInterval.
func (f *endpointFile) closeWatcher(watcher *fsnotify.Watcher) {
	if err := watcher.Close(); err != nil {
		f.log.Warn().Err(err).Msg("closing the watcher of the endpoint list failed")
	}
}
