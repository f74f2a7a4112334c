package owner

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/fault"
	"kumquatreel.example/kumquatreel/internal/base/status"
	"kumquatreel.example/kumquatreel/internal/conf/schema"
	"kumquatreel.example/kumquatreel/internal/limit/slots"
	"kumquatreel.example/kumquatreel/internal/query/merge"
	"kumquatreel.example/kumquatreel/internal/tier/header"
	"kumquatreel.example/kumquatreel/internal/wire/inner"
	"kumquatreel.example/kumquatreel/internal/wire/netio"
)

// The HTTP headers of requests to a backend server and of its responses.
const (
	HeaderRequest     = "Request-Id"
	HeaderTeam        = "Team"
	HeaderDeadline    = "Deadline-Micros"
	HeaderVersion     = "Index-Version"
	HeaderIncarnation = "Incarnation"
	HeaderDigest      = "Content-Xxhash"
	HeaderDraining    = "Draining"
	HeaderPartial     = "Partial"
	HeaderNotRun      = "Not-Run"
	HeaderLimit       = "Request-Limit"
	HeaderRetryAfter  = "Retry-After"
)

// responseGracePeriod is added to a part's remaining time, so that a backend server's own time-out response is received.
// It is also the timeout of a cancellation.
const responseGracePeriod = 100 * time.Millisecond

// controlConns is the number of connections to a backend server that are reserved for cancellations.
const controlConns = 1

// BackendAnswer is the body of a backend server's response.
type BackendAnswer struct {
	Items []merge.Item `json:"items"`
}

// connPool holds the connections to one backend server: data connections, at most one for each slot, and control
// connections for cancellations.
type connPool struct {
	address string
	client  *http.Client
	control *http.Client
	close   func()
}

func newConnPool(n netio.Network, server *schema.Server, onClosed func()) *connPool {
	data, closeData := netio.Transport(netio.Watched{Network: n, OnLost: onClosed}, server.Service().Slots())
	control, closeControl := netio.Transport(n, controlConns)
	return &connPool{
		address: server.Address(),
		client:  &http.Client{Transport: data},
		control: &http.Client{Transport: control},
		close: func() {
			closeData()
			closeControl()
		},
	}
}

// run sends one part and returns the result for the scheduler and the reply to the entry.
func (p *connPool) run(ctx context.Context, job *job, remaining time.Duration, maxAnswer int64) (slots.Result, inner.PartReply) {
	ctx, cancel := context.WithTimeout(ctx, remaining+responseGracePeriod)
	defer cancel()
	reply := inner.PartReply{ID: job.part.ID}
	req, err := p.request(ctx, job, remaining)
	if err != nil {
		return failed(reply, fault.OutcomeNotSent, fault.CodeInternal, slots.Result{})
	}
	connected, req := netio.TraceConn(req)
	resp, err := p.client.Do(req)
	if err != nil {
		return p.connectionFailure(ctx, reply, connected())
	}
	defer func() { _ = resp.Body.Close() }()
	if status.CheckHead(resp) != nil {
		// Nothing else in the response counts either.
		p.close()
		return failed(reply, fault.OutcomeUnknown, fault.CodeWrongAnswer, slots.Result{})
	}
	result := slots.Result{
		Incarnation: resp.Header.Get(HeaderIncarnation),
		Draining:    resp.Header.Get(HeaderDraining) == "yes",
	}
	result.Limit, result.Limited = header.ParseRate(resp.Header.Get(HeaderLimit))
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		result.ConnectionFailed = ctx.Err() == nil
		return failed(reply, fault.OutcomeUnknown, fault.CodeUnavailable, result)
	}
	if resp.Header.Get(HeaderRequest) != string(job.part.ID) {
		// What is due on the other connections may be the answer to another part too.
		p.close()
		return failed(reply, fault.OutcomeUnknown, fault.CodeWrongAnswer, result)
	}
	if resp.StatusCode != http.StatusOK {
		return readRefusal(reply, resp, result)
	}
	if err := decode(resp, body, maxAnswer, &reply); err != nil {
		p.close()
		return failed(reply, fault.OutcomeUnknown, fault.CodeWrongAnswer, result)
	}
	reply.OK = true
	reply.Outcome = fault.OutcomeRan
	result.Outcome = fault.OutcomeRan
	return result, reply
}

