package keyvalue

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/connection/storer/encoder"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/standin/controller"
)

// valueLimit is the largest value the service holds, in bytes.
const valueLimit = 1 << 20

// requestLimit bounds the bytes of one request.
const requestLimit = 4 * valueLimit

const (
	codeInvalidArgument = 3
	codeUnavailable     = 14
)

// NewHandler returns a handler that serves a fake over the service's HTTP
// protocol, with the endpoints by which tests control it.
func NewHandler(fake *Fake) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+encoder.PathRange, handle(fake, false, fake.serveRange))
	mux.Handle("POST "+encoder.PathTransaction, handle(fake, true, fake.serveTransaction))
	mux.Handle("POST "+encoder.PathDeleteRange, handle(fake, true, fake.serveDeleteRange))
	mux.Handle("POST "+encoder.PathGrant, handle(fake, true, fake.serveGrant))
	mux.Handle("POST "+encoder.PathKeepAlive, handle(fake, true, fake.serveKeepAlive))
	mux.Handle("POST "+encoder.PathRevoke, handle(fake, true, fake.serveRevoke))
	mux.Handle("POST "+encoder.PathRevokeOld, handle(fake, true, fake.serveRevoke))
	mux.HandleFunc("POST "+encoder.PathWatch, fake.serveWatch)
	mux.Handle("GET "+controller.PathFaults, controller.Show(fake.Faults))
	mux.Handle("POST "+controller.PathFaults, controller.Accept(func(faults Faults) error {
		fake.SetFaults(faults)
		return nil
	}))
	mux.Handle("GET "+controller.PathCounts, controller.Show(fake.Counts))
	return mux
}

// handle decodes a request, lets the faults act, and encodes the answer.
func handle[Q, A any](fake *Fake, write bool, serve func(time.Time, Q) (A, *encoder.Problem)) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		var question Q
		body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, requestLimit))
		if err == nil {
			err = json.Unmarshal(body, &question)
		}
		if err != nil {
			refuse(writer, &encoder.Problem{Code: codeInvalidArgument, Message: err.Error()})
			return
		}
		if err := fake.enter(request.Context(), request.URL.Path); err != nil {
			panic(http.ErrAbortHandler)
		}
		outcome := fateApplied
		if write {
			outcome = fake.box.draw()
		} else {
			fake.box.count(func(c *Counts) { c.Reads++ })
		}
		switch outcome {
		case fateRequestLost:
			panic(http.ErrAbortHandler)
		case fateLate:
			fake.box.postpone(fake.now(), func(now time.Time) { serve(now, question) })
			panic(http.ErrAbortHandler)
		}
		answer, problem := serve(fake.now(), question)
		switch {
		case outcome == fateAnswerLost:
			panic(http.ErrAbortHandler)
		case problem != nil:
			refuse(writer, problem)
		default:
			writer.Header().Set("Content-Type", "application/json")
			// A client that went away needs no answer.
			_ = json.NewEncoder(writer).Encode(answer)
		}
	})
}

// refuse answers with a problem and the status that belongs to its code.
func refuse(writer http.ResponseWriter, problem *encoder.Problem) {
	status := http.StatusBadRequest
	switch problem.Code {
	case encoder.CodeNotFound:
		status = http.StatusNotFound
	case codeUnavailable:
		status = http.StatusServiceUnavailable
	}
	problem.Error = problem.Message
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	// A client that went away needs no answer.
	_ = json.NewEncoder(writer).Encode(problem)
}

var (
	errLeaseMissing = encoder.Problem{Code: encoder.CodeNotFound, Message: "requested lease not found"}
	errTooLarge     = encoder.Problem{Code: codeInvalidArgument, Message: "value is too large"}
	errComparison   = encoder.Problem{Code: codeInvalidArgument, Message: "only the comparison EQUAL is supported"}
)

func (f *Fake) serveRange(now time.Time, request encoder.RangeRequest) (encoder.RangeResponse, *encoder.Problem) {
	listing := f.table.Range(now, string(request.Key), string(request.RangeEnd))
	answer := encoder.RangeResponse{Header: header(listing.Revision), Count: int64(len(listing.Entries))}
	for _, entry := range listing.Entries {
		answer.KVs = append(answer.KVs, keyValue(entry))
	}
	return answer, nil
}

func (f *Fake) serveTransaction(now time.Time, request encoder.TransactionRequest) (answer encoder.TransactionResponse, problem *encoder.Problem) {
	var transaction Transaction
	for _, compare := range request.Compare {
		if compare.Result != encoder.ResultEqual {
			return answer, &errComparison
		}
		transaction.Conditions = append(transaction.Conditions, condition(compare))
	}
	for _, operation := range request.Success {
		if put := operation.Put; put != nil {
			if len(put.Value) > valueLimit {
				return answer, &errTooLarge
			}
			transaction.Puts = append(transaction.Puts, Put{Key: string(put.Key), Value: put.Value, Lease: storer.LeaseID(put.Lease)})
		}
		if removal := operation.DeleteRange; removal != nil {
			transaction.Removals = append(transaction.Removals, Removal{From: string(removal.Key), To: string(removal.RangeEnd)})
		}
	}
	outcome := f.table.Apply(now, transaction)
	if outcome.MissingLease {
		return answer, &errLeaseMissing
	}
	return encoder.TransactionResponse{Header: header(outcome.Revision), Succeeded: outcome.Applied}, nil
}

