package attempter

import (
	"io"
	"strings"
	"testing"
	"time"
)

// TestRequestsSayWhetherTheirBodiesAreBuffered checks that only a buffered body can be read
// again, as package exchanger sends requests with such bodies in one piece.
func TestRequestsSayWhetherTheirBodiesAreBuffered(t *testing.T) {
	const content = "print"
	for name, each := range map[string]struct {
		body       Body
		isBuffered bool
	}{
		"buffered": {Body{Bytes: []byte(content)}, true},
		"streamed": {Body{Stream: strings.NewReader(content), Length: int64(len(content))}, false},
	} {
		t.Run(name, func(t *testing.T) {
			call := &Call{Method: "POST", Target: "/charms", Body: each.body}
			req, err := call.NewRequest(t.Context(), "127.0.0.1:80", time.Now())
			if err != nil {
				t.Fatal(err)
			}
			if isBuffered := req.GetBody != nil; isBuffered != each.isBuffered {
				t.Fatalf("buffered = %t, want %t", isBuffered, each.isBuffered)
			}
			assertContent(t, req.Body, content)
			if each.isBuffered {
				again, err := req.GetBody()
				if err != nil {
					t.Fatal(err)
				}
				assertContent(t, again, content)
			}
		})
	}
}

// assertContent fails the test unless a body has the wanted content.
func assertContent(t *testing.T, body io.Reader, want string) {
	t.Helper()
	if got, err := io.ReadAll(body); err != nil || string(got) != want {
		t.Errorf("body = %q, %v; want %q", got, err, want)
	}
}
