package storer

// everything is the end of a range without an upper bound.
const everything = "\x00"

// PrefixEnd returns the first key after all keys with a prefix, which is the
// exclusive end of the prefix's range.
func PrefixEnd(prefix string) string {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return string(end[:i+1])
		}
	}
	return everything
}
