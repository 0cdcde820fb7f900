package storer

// unbounded is the end of a range that has no upper bound.
const unbounded = "\x00"

// PrefixEnd returns the exclusive end of the range of keys with a prefix.
func PrefixEnd(prefix string) string {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return string(end[:i+1])
		}
	}
	return unbounded
}
