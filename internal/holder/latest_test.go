package holder

import "testing"

func TestLatest(t *testing.T) {
	t.Parallel()
	var l Latest[int]
	if value, ok := l.Get(); ok {
		t.Errorf("value %d, want none at first", value)
	}
	for want := range 2 {
		l.Set(want)
		if value, ok := l.Get(); !ok || value != want {
			t.Errorf("value %d, known %t, want %d", value, ok, want)
		}
	}
}
