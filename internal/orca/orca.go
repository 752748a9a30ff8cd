// Package orca reads and writes the load that a host reports in its answers: the text form of the field
// endpoint-load-metrics of ORCA (Open Request Cost Aggregation), as in
//
//	endpoint-load-metrics: TEXT cpu_utilization=0.31, rps_fractional=42.5, named_metrics.queue=3
//
// ORCA names the busy part of the cores and the rate; the queue is a named metric.
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

// names of the metrics, as the field spells them.
const (
	util  = "cpu_utilization"
	rate  = "rps_fractional"
	queue = "named_metrics.queue"
)

// Parse reads a field's value. What is absent, unknown or no figure from 0 up is taken as not reported.
func Parse(value string) routing.HostLoad {
	load := routing.UnknownLoad
	if rest, ok := strings.CutPrefix(value, "TEXT "); ok {
		value = rest
	}
	for _, part := range strings.Split(value, ",") {
		name, figure, ok := strings.Cut(textproto.TrimString(part), "=")
		x, err := strconv.ParseFloat(textproto.TrimString(figure), 64)
		if !ok || err != nil || !(x >= 0) || math.IsInf(x, 0) {
			continue
		}
		switch textproto.TrimString(name) {
		case util:
			load.Utilization = x
		case rate:
			load.RequestRate = x
		case queue:
			load.QueueLength = x
		}
	}
	return load
}

// Format writes a field's value, empty where nothing is reported.
func Format(load routing.HostLoad) string {
	var parts []string
	for _, f := range []struct {
		name string
		x    float64
	}{{util, load.Utilization}, {rate, load.RequestRate}, {queue, load.QueueLength}} {
		if f.x >= 0 {
			parts = append(parts, f.name+"="+strconv.FormatFloat(f.x, 'g', 6, 64))
		}
	}
	if len(parts) == 0 {
		return ""
	}
	return "TEXT " + strings.Join(parts, ", ")
}
