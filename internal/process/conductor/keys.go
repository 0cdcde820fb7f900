package conductor

import "strconv"

// Keys holds the store keys of one part. The daemon that accepts a submission or a
// cancellation writes its key. The part's owner writes all others, and replaces the key of a
// submission that it hands to another part.
type Keys struct {
	submissions, progress, memory, roster string // the first two are prefixes
}

// cancelSuffix is appended to a submission's key to form the key of its
// cancellation.
const cancelSuffix = "/cancel"

// KeysOf returns the store keys of a part.
func KeysOf(part int) Keys {
	number := strconv.Itoa(part)
	return Keys{
		submissions: "kumquat/work/" + number + "/",
		progress:    "kumquat/progress/" + number + "/",
		memory:      "kumquat/memory/" + number,
		roster:      "kumquat/roster/" + number,
	}
}

// Submission returns the key of an accepted submission.
func (k Keys) Submission(id string) string { return k.submissions + id }

// Cancellation returns the key whose existence cancels a submission.
func (k Keys) Cancellation(id string) string { return k.submissions + id + cancelSuffix }

// Progress returns the key of a submission's progress.
func (k Keys) Progress(id string) string { return k.progress + id }
