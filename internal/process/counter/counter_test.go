package counter

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
)

func TestSet(t *testing.T) {
	set, other := New(), New()
	set.Counter("answered").Add(2)
	set.Counter("answered").Add(1)
	set.Gauge("queued", func() int64 { return 7 })
	set.PublishRuntime()
	other.Counter("answered").Add(5)

	t.Run("counter", func(t *testing.T) { assertMetric(t, set, "answered", 3) })
	t.Run("gauge", func(t *testing.T) { assertMetric(t, set, "queued", 7) })
	t.Run("sets are separate", func(t *testing.T) { assertMetric(t, other, "answered", 5) })
	t.Run("a counter doesn't replace a gauge", func(t *testing.T) {
		set.Counter("queued").Add(1)
		assertMetric(t, set, "queued", 7)
	})
}

func assertMetric(t *testing.T, set *Set, name string, want int64) {
	t.Helper()
	response := httptest.NewRecorder()
	set.ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/debug/vars", nil))
	var values map[string]int64
	if err := json.Unmarshal(response.Body.Bytes(), &values); err != nil {
		t.Fatal(err)
	}
	if values[name] != want {
		t.Errorf("%s = %d, want %d", name, values[name], want)
	}
}
