package elector

import (
	"context"
	"sync"
	"time"
)

// resendAfter is the time after which a call of a claim is sent again that has not been
// answered. It doubles each time.
const resendAfter = 150 * time.Millisecond

// resend makes a call, and makes it again from time to time until one of them has ended. It
// returns the result of that one, even if it is an error: a call before it may still succeed
// unseen.
//
// Load: a store that loses answers, while no owner renews leases.
func resend(ctx context.Context, call func(ctx context.Context) (int64, error)) (result int64, err error) {
	type answer struct {
		result int64
		err    error
	}
	ctx, cancel := context.WithCancel(ctx)
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	answers := make(chan answer)
	send := func() {
		result, err := call(ctx)
		select {
		case answers <- answer{result, err}:
		case <-ctx.Done():
		}
	}
	for pause := resendAfter; ; pause *= 2 {
		calls.Go(send)
		select {
		case a := <-answers:
			return a.result, a.err
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(pause):
		}
	}
}
