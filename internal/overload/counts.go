// Package overload decides which calls are served while a pool of engines is short of capacity: the share of each
// rank and workspace that is placed, which calls wait, and when refused callers are told to come back. It does no I/O
// and reads no clock.
//
// All VMs decide by the same rule from shared counts of arrivals and the shared table of work, so that they need no
// messages of their own for a decision.
package overload

import (
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// MaxRank is the least urgent rank. Calls of lesser ranks count as of this one.
const MaxRank = 9

// Class is a set of calls to a service that are treated alike.
type Class struct {
	Service string
	// Rank is the priority of the calls; 0 is the most urgent.
	Rank int
	// Workspace is the workspace of the calls, empty for none.
	Workspace string
	// Returned is set for calls whose callers were refused before and have come back.
	Returned bool
	// Placed is set for calls that were placed, whether their callers had come back or not.
	Placed bool
	// Rejected is set for sends that engines rejected for lack of capacity, whatever their rank.
	Rejected bool
}

// classSeparator separates the fields of the name of a class. Names of services contain none.
const classSeparator = "\x00"

// Name returns the name of the class in counters.
func (c Class) Name() string {
	kind := "f"
	switch {
	case c.Rejected:
		kind = "x"
	case c.Placed:
		kind = "p"
	case c.Returned:
		kind = "r"
	}
	return strconv.Itoa(clampRank(c.Rank)) + kind + c.Service + classSeparator + c.Workspace
}

func clampRank(rank int) int { return min(max(rank, 0), MaxRank) }

// parseClass parses the name of a class.
func parseClass(name string) (c Class, ok bool) {
	if len(name) < 2 || name[0] < '0' || name[0] > '9' || !strings.ContainsRune("frpx", rune(name[1])) {
		return Class{}, false
	}
	c.Rank, c.Returned, c.Placed, c.Rejected = int(name[0]-'0'), name[1] == 'r', name[1] == 'p', name[1] == 'x'
	c.Service, c.Workspace, ok = strings.Cut(name[2:], classSeparator)
	return c, ok
}

const (
	// bucketTime is the time of one bucket of counts.
	bucketTime = 100 * time.Millisecond
	// rateBuckets is the number of buckets over which the rate of arrivals is taken. latestBuckets is the number of buckets
	// by which a rise is noticed, before the others show it. servedBuckets is the number of buckets over which the
	// served shares of ranks are compared, and by which a rank's calls are divided between workspaces, which have few each.
	rateBuckets, latestBuckets, servedBuckets = 10, 3, 30
	// minCountTime is the least time over which a rate is taken after a start.
	minCountTime = 200 * time.Millisecond
	// idleTime is the time after which a class without calls is forgotten. It exceeds all windows.
	idleTime = 5 * time.Second
	// maxClasses bounds the classes whose arrivals are counted.
	maxClasses = 4096
)

// Counts counts the arrivals of each class, by this VM and by those that report theirs.
type Counts struct {
	startedAt clock.Instant
	classes   map[Class]*arrivals
}

// arrivals are the arrivals of a class in the window.
type arrivals struct {
	buckets [servedBuckets + 1]float64
	bucket  int64
	// own is the number of arrivals at this VM since the class was last forgotten.
	own int64
	// lastAt is the time of the last arrival.
	lastAt clock.Instant
}

// NewCounts returns the Counts of a VM that starts now.
func NewCounts(now clock.Instant) *Counts {
	return &Counts{startedAt: now, classes: map[Class]*arrivals{}}
}

// at returns the arrivals of a class as of now, nil if there are too many classes.
func (c *Counts) at(now clock.Instant, class Class) *arrivals {
	class.Rank = clampRank(class.Rank)
	a := c.classes[class]
	if a == nil {
		if len(c.classes) >= maxClasses {
			c.forgetIdle(now)
		}
		if len(c.classes) >= maxClasses {
			return nil
		}
		a = &arrivals{bucket: bucketOf(now)}
		c.classes[class] = a
	}
	a.advance(now)
	a.lastAt = now
	return a
}

// forgetIdle removes the classes without calls for some time. Their totals begin anew with the next call, which other VMs
// ignore once, as a total that falls says nothing.
func (c *Counts) forgetIdle(now clock.Instant) {
	maps.DeleteFunc(c.classes, func(_ Class, a *arrivals) bool { return now.Sub(a.lastAt) > idleTime })
}

func bucketOf(now clock.Instant) int64 { return int64(now / clock.Instant(bucketTime)) }

func (a *arrivals) advance(now clock.Instant) {
	bucket := bucketOf(now)
	if bucket-a.bucket > servedBuckets {
		a.buckets = [servedBuckets + 1]float64{}
		a.bucket = bucket
	}
	for ; a.bucket < bucket; a.bucket++ {
		a.buckets[(a.bucket+1)%(servedBuckets+1)] = 0
	}
}

// sums returns the arrivals of the whole time, of the time by which rates are taken, and the latest ones.
func (a *arrivals) sums() (whole, recent, latest float64) {
	i := a.bucket % (servedBuckets + 1)
	for age := range int64(servedBuckets + 1) {
		n := a.buckets[i]
		whole += n
		if age <= rateBuckets {
			recent += n
		}
		if age <= latestBuckets {
			latest += n
		}
		if i--; i < 0 {
			i = servedBuckets
		}
	}
	return whole, recent, latest
}

// Add counts an arrival at this VM and returns its total of the class.
func (c *Counts) Add(now clock.Instant, class Class) (total int64) {
	a := c.at(now, class)
	if a == nil {
		return 0
	}
	a.own++
	a.buckets[a.bucket%(servedBuckets+1)]++
	return a.own
}

// AddFromPeer counts arrivals at another VM. Names that are not understood are ignored.
func (c *Counts) AddFromPeer(now clock.Instant, name string, n int64) {
	class, ok := parseClass(name)
	if !ok || n <= 0 {
		return
	}
	if a := c.at(now, class); a != nil {
		a.buckets[a.bucket%(servedBuckets+1)] += float64(n)
	}
}

// Totals calls f with the name and the total of each class that this VM counted lately.
func (c *Counts) Totals(now clock.Instant, f func(name string, total int64)) {
	c.forgetIdle(now)
	for class, a := range c.classes {
		if a.own > 0 {
			f(class.Name(), a.own)
		}
	}
}
