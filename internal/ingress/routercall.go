package ingress

import (
	"context"
	"io"
	"log/slog"
	"net/http"

	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/problem"
	"github.com/weldline/weldline/internal/upstream"
)

// maxRouterMessageBytes bounds a message between routers.
const maxRouterMessageBytes = 256 << 10

// routerAddress is where another router accepts messages.
type routerAddress struct {
	node, address string
}

// callRouter sends a message to another router and decodes its reply. The header states the kind of the
// message. Messages may arrive twice.
func callRouter(ctx context.Context, pool *upstream.Pool, router routerAddress, header string, message, reply proto.Message) error {
	body, err := proto.Marshal(message)
	if err != nil {
		return fault.Protocol.Wrap(err, "encoding a message to router %s", router.node)
	}
	outgoing := &upstream.Request{
		Machine: router.node, Address: router.address, Method: http.MethodPost, Target: "/", Host: router.address, Body: body,
		Header: http.Header{header: {"1"}}, MaxUnrelayedBytes: maxRouterMessageBytes + upstream.MaxUnrelayedBytes,
	}
	response, failure, err := pool.Do(ctx, outgoing)
	if failure == upstream.FailureStale && ctx.Err() == nil {
		outgoing.NewConnection = true
		response, failure, err = pool.Do(ctx, outgoing)
	}
	if failure != upstream.FailureNone {
		return err
	}
	defer response.Close()
	content, err := io.ReadAll(io.LimitReader(response, maxRouterMessageBytes))
	if err != nil || response.Status != http.StatusOK {
		return fault.Unavailable.New("router %s answered a message with status %d", router.node, response.Status)
	}
	if err := proto.Unmarshal(content, reply); err != nil {
		return fault.Protocol.Wrap(err, "decoding the reply of router %s", router.node)
	}
	return nil
}

// answerRouter decodes the message of another router and sends the reply that answer returns for it.
func answerRouter(writer http.ResponseWriter, request *http.Request, logger *slog.Logger, message proto.Message, answer func() proto.Message) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxRouterMessageBytes))
	if err == nil {
		err = proto.Unmarshal(body, message)
	}
	if err != nil {
		logger.Warn("router_message_refused", "remote", request.RemoteAddr, "error", err.Error())
		problem.New(problem.TypeInvalid, http.StatusBadRequest, "the message can't be decoded").Write(writer)
		return
	}
	encoded, err := proto.Marshal(answer())
	if err != nil {
		logger.Warn("router_message_not_answered", "remote", request.RemoteAddr, "error", err.Error())
		problem.New(problem.TypeUnavailable, http.StatusInternalServerError, "the reply can't be encoded").Write(writer)
		return
	}
	if _, err := writer.Write(encoded); err != nil {
		logger.Info("router_message_not_answered", "remote", request.RemoteAddr, "error", err.Error())
	}
}
