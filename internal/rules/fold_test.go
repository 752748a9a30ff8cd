package rules

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// A journal that is folded again and again reckons the same as one that keeps all.
func TestFold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all, folded := NewJournal(), NewJournal()
		both := func(do func(j *Journal)) { do(all); do(folded) }
		hosts, proxies := []string{"x", "y", "z"}, []string{"p", "q", "r"}
		both(func(j *Journal) {
			for _, h := range hosts {
				j.Capacity(h, 4)
			}
		})
		list := map[string]Listed{}
		now, most := 1000.0, 0
		for i := range rapid.IntRange(20, 400).Draw(t, "steps") {
			now += rapid.SampledFrom([]float64{1, 1, 5, 40, 300, 1500, 9000}).Draw(t, "pause")
			proxy, host := rapid.SampledFrom(proxies).Draw(t, "proxy"), rapid.SampledFrom(hosts).Draw(t, "host")
			switch what := rapid.IntRange(0, 11).Draw(t, "what"); {
			case what == 0 || i == 0:
				next := map[string]Listed{}
				for h, l := range list {
					next[h] = l
				}
				switch rapid.IntRange(0, 3).Draw(t, "change") {
				case 0:
					delete(next, host)
				case 1:
					next[host] = Listed{Started: next[host].Started}
				case 2:
					next[host] = Listed{Ready: true, Started: now - 100}
				default:
					next[host] = Listed{Ready: true, Started: next[host].Started}
				}
				list = next
				at := now
				both(func(j *Journal) { j.Gave(at, next) })
			case what == 1:
				both(func(j *Journal) { j.Answered(now, proxy, "s", 0, "", "", "", nil) })
			case what == 2:
				empty := []byte(`{"tables":{"finish":{"hosts":{}}}}`)
				both(func(j *Journal) { j.Answered(now, proxy, "s", 200, "1", "", "", empty) })
			case what <= 4:
				steward := rapid.SampledFrom([]string{"s", "t"}).Draw(t, "steward")
				both(func(j *Journal) { j.Answered(now, proxy, steward, 200, "1", "", "", []byte(two)) })
			case what == 5:
				folded.Fold(figures, now)
				most = max(most, len(folded.answers))
			default:
				work := rapid.SampledFrom([]float64{50, 4000}).Draw(t, "work")
				both(func(j *Journal) { j.Arrived(now, host, proxy, "sheet", fmt.Sprint("t", i), work, true) })
			}
		}
		folded.Fold(figures, now)
		want, got := all.Check(figures, now+10), folded.Check(figures, now+10)
		for _, w := range want {
			found := false
			for _, g := range got {
				if g.Rule == w.Rule {
					found = true
					if math.Abs(w.Margin-g.Margin) > 1e-9 {
						t.Fatalf("%s: margin %g of a whole journal (%s), %g of a folded one (%s)", w.Rule, w.Margin, w.Seen, g.Margin, g.Seen)
					}
				}
			}
			if !found {
				t.Fatalf("no verdict on %s", w.Rule)
			}
		}
	})
}

// What a folded journal keeps does not grow with the day.
func TestFoldedStaysSmall(t *testing.T) {
	j := day()
	for i := range 100000 {
		at := 1000 + 100*float64(i)
		j.Answered(at, "p", "s", 226, "2", "1", "1", []byte(two))
		j.Arrived(at, "x", "p", "sheet", fmt.Sprint("t", i), 50, true)
		if i%500 == 0 {
			j.Fold(figures, at)
		}
	}
	if len(j.answers) > 2000 || len(j.arrivals) > 2000 {
		t.Errorf("%d answers and %d transactions are kept", len(j.answers), len(j.arrivals))
	}
}
