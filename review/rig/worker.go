package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// A plan is what a run does.
type plan struct {
	length time.Duration
	how    string // its end, "done" or "failed"
	lasts  bool   // runs until it is stopped
}

// A worker is a stand-in for a runner, by the users' pages.
type worker struct {
	id     string
	labels []string
	cores  int
	work   func(task string, number int64) plan
	// ticket returns the ticket that a start of a task has to carry; nil if none has.
	ticket func(task string) string

	rec     *record
	gangs   *gangs
	address string
	busy    atomic.Bool // refuses starts with 503, as an unhealthy worker
	gone    atomic.Bool
	cut     atomic.Bool // it is cut off and runs on
	leaving atomic.Bool // it reports that it drains
	server  *http.Server
	beatAt  atomic.Pointer[time.Time] // when it last checked in
	born    time.Time

	mu       sync.Mutex
	seq      int
	fence    int64
	leaseEnd time.Time
	running  map[string]*job
	maxEnded map[string]int64 // highest run stopped or ended, by task
	ended    []endRow
	count    int64
	changed  chan struct{} // closed at the next end
	starts   []start
	alone    []time.Time // when runs ended alone
}

// succeeds returns work that ends done after a time.
func succeeds(length time.Duration) func(string, int64) plan {
	return func(string, int64) plan { return plan{length: length, how: "done"} }
}

// A job is a run on a worker.
type job struct {
	w          *worker
	task       string
	number     int64
	plan       plan
	checkpoint string // that the start carried
	arrived    time.Time
	began      time.Time // zero while a member of a gang waits for the others
}

// An endRow is an end that was not acknowledged yet.
type endRow struct {
	n     int64
	task  string
	run   int64
	how   string
	saved string
}

// A start is a run that has begun.
type start struct {
	task       string
	number     int64
	checkpoint string
	at         time.Time
}

func newWorker(id string, cores int, work func(task string, number int64) plan, labels ...string) *worker {
	return &worker{
		id: id, cores: cores, work: work, labels: labels, born: time.Now(), running: make(map[string]*job),
		maxEnded: make(map[string]int64), changed: make(chan struct{}),
	}
}

func (w *worker) isGone() bool { return w.gone.Load() }

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

func (w *worker) capacity() map[string]any {
	return map[string]any{"Cpu": 1000 * w.cores, "MemMb": 64_000, "Gpu": 0}
}

// entry returns what the worker writes about itself in the store.
func (w *worker) entry() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	state := "ready"
	if w.leaving.Load() {
		state = "draining"
	}
	return map[string]any{
		"Service": service, "Address": w.address, "Zone": "atl-a", "Version": "v1", "Slots": 8, "State": state, "ColdRemainingMs": 0,
		"Capacity": w.capacity(), "Labels": w.labels, "Seq": w.seq, "born": w.born.UnixMilli(),
	}
}

// runsNow reports whether a run of a task goes on.
func (w *worker) runsNow(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.running[task]
	return ok
}

// crash ends the worker for good.
func (w *worker) crash() {
	w.gone.Store(true)
	w.mu.Lock()
	jobs := w.jobs()
	w.mu.Unlock()
	for _, j := range jobs {
		w.rec.note("worker %s: %s run %d is lost", w.id, j.task, j.number)
		w.finish(j, "lost")
	}
}

// jobs returns the runs on the worker. The caller holds the lock.
func (w *worker) jobs() (jobs []*job) {
	for _, j := range w.running {
		jobs = append(jobs, j)
	}
	return jobs
}

// startsOf returns the starts of a task so far.
func (w *worker) startsOf(task string) (list []start) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.starts {
		if s.task == task {
			list = append(list, s)
		}
	}
	return list
}

