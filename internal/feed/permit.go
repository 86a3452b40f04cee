package feed

import (
	"context"
	"log/slog"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/permits"
	"github.com/weldline/weldline/internal/wire"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// PermitFunc asks the leader whether a request may be sent to a machine that is warming up or rate
// limited. An error means no.
type PermitFunc func(ctx context.Context, request *wirepb.PermitRequest) (*wirepb.PermitReply, error)

// Permit asks the leader for a permit; see PermitFunc. It waits no longer than the lifetime of a
// permit.
func (c *Client) Permit(ctx context.Context, request *wirepb.PermitRequest) (*wirepb.PermitReply, error) {
	ctx, cancel := context.WithTimeout(ctx, permits.Lifetime)
	defer cancel()
	answer, err := c.call(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_PermitRequest{PermitRequest: request}})
	if err != nil {
		return nil, err
	}
	reply := answer.GetPermitReply()
	if reply == nil || reply.GetUnavailable() {
		return nil, fault.Unavailable.New("the leader could not be reached")
	}
	return reply, nil
}

// Permit implements Backend.
func (c *Cache) Permit(ctx context.Context, request *wirepb.PermitRequest) (*wirepb.PermitReply, error) {
	return c.client.Permit(ctx, request)
}

// HandlePermitRequest requests a permit and sends the reply with the given request ID. The reply does
// not carry the reason of a failure, so it is logged.
func HandlePermitRequest(ctx context.Context, conn *wire.Conn, requestID uint64, request *wirepb.PermitRequest, ask PermitFunc, logger *slog.Logger) {
	ctx, cancel := context.WithTimeout(ctx, permits.Lifetime)
	defer cancel()
	reply, err := ask(ctx, request)
	if err != nil || reply == nil {
		logger.Debug("permit_unavailable", "machine", request.GetMachine(), "error", permitErrorReason(err))
		reply = &wirepb.PermitReply{Unavailable: true}
	}
	_ = conn.Send(&wirepb.Envelope{RequestId: requestID, Body: &wirepb.Envelope_PermitReply{PermitReply: reply}})
}

func permitErrorReason(err error) string {
	if err == nil {
		return "the reply was empty"
	}
	return fault.Message(err)
}
