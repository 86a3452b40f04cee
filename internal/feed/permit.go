package feed

import (
	"context"
	"log/slog"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/permits"
	"github.com/weldline/weldline/internal/wire"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// PermitFunc asks the leader whether one request may be sent to a machine that warms up, or that names
// a limit. On an error it may not.
type PermitFunc func(ctx context.Context, request *wirepb.PermitRequest) (*wirepb.PermitReply, error)

// Permit asks the leader for a permit; see PermitFunc. An answer that comes when a permit is of no
// use any more is not waited for.
func (c *Client) Permit(ctx context.Context, request *wirepb.PermitRequest) (*wirepb.PermitReply, error) {
	ctx, cancel := context.WithTimeout(ctx, permits.Lifetime)
	defer cancel()
	answer, err := c.call(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_PermitRequest{PermitRequest: request}})
	if err != nil {
		return nil, err
	}
	reply := answer.GetPermitReply()
	if reply == nil || reply.GetUnavailable() {
		return nil, fault.Unavailable.New("the leader could not be asked")
	}
	return reply, nil
}

// Permit implements Backend.
func (c *Cache) Permit(ctx context.Context, request *wirepb.PermitRequest) (*wirepb.PermitReply, error) {
	return c.client.Permit(ctx, request)
}

// HandlePermitRequest asks for the permit that a request on a connection is about, and sends the reply
// back under the same request id. Without an answer there is no permit; why, is logged here, since
// the reply does not carry it.
func HandlePermitRequest(ctx context.Context, conn *wire.Conn, requestID uint64, request *wirepb.PermitRequest, ask PermitFunc, logger *slog.Logger) {
	ctx, cancel := context.WithTimeout(ctx, permits.Lifetime)
	defer cancel()
	reply, err := ask(ctx, request)
	if err != nil || reply == nil {
		logger.Debug("permit_unavailable", "machine", request.GetMachine(), "error", reasonOf(err))
		reply = &wirepb.PermitReply{Unavailable: true}
	}
	_ = conn.Send(&wirepb.Envelope{RequestId: requestID, Body: &wirepb.Envelope_PermitReply{PermitReply: reply}})
}

// reasonOf tells why a permit could not be asked for.
func reasonOf(err error) string {
	if err == nil {
		return "the answer was empty"
	}
	return fault.Message(err)
}
