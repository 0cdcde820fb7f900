package tails

import (
	"context"
	"sync"

	"github.com/kumquatstack/kumquatstack/internal/harness"
)

// A pool queues requests in front of a set of runners and sends them directly
// to the runners as slots become free.
type pool struct {
	caller    *harness.Caller
	addresses []string

	mu    sync.Mutex
	queue *queue
	// ready holds, by number, the channel on which each waiting request receives the
	// runner whose slot it has been given.
	ready map[int]chan int
}

func newPool(caller *harness.Caller, addresses []string) *pool {
	return &pool{caller: caller, addresses: addresses, queue: newQueue(len(addresses)), ready: make(map[int]chan int)}
}

// send waits for a free slot and sends the request to the runner of that slot.
func (p *pool) send(ctx context.Context, a arrival, call harness.Call) harness.Answer {
	runner := <-p.enqueue(a)
	defer p.release(runner)
	return p.caller.DoAt(ctx, p.addresses[runner], call)
}

// enqueue queues a request. The returned channel receives the runner whose slot
// the request has been given.
func (p *pool) enqueue(a arrival) <-chan int {
	ready := make(chan int, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ready[a.number] = ready
	p.queue.push(entry{deadline: a.due + deadline, number: a.number})
	p.dispatch()
	return ready
}

// release frees a slot of a runner.
func (p *pool) release(runner int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.release(runner)
	p.dispatch()
}

// setExcluded sets whether a runner is excluded from getting requests.
func (p *pool) setExcluded(runner int, excluded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.excluded[runner] = excluded
	p.dispatch()
}

// dispatch assigns free slots to waiting requests. The caller must hold mu.
func (p *pool) dispatch() {
	for {
		number, runner, ok := p.queue.pop()
		if !ok {
			return
		}
		p.ready[number] <- runner
		delete(p.ready, number)
	}
}
