package judge

import (
	"slices"
	"testing"
	"time"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func record(kind Kind, second int, run int32, worker, state string) Record {
	return Record{Kind: kind, At: epoch.Add(time.Duration(second) * time.Second), Task: "t", Run: run, Worker: worker, DataCentre: "digha", State: state}
}

func assertRules(t *testing.T, breaches []Breach, want ...Rule) {
	t.Helper()
	var rules []Rule
	for _, breach := range breaches {
		rules = append(rules, breach.Rule)
	}
	if !slices.Equal(rules, want) {
		t.Fatalf("breaches %v, want rules %v", breaches, want)
	}
}

func TestCheck(t *testing.T) {
	cases := []struct {
		name    string
		records []Record
		want    []Rule
	}{
		{"a run that is resumed at another worker", []Record{
			record(KindStart, 0, 1, "a", ""), record(KindEnd, 5, 1, "a", "stopped"),
			record(KindStart, 5, 2, "b", ""), record(KindEnd, 9, 2, "b", "finished"),
		}, nil},
		{"records that arrive out of order", []Record{
			record(KindStart, 5, 2, "b", ""), record(KindEnd, 4, 1, "a", "lapsed"), record(KindStart, 0, 1, "a", ""),
		}, nil},
		{"two runs at the same time", []Record{
			record(KindStart, 0, 1, "a", ""), record(KindStart, 4, 2, "b", ""), record(KindEnd, 5, 1, "a", "lapsed"),
		}, []Rule{RuleTwoPlaces}},
		{"a run that started while another never ended", []Record{
			record(KindStart, 0, 1, "a", ""), record(KindStart, 4, 2, "b", ""),
		}, []Rule{RuleTwoPlaces}},
		{"one run started twice", []Record{
			record(KindStart, 0, 1, "a", ""), record(KindEnd, 1, 1, "a", "stopped"), record(KindStart, 4, 1, "b", ""),
		}, []Rule{RuleStartedTwice}},
		{"a run that started after a later one", []Record{
			record(KindStart, 0, 2, "a", ""), record(KindEnd, 1, 2, "a", "stopped"), record(KindStart, 4, 1, "b", ""),
		}, []Rule{RuleRunOrder}},
		{"a start after the task finished", []Record{
			record(KindStart, 0, 1, "a", ""), record(KindEnd, 1, 1, "a", "finished"), record(KindStart, 4, 2, "b", ""),
		}, []Rule{RuleStartAfterFinish}},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			assertRules(t, Check(each.records), each.want...)
		})
	}
}

func TestLateStarts(t *testing.T) {
	records := []Record{record(KindStart, 2, 1, "a", ""), record(KindStart, 4, 2, "a", ""), record(KindStart, 8, 3, "a", "")}
	t.Run("reported after the grace time", func(t *testing.T) {
		assertRules(t, LateStarts(records, "digha", epoch.Add(3*time.Second), time.Time{}), RuleLateStart, RuleLateStart)
	})
	t.Run("not reported after the return", func(t *testing.T) {
		assertRules(t, LateStarts(records, "digha", epoch.Add(3*time.Second), epoch.Add(7*time.Second)), RuleLateStart)
	})
	t.Run("not reported in another data centre", func(t *testing.T) {
		assertRules(t, LateStarts(records, "sagar", epoch, time.Time{}))
	})
}
