// Package rules reckons the five rules of a steward from what passed on the sockets: the lists that stewards
// were given, the answers that proxies got, and the transactions that hosts got. It takes no steward's word
// for anything. Times are milliseconds on one clock.
package rules

import (
	"encoding/json"
	"fmt"
	"sort"
	"sync"
)

// Figures are what the rules are measured by.
type Figures struct {
	Bare, Grace                    float64
	ColdFrom, Cold, Multiple, Fall float64
	LinesPerS, Head, MostWaiting   float64
	MessagesMost                   int
	MessagesOver                   float64
	Once                           map[string]bool // classes that must not run twice
}

// Listed is a host as the list has it.
type Listed struct {
	Ready   bool
	Started float64 // 0: long ago
}

// list as stewards were given it from a time on.
type list struct {
	at    float64
	hosts map[string]Listed
}

// answer of a steward to a proxy's poll; status 0: the way to the steward broke.
type answer struct {
	at      float64
	proxy   string
	steward string
	status  int
	empty   []string // classes for which hosts were ordered and none is left
	lines   int
	more    bool // it goes on a message that began before
}

// holding is what a proxy holds: its hosts by class, where any were ordered.
type holding map[string]map[string]bool

// arrival of a transaction at a host.
type arrival struct {
	at, work        float64
	host, proxy, id string
	class           string
	ran             bool
}

// Journal notes what passes. Its methods may be called from any goroutine.
type Journal struct {
	mu       sync.Mutex
	waited   map[string]float64 // by steward: lines that waited at the most, as it says
	lists    []list
	answers  []answer
	arrivals []arrival
	last     map[string]holding
	capacity map[string]float64 // ms of work a ms that a warm host does
	faults   []string
	lean     bool

	// What Fold left of what it dropped.
	folded            []Verdict
	from              float64            // the time of the last fold
	after             int                // transactions that came after the word
	begun             float64            // the time of the first list
	outSince          map[string]float64 // of hosts that the first list has not, or has as draining
	stretch, lastSent map[string]float64 // by steward
}

// NewJournal makes an empty one.
func NewJournal() *Journal {
	return &Journal{last: map[string]holding{}, capacity: map[string]float64{}}
}

// Lean has the journal drop transactions that can break no rule as soon as they come: those at hosts that the list
// then has as ready and warm, so that a long day fits into memory. Times must come in order.
func (j *Journal) Lean() { j.lean = true }

// Gave notes the list that stewards can see from now on.
func (j *Journal) Gave(at float64, hosts map[string]Listed) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lists = append(j.lists, list{at, hosts})
}

// Capacity notes how much work a warm host does, in ms of work a ms.
func (j *Journal) Capacity(host string, work float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.capacity[host] = work
}

// Arrived notes a transaction at a host; ran tells whether it took effect.
func (j *Journal) Arrived(at float64, host, proxy, class, id string, work float64, ran bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.lean && len(j.lists) > 0 {
		h, listed := j.lists[len(j.lists)-1].hosts[host]
		if listed && h.Ready && h.Started == 0 {
			return
		}
	}
	j.arrivals = append(j.arrivals, arrival{at, work, host, proxy, id, class, ran})
}

// Holds notes what a proxy holds after a command of a steward to its socket: the hosts by class that take traffic, and
// the lines that the command cost; more tells that it goes on a message that began before, joined false that the way to
// the steward broke.
func (j *Journal) Holds(at float64, proxy, steward string, lines int, more bool, hosts map[string]map[string]bool, joined bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a := answer{at: at, proxy: proxy, steward: steward, status: 200, lines: lines, more: more}
	if !joined {
		a.status, a.lines = 0, 0
	}
	j.note(a, hosts)
}

// note keeps an answer, with the classes of what the proxy then holds that have no host.
func (j *Journal) note(a answer, h holding) {
	for class, hosts := range h {
		if len(hosts) == 0 {
			a.empty = append(a.empty, class)
		}
	}
	sort.Strings(a.empty)
	j.answers = append(j.answers, a)
}

// Answered notes what a steward answered to a poll, as bytes on the socket; status 0 that the way to it broke.
// The tables are put together here, so that a delta that fits no base is a fault.
func (j *Journal) Answered(at float64, proxy, steward string, status int, tag, base, held string, body []byte) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a := answer{at: at, proxy: proxy, steward: steward, status: status}
	h := j.last[proxy]
	if h == nil {
		h = holding{}
		j.last[proxy] = h
	}
	if status == 200 || status == 226 {
		if status == 226 && base != held {
			j.faults = append(j.faults, fmt.Sprintf("%s got a delta onto %s, it held %s", proxy, base, held))
		}
		lines, err := h.apply(body, status == 200)
		if a.lines = lines; err != nil {
			j.faults = append(j.faults, fmt.Sprintf("%s got a document that is no JSON: %v", proxy, err))
		}
	}
	j.note(a, h)
}

// Waited notes how many lines waited at the most in a steward's channel, as it says itself. It is looked at only where
// what passed cannot tell, since the channel never paused.
func (j *Journal) Waited(steward string, lines float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.waited == nil {
		j.waited = map[string]float64{}
	}
	j.waited[steward] = max(j.waited[steward], lines)
}

// apply puts a document or a merge patch onto what is held, and counts its lines.
func (h holding) apply(body []byte, whole bool) (lines int, err error) {
	var d struct {
		Tables map[string]struct {
			Hosts map[string]*float64 `json:"hosts"`
		} `json:"tables"`
	}
	if err := json.Unmarshal(body, &d); err != nil {
		return 0, err
	}
	for class, t := range d.Tables {
		lines = max(lines, len(t.Hosts)+1) // classes share a table, so one line serves them all
		if t.Hosts == nil {
			continue
		}
		if h[class] == nil || whole {
			h[class] = map[string]bool{}
		}
		for host, w := range t.Hosts {
			if w == nil {
				delete(h[class], host)
			} else {
				h[class][host] = true
			}
		}
	}
	return lines, nil
}

// at gives the list in force at a time.
func (j *Journal) at(t float64) map[string]Listed {
	i := sort.Search(len(j.lists), func(i int) bool { return j.lists[i].at > t })
	if i == 0 {
		return nil
	}
	return j.lists[i-1].hosts
}
