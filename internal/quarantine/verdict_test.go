package quarantine

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// crashes returns the records of crashes of different engines, a second apart.
func crashes(prompts ...[]string) []entry {
	var out []entry
	for i, parts := range prompts {
		r := Record{ID: uint64(i + 1), Endpoint: traffic.EndpointID{Name: "e" + strconv.Itoa(i)}, Parts: parts, Call: "c" + strconv.Itoa(i)}
		out = append(out, entry{Record: r, at: clock.Instant(i+1) * clock.Instant(time.Second)})
	}
	return out
}

func TestJudge(t *testing.T) {
	atOnce := crashes([]string{"p"}, []string{"p"}, []string{"p"})
	steady := crashes(slices.Repeat([][]string{{"p"}}, 8)...)
	for i := range atOnce {
		atOnce[i].at = clock.Instant(i)
	}
	for i := range steady {
		steady[i].at = clock.Instant(i) * clock.Instant(crashGap/2)
	}
	sameEngine := crashes([]string{"p"}, []string{"q"}, []string{"p"}, []string{"q"})
	for i := range sameEngine {
		sameEngine[i].Endpoint.Name = "e" + strconv.Itoa(i/2)
	}
	again := crashes([]string{"p"}, []string{"p"}, []string{"p"})
	for i := range again {
		again[i].Call = "c"
	}
	firstAgain := crashes([]string{"p"}, []string{"p"}, []string{"p"}, []string{"p"})
	firstAgain[1].at, firstAgain[2].at = firstAgain[0].at, firstAgain[0].at
	firstAgain[3].Endpoint = firstAgain[0].Endpoint
	clearing := append(crashes([]string{"f", "p"}, []string{"f", "p"}), entry{Record: Record{ID: 9, Parts: []string{"p"}}, at: clock.Instant(time.Hour)})
	for _, tc := range []struct {
		name    string
		records []entry
		starts  map[string]int
		want    []string
	}{
		{"one crash", crashes([]string{"p"}), nil, nil},
		{"two crashes", crashes([]string{"p"}, []string{"p"}), nil, []string{"p"}},
		{"most calls get their answers", crashes([]string{"p"}, []string{"p"}), map[string]int{"p": 3}, nil},
		{"half of the calls crash an engine", crashes([]string{"p"}, []string{"p"}), map[string]int{"p": 2}, []string{"p"}},
		{"the part that harmless calls do not have", crashes([]string{"f", "p"}, []string{"f", "p"}, []string{"f", "p"}), map[string]int{"f": 2}, []string{"p"}},
		{"the first part, others differ", crashes([]string{"p", "a"}, []string{"p", "b"}), nil, []string{"p"}},
		{"the last of parts that always come together", crashes([]string{"f", "p"}, []string{"f", "p"}), nil, []string{"p"}},
		{"another crash tells parts apart", crashes([]string{"p", "f"}, []string{"p", "f"}, []string{"p", "g"}), nil, []string{"p"}},
		{"two parts, each with its crashes", crashes([]string{"f", "p"}, []string{"f", "q"}, []string{"f", "p"}, []string{"f", "q"}), map[string]int{"f": 9}, []string{"p", "q"}},
		{"engines that end at the same moment", atOnce, nil, nil},
		{"one call that is sent again", again, nil, nil},
		{"a crash every moment", steady, nil, []string{"p"}},
		{"two calls at an engine that crashes", sameEngine, map[string]int{"q": 1}, []string{"p"}},
		{"engines that end at the same moment, and one of them again", firstAgain, nil, []string{"p"}},
		{"an engine that crashes again and again", []entry{firstAgain[0], firstAgain[3]}, nil, nil},
		{"cleared by a call that was answered", clearing, nil, nil},
		{"no common part", crashes([]string{"a"}, []string{"b"}, nil), nil, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var got []string
			for part := range judge(withoutCleared(tc.records), func(part string) int { return tc.starts[part] }) {
				got = append(got, part)
			}
			slices.Sort(got)
			if !slices.Equal(got, tc.want) {
				t.Errorf("quarantined %v, want %v", got, tc.want)
			}
		})
	}
}

