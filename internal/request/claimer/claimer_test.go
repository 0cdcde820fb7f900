package claimer

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// fakeService grants all claims. The next answersToLose calls fail, as if their answers
// were lost.
type fakeService struct {
	mu            sync.Mutex
	answersToLose int
	tokens        map[string]bool
	reports       []*kumquatv1.CompleteRequest
}

var errLost = errors.New("answer lost")

func (s *fakeService) Claim(_ context.Context, request *kumquatv1.ClaimRequest) (*kumquatv1.ClaimResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens[request.GetToken()] = true
	if s.answersToLose > 0 {
		s.answersToLose--
		return nil, errLost
	}
	return &kumquatv1.ClaimResponse{State: kumquatv1.ClaimState_CLAIM_STATE_GRANTED}, nil
}

func (s *fakeService) Complete(_ context.Context, report *kumquatv1.CompleteRequest) (*kumquatv1.CompleteResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answersToLose > 0 {
		s.answersToLose--
		return nil, errLost
	}
	s.reports = append(s.reports, report)
	return &kumquatv1.CompleteResponse{Durable: true}, nil
}

// directory names the same daemon as the owner of every partition.
type directory struct{}

func (directory) OwnerOf(owner.Partition) (daemon, address string, ok bool) { return "a", "", true }
func (directory) Partitions() []owner.Partition                             { return nil }

func newTestClaimer(answersToLose int) (*Claimer, *fakeService) {
	service := &fakeService{answersToLose: answersToLose, tokens: make(map[string]bool)}
	return New(Options{Daemon: "a", Directory: directory{}, Local: service}), service
}

func TestClaimerRetriesWithTheSameToken(t *testing.T) {
	c, service := newTestClaimer(3)
	claim := c.Claim(t.Context(), "charms/1", nil, "charms", time.Now().Add(5*time.Second))
	if claim.State != kumquatv1.ClaimState_CLAIM_STATE_GRANTED || len(service.tokens) != 1 {
		t.Errorf("state %v after claims with %d tokens, want granted with 1", claim.State, len(service.tokens))
	}
	claim.ReportUnknown()
	assertReports(t, c, service, func(r *kumquatv1.CompleteRequest) bool { return r.GetUnknown() })
}

// Guards against a key that stays claimed: the owner grants the claim, but its
// answer is lost and the deadline passes.
func TestClaimerFreesTheKeyOfAnUnansweredClaim(t *testing.T) {
	c, service := newTestClaimer(1)
	claim := c.Claim(t.Context(), "charms/1", nil, "charms", time.Now())
	if claim.State != kumquatv1.ClaimState_CLAIM_STATE_UNAVAILABLE {
		t.Errorf("state = %v, want unavailable", claim.State)
	}
	assertReports(t, c, service, func(r *kumquatv1.CompleteRequest) bool { return r.GetNotRun() })
}

func TestClaimerRetriesReportsUntilDelivered(t *testing.T) {
	c, service := newTestClaimer(0)
	claim := c.Claim(t.Context(), "charms/1", nil, "charms", time.Now().Add(time.Second))
	service.mu.Lock()
	service.answersToLose = 2
	service.mu.Unlock()
	claim.ReportResult(&kumquatv1.StoredResult{Status: 201})
	assertReports(t, c, service, func(r *kumquatv1.CompleteRequest) bool { return r.GetResult().GetStatus() == 201 })
}

// assertReports closes the claimer and checks that it delivered exactly one report,
// the wanted one.
func assertReports(t *testing.T, c *Claimer, service *fakeService, want func(*kumquatv1.CompleteRequest) bool) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Error(err)
	}
	if len(service.reports) != 1 || !want(service.reports[0]) {
		t.Errorf("reports = %v, want exactly one, the expected one", service.reports)
	}
}
