package auth

import (
	"container/heap"
	"crypto/sha256"
)

// Tokens tells a bearer's token that is used again from one that was copied: a token belongs to the connection that it was
// first seen on, until it ends. Who shows it on another is refused, be it the owner after a break: he fetches a fresh one.
type Tokens struct {
	most int
	of   map[[sha256.Size]byte]*token
	ends byEnd
}

type token struct {
	sum  [sha256.Size]byte
	conn int64
	ends float64
}

// NewTokens remembers so many at the most.
func NewTokens(most int) *Tokens {
	return &Tokens{most: most, of: map[[sha256.Size]byte]*token{}}
}

// Use tells whether a token that ends at a time may be used on a connection now. Where too many are remembered a new one is
// refused: forgetting one before its end would let it be copied.
func (t *Tokens) Use(now float64, text string, ends float64, conn int64) bool {
	for len(t.ends) > 0 && t.ends[0].ends <= now {
		delete(t.of, heap.Pop(&t.ends).(*token).sum)
	}
	if ends <= now {
		return false
	}
	sum := sha256.Sum256([]byte(text))
	if x := t.of[sum]; x != nil {
		return x.conn == conn
	}
	if len(t.of) >= t.most {
		return false
	}
	x := &token{sum: sum, conn: conn, ends: ends}
	t.of[sum] = x
	heap.Push(&t.ends, x)
	return true
}

// Known is how many are remembered.
func (t *Tokens) Known() int { return len(t.of) }

// byEnd is a heap of tokens, the one that ends first first.
type byEnd []*token

func (h byEnd) Len() int           { return len(h) }
func (h byEnd) Less(i, j int) bool { return h[i].ends < h[j].ends }
func (h byEnd) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *byEnd) Push(x any)        { *h = append(*h, x.(*token)) }
func (h *byEnd) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
