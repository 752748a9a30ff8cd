package platform

import (
	"fmt"
	"strconv"
	"strings"

	"barleysail/internal/instance"
	"barleysail/routing"
)

const (
	utilizationName = "util" // name of the utilization in a load report
	maxUtilization  = 4.0    // as a ratio of the capacity; above 1 since reports are noisy
	maxLoadValue    = 1e9    // exclusive bound of any value
)

// parseLoad parses the load report in a host report: name:value pairs, separated by commas. The error is a
// *fieldError.
func parseLoad(text string) (routing.HostLoad, error) {
	values := map[string]float64{}
	for _, pair := range strings.Split(text, ",") {
		name, digits, _ := strings.Cut(pair, ":")
		value, err := strconv.ParseFloat(digits, 64)
		if err != nil || name == "" || !validLoad(name, value) {
			return routing.UnknownLoad, &fieldError{fieldLoad, fmt.Sprintf("has invalid entry %.30q", pair)}
		}
		values[name] = value
	}
	return newHostLoad(func(name string) (float64, bool) {
		value, reported := values[name]
		return value, reported
	}), nil
}

// validLoad reports whether a value of a load report is in its range. It is false for NaN.
func validLoad(name string, value float64) bool {
	return value >= 0 && value < maxLoadValue && (name != utilizationName || value <= maxUtilization)
}

// newHostLoad returns a load report with the values that lookup finds and that are in range; the others count as not
// reported.
func newHostLoad(lookup func(name string) (float64, bool)) routing.HostLoad {
	const notReported = -1
	return instance.HostLoad(func(name string) float64 {
		if value, reported := lookup(name); reported && validLoad(name, value) {
			return value
		}
		return notReported
	})
}