func (f *Fake) serveDeleteRange(now time.Time, request encoder.DeleteRangeRequest) (encoder.DeleteRangeResponse, *encoder.Problem) {
	removal := Removal{From: string(request.Key), To: string(request.RangeEnd)}
	outcome := f.table.Apply(now, Transaction{Removals: []Removal{removal}})
	return encoder.DeleteRangeResponse{Header: header(outcome.Revision), Deleted: int64(outcome.Removed)}, nil
}

func (f *Fake) serveGrant(now time.Time, request encoder.GrantRequest) (encoder.LeaseResponse, *encoder.Problem) {
	id := f.table.Grant(now, time.Duration(request.TTL)*time.Second)
	return encoder.LeaseResponse{ID: int64(id), TTL: request.TTL}, nil
}

func (f *Fake) serveKeepAlive(now time.Time, request encoder.LeaseRequest) (encoder.KeepAliveResponse, *encoder.Problem) {
	f.box.count(func(c *Counts) { c.KeepAlives++ })
	ttl, _ := f.table.KeepAlive(now, storer.LeaseID(request.ID))
	return encoder.KeepAliveResponse{Result: encoder.LeaseResponse{ID: request.ID, TTL: int64(ttl / time.Second)}}, nil
}

func (f *Fake) serveRevoke(now time.Time, request encoder.LeaseRequest) (encoder.LeaseResponse, *encoder.Problem) {
	if !f.table.Revoke(now, storer.LeaseID(request.ID)) {
		return encoder.LeaseResponse{}, &errLeaseMissing
	}
	return encoder.LeaseResponse{}, nil
}

// serveWatch streams changes until the client goes away or an outage begins.
func (f *Fake) serveWatch(writer http.ResponseWriter, request *http.Request) {
	var question encoder.WatchRequest
	if err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, requestLimit)).Decode(&question); err != nil {
		refuse(writer, &encoder.Problem{Code: codeInvalidArgument, Message: err.Error()})
		return
	}
	if err := f.enter(request.Context(), request.URL.Path); err != nil {
		panic(http.ErrAbortHandler)
	}
	stream := &watchStream{writer: writer, control: http.NewResponseController(writer)}
	if err := stream.send(encoder.WatchResult{Created: true}); err != nil {
		panic(http.ErrAbortHandler)
	}
	err := f.followStream(request.Context(), question.Create, stream)
	if errors.Is(err, errs.ErrNotFound) {
		// The stream ends with this message either way.
		_ = stream.send(encoder.WatchResult{Canceled: true, CompactRevision: max(1, question.Create.StartRevision)})
		return
	}
	panic(http.ErrAbortHandler)
}

// followStream sends the changes that a watch asks for.
func (f *Fake) followStream(ctx context.Context, create encoder.WatchCreate, stream *watchStream) error {
	after := storer.Revision(create.StartRevision - 1)
	if create.StartRevision == 0 {
		after = f.table.Range(f.now(), "", "").Revision
	}
	return f.follow(ctx, string(create.Key), string(create.RangeEnd), after, func(events []storer.Event, reached storer.Revision) error {
		result := encoder.WatchResult{Header: header(reached)}
		for _, event := range events {
			next := encoder.Event{KV: keyValue(event.Entry)}
			if event.Deleted {
				next.Type = encoder.TypeDelete
			}
			result.Events = append(result.Events, next)
		}
		return stream.send(result)
	})
}

// A watchStream writes the messages of one watch.
type watchStream struct {
	writer  http.ResponseWriter
	control *http.ResponseController
}

// send writes one message at once.
func (s *watchStream) send(result encoder.WatchResult) error {
	if err := json.NewEncoder(s.writer).Encode(encoder.WatchResponse{Result: result}); err != nil {
		return err
	}
	return s.control.Flush()
}

// condition converts a comparison of the protocol.
func condition(compare encoder.Compare) Condition {
	converted := Condition{Key: string(compare.Key), Target: Target(compare.Target)}
	switch compare.Target {
	case encoder.TargetCreate:
		converted.Equals = compare.CreateRevision
	case encoder.TargetVersion:
		converted.Equals = compare.Version
	default:
		converted.Equals = compare.ModRevision
	}
	return converted
}

func header(revision storer.Revision) encoder.Header {
	return encoder.Header{Revision: int64(revision)}
}

func keyValue(entry storer.Entry) encoder.KeyValue {
	return encoder.KeyValue{
		Key:         []byte(entry.Key),
		Value:       entry.Value,
		ModRevision: int64(entry.Revision),
		Lease:       int64(entry.Lease),
	}
}
