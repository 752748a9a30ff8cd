package main

import (
	"fmt"

	"barleysail/controller"
	"barleysail/internal/config"
	"barleysail/internal/record"
	"barleysail/internal/record/recordpb"
)

// recordedConfig names the configuration of a recording in error messages, in place of a file.
const recordedConfig = "the recorded configuration"

// formatError says that a recording is of a newer format than this program reads.
type formatError struct{ format int32 }

func (e *formatError) Error() string {
	return fmt.Sprintf("the recording has format %d, %d is the newest known here", e.format, record.Format)
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
