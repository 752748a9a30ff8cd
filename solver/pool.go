package solver

import (
	"iter"
	"math"
)

// TableAggregator puts the tables of many proxies together by zone. Each proxy counts alike, its weights as parts of its table.
type TableAggregator struct {
	tables Tables
	added  map[string]float64 // by class
}

// NewTableAggregator makes an empty one.
func NewTableAggregator() *TableAggregator {
	return &TableAggregator{Tables{Weights: map[string]map[string]map[string]float64{}, AdmissionRatio: map[string]float64{}}, map[string]float64{}}
}

// Add puts a proxy's table for a class in: its weights by host, and the share let in.
func (p *TableAggregator) Add(class, zone string, share float64, lines iter.Seq2[string, float64]) {
	sum := 0.0
	for _, w := range lines {
		sum += w
	}
	if p.tables.Weights[class] == nil {
		p.tables.Weights[class] = map[string]map[string]float64{}
	}
	by := p.tables.Weights[class][zone]
	if by == nil {
		by = map[string]float64{}
		p.tables.Weights[class][zone] = by
	}
	for host, w := range lines {
		by[host] += w / sum
	}
	p.tables.AdmissionRatio[class] += math.Min(share, 1)
	p.added[class]++
}

// Tables gives what was put together; nothing is added after it.
func (p *TableAggregator) Tables() Tables {
	for class, n := range p.added {
		p.tables.AdmissionRatio[class] /= n
	}
	return p.tables
}
