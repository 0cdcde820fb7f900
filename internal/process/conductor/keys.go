package conductor

import "strconv"

// Keys are the store's keys of one part. A submission and its cancellation are
// written once by the daemon that accepts them, its progress by the owner.
type Keys struct {
	work, progress, memory, roster string // the first two are prefixes
}

// cancelSuffix follows the key of a submission.
const cancelSuffix = "/cancel"

// KeysOf returns the keys of a part.
func KeysOf(part int) Keys {
	number := strconv.Itoa(part)
	return Keys{
		work:     "kumquat/work/" + number + "/",
		progress: "kumquat/progress/" + number + "/",
		memory:   "kumquat/memory/" + number,
		roster:   "kumquat/roster/" + number,
	}
}

// Work is the key of an accepted submission.
func (k Keys) Work(id string) string { return k.work + id }

// Cancel is the key whose existence cancels a submission.
func (k Keys) Cancel(id string) string { return k.work + id + cancelSuffix }

// Progress is the key of what is durable of a submission's run.
func (k Keys) Progress(id string) string { return k.progress + id }
