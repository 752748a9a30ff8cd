package guard

import (
	"maps"
	"slices"
)

// blends are the parts of the decided step that are tried, the whole one first.
var blends = []float64{1, 0.75, 0.5, 0.25, 0.1}

// Repair gives the nearest sound tables: those decided where they are; else as much of the step from the published ones
// as passes, without what may not stay; else the hosts by their caps. Hosts that drain, are gone or withdrawn are out
// of all of them: no removal is held back. left are the findings of what it gives, none where it is sound.
func Repair(v *View, l Limits) (t Tables, left []Finding) {
	best, found := v.Next, Check(v, l)
	if len(found) == 0 {
		return best, nil
	}
	left = found
	try := func(next Tables) bool {
		w := *v
		w.Next = next
		if found := Check(&w, l); len(found) < len(left) {
			best, left = next, found
		}
		return len(left) == 0
	}
	hosts := v.index()
	for _, part := range blends {
		if try(v.blend(hosts, part)) {
			return best, nil
		}
	}
	try(v.byCaps(hosts))
	return best, left
}

// blend goes a part of the way from the published tables to those decided.
func (v *View) blend(hosts map[string]Host, part float64) Tables {
	out := Tables{}
	c := &checker{v: v, hosts: hosts}
	for _, k := range v.Classes {
		out[k.Name] = map[string]map[string]float64{}
		for _, z := range v.Zones {
			was, is := c.shares(v.Now[k.Name][z]), c.shares(v.Next[k.Name][z])
			row := map[string]float64{}
			if len(was) == 0 {
				was = is
			}
			if len(is) == 0 {
				is = was
			}
			names := maps.Clone(was)
			maps.Copy(names, is)
			for host := range names {
				if w := was[host] + part*(is[host]-was[host]); w > 0 && may(hosts[host], k, z) {
					row[host] = w
				}
			}
			out[k.Name][z] = row
		}
	}
	return out
}

// byCaps deals each class to the hosts that may take it by what they can do now; where no caps are told, evenly.
func (v *View) byCaps(hosts map[string]Host) Tables {
	out := Tables{}
	for _, k := range v.Classes {
		out[k.Name] = map[string]map[string]float64{}
		for _, z := range v.Zones {
			row := map[string]float64{}
			for _, name := range slices.Sorted(maps.Keys(hosts)) {
				if h := hosts[name]; may(h, k, z) && h.Warmth > 0 {
					row[name] = max(h.Cap, 1e-6) * h.Warmth
				}
			}
			out[k.Name][z] = row
		}
	}
	return out
}
