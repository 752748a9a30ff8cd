package config

import (
	"barleysail/internal/config/configpb"
	"barleysail/internal/rules"
)

// Rules gives the figures by which the rules are reckoned for a configuration; a cold host that is pushed for so
// many ms falls over.
func Rules(c *configpb.Config, fall float64) rules.Figures {
	f := rules.Figures{Fall: fall, Once: map[string]bool{}, Bare: *c.Guard.BareMs, Grace: *c.Guard.GraceMs,
		ColdFrom: *c.Guard.ColdFrom, Cold: *c.Guard.ColdMs, Multiple: *c.Guard.FallMultiple,
		LinesPerS: *c.Channel.LinesPerS, Head: *c.Channel.HeadLines, MostWaiting: *c.Channel.MostWaiting,
		MessagesMost: int(*c.Channel.MessagesMost), MessagesOver: *c.Channel.MessagesOverMs}
	for _, k := range c.Classes {
		f.Once[k.Name] = k.Once
	}
	return f
}
