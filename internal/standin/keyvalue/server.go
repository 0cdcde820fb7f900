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

// valueLimit is the largest value that the service stores, in bytes.
const valueLimit = 1 << 20

// requestLimit is the largest accepted request, in bytes.
const requestLimit = 4 * valueLimit

// Codes of an encoder.Problem; they are gRPC status codes.
const (
	codeInvalidArgument = 3
	codeUnavailable     = 14
)

// NewHandler returns a handler that serves a fake over the HTTP protocol of the key-value service,
// and the endpoints through which tests control the fake.
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

// handle returns a handler that decodes a request, serves it subject to the faults, and encodes the
// response. Only requests with write set are subject to the faults of writes; the others count as
// reads. The handler aborts the connection during an outage and if the faults lose the request or
// the response, or delay the write.
func handle[Request, Response any](fake *Fake, write bool, serve func(time.Time, Request) (Response, *encoder.Problem)) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		var payload Request
		body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, requestLimit))
		if err == nil {
			err = json.Unmarshal(body, &payload)
		}
		if err != nil {
			refuse(writer, &encoder.Problem{Code: codeInvalidArgument, Message: err.Error()})
			return
		}
		if err := fake.admit(request.Context(), request.URL.Path); err != nil {
			panic(http.ErrAbortHandler)
		}
		effect := effectApplied
		if write {
			effect = fake.injector.drawEffect()
		} else {
			fake.injector.count(func(c *Counts) { c.Reads++ })
		}
		switch effect {
		case effectRequestLost:
			panic(http.ErrAbortHandler)
		case effectDelayed:
			fake.injector.postpone(fake.now(), func(now time.Time) { serve(now, payload) })
			panic(http.ErrAbortHandler)
		}
		response, problem := serve(fake.now(), payload)
		switch {
		case effect == effectResponseLost:
			panic(http.ErrAbortHandler)
		case problem != nil:
			refuse(writer, problem)
		default:
			writer.Header().Set("Content-Type", "application/json")
			// A write error means that the client has disconnected and needs no response.
			_ = json.NewEncoder(writer).Encode(response)
		}
	})
}

// refuse writes a problem with the HTTP status of its code.
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
	// A write error means that the client has disconnected and needs no response.
	_ = json.NewEncoder(writer).Encode(problem)
}

var (
	errLeaseMissing = encoder.Problem{Code: encoder.CodeNotFound, Message: "requested lease not found"}
	errTooLarge     = encoder.Problem{Code: codeInvalidArgument, Message: "value is too large"}
	errComparison   = encoder.Problem{Code: codeInvalidArgument, Message: "only the comparison EQUAL is supported"}
)

func (f *Fake) serveRange(now time.Time, request encoder.RangeRequest) (encoder.RangeResponse, *encoder.Problem) {
	listing := f.table.Range(now, string(request.Key), string(request.RangeEnd))
	response := encoder.RangeResponse{Header: header(listing.Revision), Count: int64(len(listing.Entries))}
	for _, entry := range listing.Entries {
		response.KVs = append(response.KVs, keyValue(entry))
	}
	return response, nil
}

func (f *Fake) serveTransaction(now time.Time, request encoder.TransactionRequest) (response encoder.TransactionResponse, problem *encoder.Problem) {
	var transaction Transaction
	for _, compare := range request.Compare {
		if compare.Result != encoder.ResultEqual {
			return response, &errComparison
		}
		transaction.Conditions = append(transaction.Conditions, condition(compare))
	}
	for _, operation := range request.Success {
		if put := operation.Put; put != nil {
			if len(put.Value) > valueLimit {
				return response, &errTooLarge
			}
			transaction.Puts = append(transaction.Puts, Put{Key: string(put.Key), Value: put.Value, Lease: storer.LeaseID(put.Lease)})
		}
		if removal := operation.DeleteRange; removal != nil {
			transaction.Removals = append(transaction.Removals, Removal{From: string(removal.Key), To: string(removal.RangeEnd)})
		}
	}
	outcome := f.table.Apply(now, transaction)
	if outcome.MissingLease {
		return response, &errLeaseMissing
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
	f.injector.count(func(c *Counts) { c.KeepAlives++ })
	ttl, _ := f.table.KeepAlive(now, storer.LeaseID(request.ID))
	return encoder.KeepAliveResponse{Result: encoder.LeaseResponse{ID: request.ID, TTL: int64(ttl / time.Second)}}, nil
}

func (f *Fake) serveRevoke(now time.Time, request encoder.LeaseRequest) (encoder.LeaseResponse, *encoder.Problem) {
	if !f.table.Revoke(now, storer.LeaseID(request.ID)) {
		return encoder.LeaseResponse{}, &errLeaseMissing
	}
	return encoder.LeaseResponse{}, nil
}

// serveWatch streams changes until the client disconnects or an outage begins.
func (f *Fake) serveWatch(writer http.ResponseWriter, request *http.Request) {
	var payload encoder.WatchRequest
	if err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, requestLimit)).Decode(&payload); err != nil {
		refuse(writer, &encoder.Problem{Code: codeInvalidArgument, Message: err.Error()})
		return
	}
	if err := f.admit(request.Context(), request.URL.Path); err != nil {
		panic(http.ErrAbortHandler)
	}
	stream := &watchStream{writer: writer, control: http.NewResponseController(writer)}
	if err := stream.send(encoder.WatchResult{Created: true}); err != nil {
		panic(http.ErrAbortHandler)
	}
	err := f.followStream(request.Context(), payload.Create, stream)
	if errors.Is(err, errs.ErrNotFound) {
		// The stream ends here even if this message can't be sent.
		_ = stream.send(encoder.WatchResult{Canceled: true, CompactRevision: max(1, payload.Create.StartRevision)})
		return
	}
	panic(http.ErrAbortHandler)
}

// followStream sends the changes that a watch requests, in the way of Fake.follow. A watch without
// a start revision begins with the next change.
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

// A watchStream writes the messages of one watch to the client.
type watchStream struct {
	writer  http.ResponseWriter
	control *http.ResponseController
}

// send writes one message and flushes it.
func (s *watchStream) send(result encoder.WatchResult) error {
	if err := json.NewEncoder(s.writer).Encode(encoder.WatchResponse{Result: result}); err != nil {
		return err
	}
	return s.control.Flush()
}

// condition converts a comparison of the protocol to a Condition.
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
