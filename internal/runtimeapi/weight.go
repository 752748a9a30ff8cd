package runtimeapi

import (
	"math"
	"strconv"
	"strings"
)

// Weights of the API are whole numbers, those of the controller are relative to 1.
const (
	weightScale = 100 // the API's weight of a host whose weight is 1
	maxWeight   = 256 // largest weight of the API
	percent     = 100
)

// apiWeight rounds to the API's scale. A weight above zero stays above zero, since zero means that a host is drained.
func apiWeight(weight float64) int {
	if weight <= 0 {
		return 0
	}
	scaled := math.Round(weight * weightScale)
	return int(math.Min(math.Max(scaled, 1), maxWeight))
}

// parseWeight parses a weight of the API. One in percent is relative to the listed weight. The result is on the
// controller's scale.
func parseWeight(text string) (weight float64, relative, ok bool) {
	number, relative := strings.CutSuffix(text, "%")
	value, err := strconv.ParseFloat(number, 64)
	if err != nil || !(value >= 0) { // also where it is NaN
		return 0, relative, false
	}
	if relative {
		return value / percent, true, true
	}
	if value > maxWeight {
		return 0, false, false
	}
	return value / weightScale, false, true
}
