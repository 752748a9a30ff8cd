package solver

import (
	"iter"
	"math"
)

// Pool puts the tables of many proxies together by zone. Each proxy counts alike, its weights as parts of its table.
type Pool struct {
	tables Tables
	added  map[string]float64 // by class
}

// NewPool makes an empty one.
func NewPool() *Pool {
	return &Pool{Tables{Weights: map[string]map[string]map[string]float64{}, Share: map[string]float64{}}, map[string]float64{}}
}

// Add puts a proxy's table for a class in: its weights by host, and the share let in.
func (p *Pool) Add(class, zone string, share float64, lines iter.Seq2[string, float64]) {
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
	p.tables.Share[class] += math.Min(share, 1)
	p.added[class]++
}

// Tables gives what was put together; nothing is added after it.
func (p *Pool) Tables() Tables {
	for class, n := range p.added {
		p.tables.Share[class] /= n
	}
	return p.tables
}
