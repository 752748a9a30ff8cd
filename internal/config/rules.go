package config

import (
	"barleysail/internal/config/configpb"
	"barleysail/internal/rules"
)

// RuleLimits returns the limits of the rules by which a recording is checked. collapseMs is the time after which a host
// in slow start collapses under the load of guard.fall_multiple.
func RuleLimits(c *configpb.Config, collapseMs float64) rules.Limits {
	limits := rules.Limits{
		CollapseMs:             collapseMs,
		NonIdempotentClasses:   map[string]bool{},
		EmptyTableMs:           *c.Guard.BareMs,
		DrainGraceMs:           *c.Guard.GraceMs,
		SlowStartInitialFactor: *c.Guard.ColdFrom,
		SlowStartMs:            *c.Guard.ColdMs,
		CollapseMultiple:       *c.Guard.FallMultiple,
		EntriesPerSecond:       *c.Channel.LinesPerS,
		MessageOverhead:        *c.Channel.HeadLines,
		MaxBacklog:             *c.Channel.MostWaiting,
		MaxMessages:            int(*c.Channel.MessagesMost),
		MessageWindowMs:        *c.Channel.MessagesOverMs,
	}
	for _, class := range c.Classes {
		limits.NonIdempotentClasses[class.Name] = class.Once
	}
	return limits
}
