package rehearse

import "fmt"

// kill is a steward that was killed and started again; times are s from the day's start.
type kill struct {
	steward    int
	at, backAt float64
}

// after is how long one looks at what a steward's loss costs, in s; agreed is how near the gap to the best tables has to
// come to what it was before.
const (
	after  = 30.0
	agreed = 0.01
)

// printRestarts says what each steward's loss cost: service from its loss until 30 s after its return, and when the tables
// were as near to the best as before.
func (d *day) printRestarts() {
	for _, k := range d.kills {
		from := int(k.at * 1000 / window)
		service, n := d.service.share(from, int((k.backAt+after)*1000/window))
		before, _ := d.gaps.mean(k.at-5, k.at)
		then, _ := d.gaps.mean(k.backAt, k.backAt+after)
		again := -1.0
		for _, s := range d.gaps.samples {
			if s.at >= k.backAt+1 && s.gap <= before+agreed {
				again = s.at - k.backAt
				break
			}
		}
		fmt.Fprintf(d.out, "steward %d lost at %.0f s, back at %.1f s: service %.4f of %d until 30 s after, gap %.4f before, %.4f in the 30 s after, as before after %.0f s\n",
			k.steward, k.at, k.backAt, service, n, before, then, again)
	}
}
