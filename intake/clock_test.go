package intake

import (
	"math"
	"testing"
)

// Age by a stamp does not hang on the sender's clock being right, and one that runs ahead makes nothing younger.
func TestClock(t *testing.T) {
	for _, ahead := range []float64{0, 3600e3, -3600e3} {
		var c Clock
		for i := range 100 {
			now := 1e12 + float64(i)*1000
			way, want := 20.0, 0.0
			if i%10 == 5 { // a report that waited two seconds
				way, want = 2020, 2000
			}
			if age := c.Age(now, now+ahead-way); math.Abs(age-want) > 1e-3 && i > 0 {
				t.Fatalf("ahead by %g: age %g at %d, %g lay between", ahead, age, i, way)
			}
		}
		// the clock is set forth by a minute, and later back by an hour
		if age := c.Age(1e12+101e3, 1e12+101e3+ahead+60e3); age != 0 {
			t.Errorf("set forth: age %g", age)
		}
		if age := c.Age(1e12+102e3, 1e12+102e3+ahead-3600e3); age != 0 {
			t.Errorf("set back: age %g", age)
		}
	}
}
