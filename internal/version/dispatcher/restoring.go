package dispatcher

import (
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// restore applies the progress that a former owner has saved.
func (t *Table) restore(s *submission, p *submitter.Progress, now time.Time) {
	if p.State.IsFinal() {
		s.state, s.durableState = p.State, p.State
		t.finished = append(t.finished, finishedSubmission{s.sub.ID, now})
		return
	}
	t.restoreFormer(s, p.Steps, now)
	for i := range p.Open {
		if row := &p.Open[i]; row.Occurrence >= s.opened && row.Occurrence < min(p.Next, s.sub.Occurrences()) {
			s.opened = row.Occurrence // those before it are done
			t.restoreOccurrence(s, row, now)
		}
	}
	if p.Next > 0 {
		s.opened = min(p.Next, s.sub.Occurrences())
		s.doneBefore = s.opened
		s.remaining = s.sub.Occurrences() - s.opened + len(s.occs)
		s.markStarted()
	}
}

// restoreOccurrence sets up the next occurrence of a submission, with the progress that a former
// owner has saved.
func (t *Table) restoreOccurrence(s *submission, p *submitter.OccurrenceProgress, now time.Time) {
	t.openNext(s)
	occ := s.occs[len(s.occs)-1]
	occ.restoreRanAt(p.RanUnixMillis, now)
	for _, st := range slices.Clone(occ.steps) {
		if p.Done.Has(st.index) {
			for k := range st.tasks {
				t.markDone(st, k)
			}
		}
	}
	for i := range p.Steps {
		if st := occ.step(p.Steps[i].Step); st != nil {
			t.restoreStep(st, &p.Steps[i], now)
		}
	}
}

// restoreFormer applies the rows of steps of the former form of the progress.
func (t *Table) restoreFormer(s *submission, rows []submitter.StepProgress, now time.Time) {
	for i := range rows {
		row := &rows[i]
		if row.Occurrence >= s.sub.Occurrences() || row.Step >= len(s.sub.Steps) {
			continue
		}
		for s.opened <= row.Occurrence {
			t.openNext(s)
		}
		if st := s.step(row.Occurrence, row.Step); st != nil {
			st.occ.restoreRanAt(row.RanUnixMillis, now)
			t.restoreStep(st, row, now)
		}
		s.markStarted()
	}
}

// restoreStep applies the saved progress of a step.
func (t *Table) restoreStep(st *stepState, p *submitter.StepProgress, now time.Time) {
	st.ranBefore, st.hasBegun = p.Begun, p.Begun
	for k := range st.tasks {
		st.tasks[k].failures = submitter.NewFailures(p.Failures[k], p.OlderFailures[k])
		st.restoreCrashes(k, p.Crashes[k], now)
		st.noteCheckpoint(&st.tasks[k], p.Checkpoints[k])
		if p.Done.Has(k) {
			t.markDone(st, k)
		}
	}
}

// restoreRanAt applies when a run last ended, as a former owner has stored it. A clock that is
// ahead makes an occurrence wait as if the run had just ended, and no longer.
func (o *occurrence) restoreRanAt(unixMillis int64, now time.Time) {
	if unixMillis == 0 {
		return
	}
	at := time.UnixMilli(unixMillis)
	if at.After(now) {
		at = now
	}
	o.ranAt = later(o.ranAt, at)
}
