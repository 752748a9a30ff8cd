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
	tables  map[string]map[string]float64 // what the proxy then held, by class
	lines   int
	known   map[string]bool // classes ordered so far
}

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
	lists    []list
	answers  []answer
	arrivals []arrival
	last     map[string]answer
	capacity map[string]float64 // ms of work a ms that a warm host does
	faults   []string
}

// NewJournal makes an empty one.
func NewJournal() *Journal {
	return &Journal{last: map[string]answer{}, capacity: map[string]float64{}}
}

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
	j.arrivals = append(j.arrivals, arrival{at, work, host, proxy, id, class, ran})
}

// Answered notes what a steward answered to a poll, as bytes on the socket; status 0 that the way to it broke.
// The tables are put together here, so that a delta that fits no base is a fault.
func (j *Journal) Answered(at float64, proxy, steward string, status int, tag, base, held string, body []byte) {
	j.mu.Lock()
	defer j.mu.Unlock()
	was := j.last[proxy]
	a := answer{at: at, proxy: proxy, steward: steward, status: status, tables: was.tables, known: was.known}
	if status == 200 || status == 226 {
		if status == 226 && base != held {
			j.faults = append(j.faults, fmt.Sprintf("%s got a delta onto %s, it held %s", proxy, base, held))
		}
		a.apply(body, status == 200)
	}
	j.answers = append(j.answers, a)
	j.last[proxy] = a
}

// apply puts a document or a merge patch onto the tables, and counts its lines.
func (a *answer) apply(body []byte, whole bool) {
	var d struct {
		Tables map[string]struct {
			Hosts map[string]*float64 `json:"hosts"`
		} `json:"tables"`
	}
	if json.Unmarshal(body, &d) != nil {
		a.status = -1
		return
	}
	tables, known := map[string]map[string]float64{}, map[string]bool{}
	for class, hosts := range a.tables {
		tables[class] = hosts
		known[class] = a.known[class]
	}
	for class, t := range d.Tables {
		a.lines = max(a.lines, len(t.Hosts)+1) // classes share a table, so one line serves them all
		if t.Hosts == nil {
			continue
		}
		now := map[string]float64{}
		if !whole {
			for host, w := range tables[class] {
				now[host] = w
			}
		}
		for host, w := range t.Hosts {
			if w == nil {
				delete(now, host)
			} else {
				now[host] = *w
			}
		}
		tables[class], known[class] = now, true
	}
	a.tables, a.known = tables, known
}

// at gives the list in force at a time.
func (j *Journal) at(t float64) map[string]Listed {
	i := sort.Search(len(j.lists), func(i int) bool { return j.lists[i].at > t })
	if i == 0 {
		return nil
	}
	return j.lists[i-1].hosts
}
