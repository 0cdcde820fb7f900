package dispatcher

// A restarted runner has seen no fencing token, so that it would carry out calls that were
// meant for its former incarnation. Its clock and the numbers of its ends start anew, too.
// Each incarnation that this owner learns of therefore gets a token of its own, higher than
// those of the former ones: from the first call with that token on, the runner refuses all
// calls with an older one. Once the owner knows of a restart, it starts nothing there, and sends
// no lease end or acknowledgement, before such a call was answered.
//
// All tokens of an owner are revisions of the store at which its record still named it, so
// that those of its successors are higher.

// AllowTokens records a revision of the store at which the owner record still named this
// owner. Its tokens may be as high.
func (t *Table) AllowTokens(revision int64) { t.maxToken = max(t.maxToken, revision) }

// Token returns the fencing token of the calls to a runner. The caller has to use it, as it
// counts as used. It returns false if the runner is not in the table, or was restarted more often
// than the known revisions of the store allow.
func (t *Table) Token(id string) (token int64, ok bool) {
	r, ok := t.runners[id]
	if !ok || r.token > t.maxToken {
		return 0, false
	}
	r.isTokenUsed = true
	return r.token, true
}

// IsSuperseded reports whether a runner that refuses a token may have seen a higher one of this
// owner, and so says nothing about a successor.
func (t *Table) IsSuperseded(id string, token int64) bool {
	if r, ok := t.runners[id]; ok {
		return token < r.token
	}
	return token < t.firstToken // it has left the table
}

// Restarted returns the runners that have got a new token since the last call.
func (t *Table) Restarted() []string {
	ids := t.restarted
	t.restarted = nil
	return ids
}

// renewToken gives a runner a new token if calls may carry the present one.
func (t *Table) renewToken(r *runner) {
	t.restarted = append(t.restarted, r.info.ID)
	if r.isTokenUsed {
		r.token++
		r.isTokenUsed = false
	}
}

// addRunner adds a runner to the table.
func (t *Table) addRunner(info RunnerInfo) *runner {
	r := newRunner(info)
	r.token = t.firstToken
	t.runners[info.ID] = r
	return r
}

// dropRunner removes a runner from the table. If it comes back, it gets a higher token.
func (t *Table) dropRunner(r *runner) {
	t.firstToken = max(t.firstToken, r.token+1)
	delete(t.runners, r.info.ID)
}
