package rig3

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"time"
)

// redialPause is the pause between attempts to deliver a late call to a runner that is down.
const redialPause = 20 * time.Millisecond

// LateStarts is how starts are delayed on their way: a share of them gets no answer and arrives
// late.
type LateStarts struct {
	Share             float64
	Shortest, Longest time.Duration // from the sending until the arrival
}

// A Network relays the daemons' calls to runners, some of them late. It is safe for concurrent
// use.
type Network struct {
	rig    *Rig
	mu     sync.Mutex
	random *rand.Rand
	late   *LateStarts // nil while nothing is delayed
}

// NewNetwork returns a network that delays nothing.
func (r *Rig) NewNetwork(seed uint64) *Network {
	return &Network{rig: r, random: rand.New(rand.NewPCG(seed, seed))}
}

// SetLate begins the delays, or ends them if late is nil.
func (n *Network) SetLate(late *LateStarts) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.late = late
}

// delay returns how late a start arrives.
func (n *Network) delay() (delay time.Duration, isLate bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.late == nil || n.random.Float64() >= n.late.Share {
		return 0, false
	}
	return n.late.Shortest + time.Duration(n.random.Int64N(int64(n.late.Longest-n.late.Shortest)+1)), true
}

// Link returns an address at which calls to a runner are relayed.
func (n *Network) Link(ip, runner, address string) (link string, err error) {
	target := &url.URL{Scheme: "http", Host: address}
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) {
		panic(http.ErrAbortHandler) // the caller's connection ends like that to the runner
	}
	return n.rig.Serve(ip, http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		delay, isLate := time.Duration(0), false
		if strings.HasSuffix(request.URL.Path, "/run-start") {
			delay, isLate = n.delay()
		}
		if !isLate {
			proxy.ServeHTTP(w, request)
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		n.rig.Record.Note("network: start %s to runner %s arrives %.1f s late", body, runner, delay.Seconds())
		header, sentAt := request.Header.Clone(), time.Now()
		time.AfterFunc(delay, func() { n.deliver(target.String()+request.URL.Path, runner, header, body, sentAt) })
		<-request.Context().Done()
	}))
}

// deliver hands a late call to a runner. While that is down, it tries again until the call is as
// late as one may be.
func (n *Network) deliver(target, runner string, header http.Header, body []byte, sentAt time.Time) {
	n.mu.Lock()
	longest := n.late
	n.mu.Unlock()
	if longest == nil {
		return
	}
	for time.Since(sentAt) <= longest.Longest {
		request, err := http.NewRequest(http.MethodPost, target, bytes.NewReader(body))
		if err != nil {
			return
		}
		request.Header = header.Clone()
		if status, response := exchange(request); status != 0 {
			n.rig.Record.Note("network: start %s arrives at runner %s: %d %s", body, runner, status, strings.TrimSpace(response))
			return
		}
		time.Sleep(redialPause)
	}
}
