package dispatcher

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// maxKeptRecords bounds the steps of which a tick records that room is kept for them.
	maxKeptRecords = 8
	// keptInterval is the pause until it is recorded again of a step.
	keptInterval = 10 * time.Second
	// maxKeptIDs is the number of runners with kept room that an event names.
	maxKeptIDs = 3
)

// A keptRoom is room that is kept for a step, as it was recorded.
type keptRoom struct {
	st    *stepState
	since time.Time
	// tasks and runners are as of the last tick at which room was kept.
	tasks   int
	runners string
}

// watchKept records for which steps room is kept now, and for which it no longer is.
func (t *Table) watchKept(now time.Time) {
	t.keptRooms = slices.DeleteFunc(t.keptRooms, func(k *keptRoom) bool {
		if k.st.reservedTasks > 0 || k.st.isHeldFor {
			k.tasks, k.runners = max(1, k.st.reservedTasks), t.reservedIDs(k.st)
			return false
		}
		t.recordKept(k, false, now)
		return true
	})
	left := maxKeptRecords
	for _, st := range slices.Concat(t.keptForLong, t.kept) {
		if left == 0 {
			return
		}
		isRecorded := slices.ContainsFunc(t.keptRooms, func(k *keptRoom) bool { return k.st == st })
		if isRecorded || now.Sub(st.keptRecordedAt) < keptInterval {
			continue
		}
		left--
		st.keptRecordedAt = now
		k := &keptRoom{st: st, since: now, tasks: max(1, st.reservedTasks), runners: t.reservedIDs(st)}
		t.keptRooms = append(t.keptRooms, k)
		t.recordKept(k, true, now)
	}
}

// reservedIDs names some of the runners with room that is reserved or held for a step.
func (t *Table) reservedIDs(st *stepState) string {
	var ids []string
	for _, r := range t.runners {
		if r.heldFor == st || (r.reserved != nil && r.reserved.tasks[st] > 0) {
			ids = append(ids, r.info.ID)
		}
	}
	slices.Sort(ids)
	return strings.Join(ids[:min(len(ids), maxKeptIDs)], " ")
}

func (t *Table) recordKept(k *keptRoom, isKept bool, now time.Time) {
	st := k.st
	t.record(now, EventRoomKept, st.s, "",
		"step", strconv.Itoa(st.index), "kept", strconv.FormatBool(isKept), "keptMs", age(now, k.since),
		"tasks", strconv.Itoa(k.tasks), "runners", k.runners, "running", strconv.Itoa(st.remaining-st.waiting),
		"wantsMilliCores", strconv.FormatInt(st.spec.MilliCores, 10), "wantsMemoryMB", strconv.FormatInt(st.spec.MemoryMB, 10),
	)
}
