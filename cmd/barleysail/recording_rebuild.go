package main

import (
	"fmt"

	"barleysail/controller"
	"barleysail/internal/config"
	"barleysail/internal/record"
	"barleysail/internal/record/recordpb"
)

// recordedConfig is the name of a recording's configuration in error messages, in place of a file name.
const recordedConfig = "the recorded configuration"

// formatError is the error of a recording in a newer format than this program can read.
type formatError struct{ format int32 }

func (e *formatError) Error() string {
	return fmt.Sprintf("the recording has format %d, the newest supported format is %d", e.format, record.Format)
}

// rebuildController creates the controller that the start record of a recording describes.
func rebuildController(start *recordpb.Start) (*controller.Controller, error) {
	if start.Format > record.Format {
		return nil, &formatError{start.Format}
	}
	settings, err := config.Parse(recordedConfig, []byte(start.Config))
	if err != nil {
		return nil, err
	}
	return config.NewController(config.ForRecordingFormat(settings, start.Format), start.Life, start.Seed), nil
}
