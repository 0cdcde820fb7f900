package tails

import (
	"context"
	"sync"

	"github.com/kumquatstack/kumquatstack/internal/harness"
)

// A pool is a queue that sends requests straight to its runners.
type pool struct {
	caller    *harness.Caller
	addresses []string

	mu    sync.Mutex
	queue *queue
	ready map[int]chan int
}

func newPool(caller *harness.Caller, addresses []string) *pool {
	return &pool{caller: caller, addresses: addresses, queue: newQueue(len(addresses)), ready: make(map[int]chan int)}
}

// send waits for a slot and uses it.
func (p *pool) send(ctx context.Context, a arrival, call harness.Call) harness.Answer {
	runner := <-p.enqueue(a)
	defer p.release(runner)
	return p.caller.DoAt(ctx, p.addresses[runner], call)
}

// enqueue returns a channel that gets the runner whose slot the request has.
func (p *pool) enqueue(a arrival) <-chan int {
	ready := make(chan int, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ready[a.number] = ready
	p.queue.push(entry{deadline: a.due + deadline, number: a.number})
	p.dispatch()
	return ready
}

// release frees a slot.
func (p *pool) release(runner int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.release(runner)
	p.dispatch()
}

// setClosed keeps requests from a runner, or no longer.
func (p *pool) setClosed(runner int, closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.closed[runner] = closed
	p.dispatch()
}

// dispatch hands out free slots; the caller holds mu.
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