func TestTrials(t *testing.T) {
	tr := newTracker()
	parts := []string{"f", "p", "own"}
	add := func(at time.Duration, endpoint string) {
		tr.add(clock.Instant(at), []Record{{ID: uint64(at), Endpoint: traffic.EndpointID{Name: endpoint}, Parts: []string{"p"}, Call: endpoint}})
	}
	add(time.Second, "e1")
	add(2*time.Second, "e2")
	check := func(at time.Duration, mayTry, trial bool, wait time.Duration) {
		t.Helper()
		if got := tr.check(clock.Instant(at), parts, mayTry); got.part != "p" || got.trial != trial || got.wait != wait {
			t.Errorf("after %v: %+v, want trial %v, wait %v", at, got, trial, wait)
		}
	}
	check(3*time.Second, true, false, 59*time.Second)
	check(62*time.Second, false, false, minWait)
	check(62*time.Second, true, true, 0)
	check(63*time.Second, true, false, trialTimeout-time.Second)
	add(64*time.Second, "e3")
	check(65*time.Second, true, false, 2*firstTrialDelay-time.Second)
	check(3*time.Minute+5*time.Second, true, true, 0)
	tr.add(clock.Instant(4*time.Minute), []Record{{ID: 99, Parts: []string{"p"}}})
	if got := tr.check(clock.Instant(4*time.Minute), parts, true); got.part != "" {
		t.Errorf("after an answered trial: %+v", got)
	}
}

func TestNoTrialOfAPromptWithAnotherQuarantinedPart(t *testing.T) {
	tr := newTracker()
	add := func(at time.Duration, part string) {
		name := at.String()
		tr.add(clock.Instant(at), []Record{{ID: uint64(at), Endpoint: traffic.EndpointID{Name: name}, Parts: []string{part}, Call: name}})
	}
	add(time.Second, "p")
	add(2*time.Second, "p")
	add(50*time.Second, "q")
	add(51*time.Second, "q")
	for _, parts := range [][]string{{"p", "q"}, {"q", "p"}} {
		if got := tr.check(clock.Instant(65*time.Second), parts, true); got.part != "q" || got.trial || got.wait != 46*time.Second {
			t.Errorf("%v: %+v, want that q is to wait 46 s", parts, got)
		}
	}
	if got := tr.check(clock.Instant(65*time.Second), []string{"p"}, true); !got.trial {
		t.Errorf("p alone is not tried: %+v", got)
	}
}

func TestRecordsExpire(t *testing.T) {
	tr := newTracker()
	tr.add(0, []Record{{ID: 1, Endpoint: traffic.EndpointID{Name: "e1"}, Parts: []string{"p"}, Call: "c1"}})
	tr.add(clock.Instant(time.Second), []Record{{ID: 2, Endpoint: traffic.EndpointID{Name: "e2"}, Parts: []string{"p"}, Call: "c2"}})
	if got := tr.check(clock.Instant(retention-time.Second), []string{"p"}, false); got.part != "p" {
		t.Error("released before the records expired")
	}
	if got := tr.check(clock.Instant(retention+2*time.Second), []string{"p"}, false); got.part != "" {
		t.Error("quarantined although the records have expired")
	}
	if added := tr.add(clock.Instant(time.Hour), []Record{{ID: 3, Age: retention}}); len(added) > 0 {
		t.Error("an expired record was added")
	}
}

// TestQuarantineOutlastsManyCrashes checks that records of unrelated crashes do not push those of a quarantined
// part out.
func TestQuarantineOutlastsManyCrashes(t *testing.T) {
	tr := newTracker()
	for i := range 4 * maxRecords {
		part := "harmless" + strconv.Itoa(i)
		if i < minPartCrashes {
			part = "p"
		}
		now := clock.Instant(i+1) * clock.Instant(time.Second)
		name := strconv.Itoa(i)
		tr.add(now, []Record{{ID: uint64(i + 1), Endpoint: traffic.EndpointID{Name: name}, Parts: []string{part}, Call: name}})
	}
	if len(tr.records) > maxRecords {
		t.Errorf("%d records are kept", len(tr.records))
	}
	if got := tr.check(clock.Instant(time.Hour/2-time.Minute), []string{"p"}, false); got.part != "p" {
		t.Error("the part is released")
	}
}