func (p *connPool) connectionFailure(ctx context.Context, reply inner.PartReply, connected bool) (slots.Result, inner.PartReply) {
	if !connected {
		return failed(reply, fault.OutcomeNotSent, fault.CodeUnavailable, slots.Result{ConnectionFailed: ctx.Err() == nil})
	}
	if ctx.Err() != nil {
		return failed(reply, fault.OutcomeUnknown, fault.CodeDeadline, slots.Result{})
	}
	return failed(reply, fault.OutcomeUnknown, fault.CodeUnavailable, slots.Result{ConnectionFailed: true})
}

func (p *connPool) request(ctx context.Context, job *job, remaining time.Duration) (*http.Request, error) {
	url := "http://" + p.address + "/shards/" + string(job.part.Service) + "/" + strconv.Itoa(job.part.Shard)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(job.batch.Body))
	if err != nil {
		return nil, errors.Errorf("create request for part: %w", err)
	}
	req.Header.Set(HeaderRequest, string(job.part.ID))
	req.Header.Set(HeaderTeam, string(job.batch.Team))
	req.Header.Set(HeaderDeadline, strconv.FormatInt(remaining.Microseconds(), 10))
	req.Header.Set(HeaderVersion, strconv.Itoa(job.part.IndexVersion))
	return req, nil
}

// readRefusal interprets a response with a status other than 200. Only the header Not-Run says that nothing ran.
func readRefusal(reply inner.PartReply, resp *http.Response, result slots.Result) (slots.Result, inner.PartReply) {
	outcome := fault.OutcomeUnknown
	if resp.Header.Get(HeaderNotRun) == "yes" {
		outcome = fault.OutcomeRefused
	}
	switch resp.StatusCode {
	case http.StatusServiceUnavailable:
		result.Rest, _ = header.ParseRetryAfter(resp.Header.Values(HeaderRetryAfter))
		result.Shed = outcome == fault.OutcomeRefused && !result.Draining
		if result.Draining {
			return failed(reply, outcome, fault.CodeLeaving, result)
		}
		return failed(reply, outcome, fault.CodeOverloaded, result)
	case http.StatusConflict:
		return failed(reply, outcome, fault.CodeSnapshotGone, result)
	case http.StatusGatewayTimeout:
		return failed(reply, outcome, fault.CodeDeadline, result)
	case http.StatusRequestTimeout:
		return failed(reply, outcome, fault.CodeCancelled, result)
	case http.StatusBadRequest:
		return failed(reply, outcome, fault.CodeBadRequest, result)
	}
	return failed(reply, outcome, fault.CodeUnavailable, result)
}

func failed(reply inner.PartReply, outcome fault.Outcome, code fault.Code, result slots.Result) (slots.Result, inner.PartReply) {
	reply.Outcome, reply.Code = outcome, code
	result.Outcome = outcome
	return result, reply
}

// decode checks that a response is complete and decodes it into the reply.
func decode(resp *http.Response, body []byte, maxAnswer int64, reply *inner.PartReply) error {
	if int64(len(body)) > maxAnswer {
		return errors.Newf("response is longer than %d bytes", maxAnswer)
	}
	if resp.Header.Get(HeaderDigest) != strconv.FormatUint(xxhash.Sum64(body), 16) {
		return errors.New("response body does not match its digest")
	}
	version, err := strconv.Atoi(resp.Header.Get(HeaderVersion))
	if err != nil {
		return errors.Errorf("response without a valid index version: %w", err)
	}
	var answer BackendAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return errors.Errorf("decode response body: %w", err)
	}
	reply.Version = version
	reply.Partial = resp.Header.Get(HeaderPartial) == "yes"
	reply.Items = answer.Items
	return nil
}

// cancel asks the backend server to stop a part. Whether the part ran is known from its own response.
func (p *connPool) cancel(ctx context.Context, id slots.ID) {
	ctx, cancel := context.WithTimeout(ctx, responseGracePeriod)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.address+"/cancel", nil)
	if err != nil {
		return
	}
	req.Header.Set(HeaderRequest, string(id))
	resp, err := p.control.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<10))
	_ = resp.Body.Close()
}
