// Package orca reads and writes the load that a host reports in its responses: the text format of the header field
// endpoint-load-metrics of ORCA (Open Request Cost Aggregation), as in
//
//	endpoint-load-metrics: TEXT cpu_utilization=0.31, rps_fractional=42.5, named_metrics.queue=3
//
// ORCA defines the CPU utilization and the request rate; the queue length is a named metric.
package orca

import (
	"math"
	"net/textproto"
	"strconv"
	"strings"

	"barleysail/routing"
)

// HeaderName is the name of the header field.
const HeaderName = "endpoint-load-metrics"

// textPrefix begins a value in the text format.
const textPrefix = "TEXT "

// significantDigits is the precision of a metric's value.
const significantDigits = 6

// Names of the metrics in the header field.
const (
	utilizationName = "cpu_utilization"
	requestRateName = "rps_fractional"
	queueLengthName = "named_metrics.queue"
)

// Parse parses the value of the header field. A metric that is missing, or whose value is not a finite number from 0
// up, is not reported. Unknown metrics are ignored.
func Parse(value string) routing.HostLoad {
	load := routing.UnknownLoad
	if metrics, ok := strings.CutPrefix(value, textPrefix); ok {
		value = metrics
	}
	for _, metric := range strings.Split(value, ",") {
		name, text, ok := strings.Cut(textproto.TrimString(metric), "=")
		number, err := strconv.ParseFloat(textproto.TrimString(text), 64)
		if !ok || err != nil || !(number >= 0) || math.IsInf(number, 0) {
			continue
		}
		switch textproto.TrimString(name) {
		case utilizationName:
			load.Utilization = number
		case requestRateName:
			load.RequestRate = number
		case queueLengthName:
			load.QueueLength = number
		}
	}
	return load
}

// Format returns the value of the header field, "" if no metric is reported.
func Format(load routing.HostLoad) string {
	var metrics []string
	for _, metric := range []struct {
		name  string
		value float64
	}{
		{utilizationName, load.Utilization},
		{requestRateName, load.RequestRate},
		{queueLengthName, load.QueueLength},
	} {
		if metric.value >= 0 {
			metrics = append(metrics, metric.name+"="+strconv.FormatFloat(metric.value, 'g', significantDigits, 64))
		}
	}
	if len(metrics) == 0 {
		return ""
	}
	return textPrefix + strings.Join(metrics, ", ")
}
