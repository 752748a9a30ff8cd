package auth

import (
	"container/heap"
	"crypto/sha256"
)

// digest is the SHA-256 hash of a token's text. It identifies a token without storing the text.
type digest [sha256.Size]byte

// Tokens rejects copied bearer tokens: until it expires, a token is bound to the connection on which it was first used.
// On any other connection it is rejected, even if its owner reconnects: a new connection needs a new token. Tokens is
// not safe for concurrent use.
type Tokens struct {
	maxTokens int
	byDigest  map[digest]*token
	byExpiry  expiryHeap
}

// token is a bearer token in use.
type token struct {
	digest     digest
	connection int64
	expiresMs  float64
}

// NewTokens returns a record of at most maxTokens tokens.
func NewTokens(maxTokens int) *Tokens {
	return &Tokens{maxTokens: maxTokens, byDigest: map[digest]*token{}}
}

// Use reports whether a token may be used on a connection now, and binds a new token to it; instants are in ms. It
// returns false for an expired token, for one that is bound to another connection, and for a new one while the record
// is full: removing another token before it expires would allow the use of a copy of that one.
func (t *Tokens) Use(nowMs float64, text string, expiresMs float64, connection int64) bool {
	t.dropExpired(nowMs)
	if expiresMs <= nowMs {
		return false
	}
	sum := digest(sha256.Sum256([]byte(text)))
	if known := t.byDigest[sum]; known != nil {
		return known.connection == connection
	}
	if len(t.byDigest) >= t.maxTokens {
		return false
	}
	added := &token{digest: sum, connection: connection, expiresMs: expiresMs}
	t.byDigest[sum] = added
	heap.Push(&t.byExpiry, added)
	return true
}

// dropExpired removes the expired tokens.
func (t *Tokens) dropExpired(nowMs float64) {
	for len(t.byExpiry) > 0 && t.byExpiry[0].expiresMs <= nowMs {
		delete(t.byDigest, t.byExpiry[0].digest)
		heap.Pop(&t.byExpiry)
	}
}

// expiryHeap is a heap of tokens, with the first to expire at its root. It implements heap.Interface.
type expiryHeap []*token

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresMs < h[j].expiresMs }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends a *token. Use heap.Push.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*token)) }

// Pop removes the last token. Use heap.Pop.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}
