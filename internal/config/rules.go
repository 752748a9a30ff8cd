package config

import (
	"barleysail/internal/config/configpb"
	"barleysail/internal/rules"
)

// RuleLimits gives the figures by which the rules are reckoned for a configuration; a cold host that is pushed for so
// many ms falls over.
func RuleLimits(c *configpb.Config, fall float64) rules.Limits {
	f := rules.Limits{CollapseMs: fall, NonIdempotentClasses: map[string]bool{}, EmptyTableMs: *c.Guard.BareMs, DrainGraceMs: *c.Guard.GraceMs,
		SlowStartInitialFactor: *c.Guard.ColdFrom, SlowStartMs: *c.Guard.ColdMs, CollapseMultiple: *c.Guard.FallMultiple,
		EntriesPerSecond: *c.Channel.LinesPerS, MessageOverhead: *c.Channel.HeadLines, MaxBacklog: *c.Channel.MostWaiting,
		MaxMessages: int(*c.Channel.MessagesMost), MessageWindowMs: *c.Channel.MessagesOverMs}
	for _, k := range c.Classes {
		f.NonIdempotentClasses[k.Name] = k.Once
	}
	return f
}