// An order is the body of any request to a worker.
type order struct {
	Task         string
	Run          int64
	DeadlineMs   int64
	FencingToken int64
	Checkpoint   string
	Ticket       string
	Acked        int64
	WaitMs       int64
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	if w.isGone() {
		panic(http.ErrAbortHandler) // its address resets channels
	}
	var o order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := req.Header.Get("X-Kumquatstack-Target-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch req.URL.Path {
	case "/kumquatstack/run-start":
		if w.busy.Load() {
			w.rec.note("worker %s: refuses to start %s run %d: 503", w.id, o.Task, o.Run)
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.respond(rw, w.startRun(o))
	case "/kumquatstack/run-stop":
		w.respond(rw, w.stopRun(o))
	case "/kumquatstack/pace":
		w.mu.Lock()
		reason := w.admit(o)
		w.mu.Unlock()
		w.respond(rw, reason)
	case "/kumquatstack/hold":
		w.hold(rw, req, o)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

// admit applies the fence and the deadline of an order, or returns why it is refused. The
// caller holds the lock.
func (w *worker) admit(o order) (reason string) {
	if o.FencingToken < w.fence {
		return "fence"
	}
	w.fence = o.FencingToken
	if o.DeadlineMs == 0 {
		return ""
	}
	if o.DeadlineMs < w.clock() {
		return "late"
	}
	end := w.born.Add(time.Duration(o.DeadlineMs) * time.Millisecond)
	if longest := time.Now().Add(maxHold); end.After(longest) {
		end = longest
	}
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
		time.AfterFunc(time.Until(end), w.lapse)
	}
	return ""
}

// lapse kills everything if the lease has run out.
func (w *worker) lapse() {
	w.mu.Lock()
	if time.Now().Before(w.leaseEnd) {
		w.mu.Unlock()
		return
	}
	jobs := w.jobs()
	w.mu.Unlock()
	for _, j := range jobs {
		w.finish(j, "lapsed")
	}
}

// startRun starts a run, or returns why it is refused.
func (w *worker) startRun(o order) (reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reason = w.admit(o); reason != "" {
		return reason
	}
	if j, ok := w.running[o.Task]; ok && j.number == o.Run {
		return ""
	}
	if o.Run <= w.maxEnded[o.Task] {
		return "old"
	}
	if w.ticket != nil && w.ticket(o.Task) != o.Ticket {
		return "ticket"
	}
	j := &job{w: w, task: o.Task, number: o.Run, plan: w.work(o.Task, o.Run), checkpoint: o.Checkpoint, arrived: time.Now()}
	w.running[o.Task] = j
	w.starts = append(w.starts, start{o.Task, o.Run, o.Checkpoint, j.arrived})
	w.rec.note("worker %s: starts %s run %d, checkpoint %q", w.id, o.Task, o.Run, o.Checkpoint)
	go w.gangs.begin(j)
	return ""
}

// finish ends a run, unless it has already ended.
func (w *worker) finish(j *job, how string) {
	w.mu.Lock()
	if w.running[j.task] != j {
		w.mu.Unlock()
		return
	}
	saved := w.gangs.saved(j, time.Now())
	delete(w.running, j.task)
	w.maxEnded[j.task] = max(w.maxEnded[j.task], j.number)
	w.count++
	w.ended = append(w.ended, endRow{w.count, j.task, j.number, how, saved})
	if how == "alone" {
		w.alone = append(w.alone, time.Now())
	}
	close(w.changed)
	w.changed = make(chan struct{})
	w.mu.Unlock()
	if how != "lost" {
		w.rec.note("worker %s: %s run %d ends %s, saved %q", w.id, j.task, j.number, how, saved)
	}
	w.gangs.ended(j, how)
}

// stopRun stops a run, or returns why the order is refused.
func (w *worker) stopRun(o order) (reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reason = w.admit(o); reason != "" {
		return reason
	}
	w.maxEnded[o.Task] = max(w.maxEnded[o.Task], o.Run)
	if j, ok := w.running[o.Task]; ok && j.number <= o.Run {
		time.AfterFunc(stopTime, func() { w.finish(j, "stopped") })
	}
	return ""
}

// hold renews the lease and answers with the lists of runs.
func (w *worker) hold(rw http.ResponseWriter, req *http.Request, o order) {
	timer := time.NewTimer(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	defer timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	if reason := w.admit(o); reason != "" {
		w.answer(rw, http.StatusConflict, map[string]any{"Reason": reason})
		return
	}
	for len(w.ended) > 0 && w.ended[0].n <= o.Acked {
		w.ended = w.ended[1:]
	}
	for waiting := o.WaitMs > 0; waiting && len(w.ended) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-req.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	if w.isGone() {
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	now := time.Now()
	for _, j := range w.running {
		running = append(running, []any{j.task, j.number, w.gangs.saved(j, now), j.percent(now), 0})
	}
	for _, e := range w.ended[:min(len(w.ended), 500)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	w.answer(rw, http.StatusOK, map[string]any{"Running": running, "Ended": ended})
}

// percent returns the progress of a run; a task that lasts is at work at once.
func (j *job) percent(now time.Time) int {
	switch {
	case j.began.IsZero():
		return 0
	case j.plan.lasts:
		return 100
	default:
		return int(min(99, 100*now.Sub(j.began)/max(1, j.plan.length)))
	}
}

func (w *worker) respond(rw http.ResponseWriter, reason string) {
	if reason == "" {
		w.answer(rw, http.StatusOK, map[string]any{})
		return
	}
	w.answer(rw, http.StatusConflict, map[string]any{"Reason": reason})
}

// answer writes an answer with the clock and the birth of the worker.
func (w *worker) answer(rw http.ResponseWriter, status int, body map[string]any) {
	body["ClockMs"], body["born"] = w.clock(), w.born.UnixMilli()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	// A write fails only if the caller has closed the channel.
	_ = json.NewEncoder(rw).Encode(body)
}
