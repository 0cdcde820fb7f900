package counter

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
)

func TestSet(t *testing.T) {
	one, other := New(), New()
	one.Counter("answered").Add(2)
	one.Counter("answered").Add(1)
	one.Gauge("queued", func() int64 { return 7 })
	one.PublishRuntime()
	other.Counter("answered").Add(5)

	t.Run("counter", func(t *testing.T) { assertMetric(t, one, "answered", 3) })
	t.Run("gauge", func(t *testing.T) { assertMetric(t, one, "queued", 7) })
	t.Run("sets are separate", func(t *testing.T) { assertMetric(t, other, "answered", 5) })
	t.Run("a counter doesn't replace a gauge", func(t *testing.T) {
		one.Counter("queued").Add(1)
		assertMetric(t, one, "queued", 7)
	})
}

func assertMetric(t *testing.T, set *Set, name string, want int64) {
	t.Helper()
	answer := httptest.NewRecorder()
	set.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/debug/vars", nil))
	var values map[string]int64
	if err := json.Unmarshal(answer.Body.Bytes(), &values); err != nil {
		t.Fatal(err)
	}
	if values[name] != want {
		t.Errorf("%s = %d, want %d", name, values[name], want)
	}
}
