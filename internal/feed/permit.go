package feed

import (
	"context"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/warming"
	"github.com/weldline/weldline/internal/wire"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// PermitFunc asks the leader whether one request may be sent to a machine that warms up. On an
// error it may not.
type PermitFunc func(ctx context.Context, request *wirepb.PermitRequest) (*wirepb.PermitReply, error)

// Permit asks the leader for a permit; see PermitFunc. An answer that comes when a permit is of no
// use any more is not waited for.
func (c *Client) Permit(ctx context.Context, request *wirepb.PermitRequest) (*wirepb.PermitReply, error) {
	ctx, cancel := context.WithTimeout(ctx, warming.PermitLifetime)
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

// answerPermit asks the backend for a permit; without an answer there is none.
func (s *Server) answerPermit(ctx context.Context, conn *wire.Conn, requestID uint64, request *wirepb.PermitRequest) {
	ctx, cancel := context.WithTimeout(ctx, warming.PermitLifetime)
	defer cancel()
	reply, err := s.backend.Permit(ctx, request)
	if err != nil || reply == nil {
		reply = &wirepb.PermitReply{Unavailable: true}
	}
	_ = conn.Send(&wirepb.Envelope{RequestId: requestID, Body: &wirepb.Envelope_PermitReply{PermitReply: reply}})
}
