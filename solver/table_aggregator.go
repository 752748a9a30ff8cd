package solver

import (
	"iter"
	"math"
)

// TableAggregator aggregates the tables of many proxies by zone. All proxies count the same: the weights of each are
// scaled to a sum of 1 before they are added.
type TableAggregator struct {
	tables  Tables
	proxies map[string]float64 // number of added tables by class
}

// NewTableAggregator returns an aggregator without tables.
func NewTableAggregator() *TableAggregator {
	return &TableAggregator{
		tables: Tables{
			Weights:        map[string]map[string]map[string]float64{},
			AdmissionRatio: map[string]float64{},
		},
		proxies: map[string]float64{},
	}
}

// Add adds a proxy's table of a class: its weights by host, and its admission ratio.
func (a *TableAggregator) Add(class, zone string, admissionRatio float64, weights iter.Seq2[string, float64]) {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	if a.tables.Weights[class] == nil {
		a.tables.Weights[class] = map[string]map[string]float64{}
	}
	byHost := a.tables.Weights[class][zone]
	if byHost == nil {
		byHost = map[string]float64{}
		a.tables.Weights[class][zone] = byHost
	}
	for host, weight := range weights {
		byHost[host] += weight / sum
	}
	a.tables.AdmissionRatio[class] += math.Min(admissionRatio, 1)
	a.proxies[class]++
}

// Tables returns the aggregated weights, and the mean admission ratio of each class. It may be called once, after the
// last Add.
func (a *TableAggregator) Tables() Tables {
	for class, count := range a.proxies {
		a.tables.AdmissionRatio[class] /= count
	}
	return a.tables
}
