package ingress

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/forwarding"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/problem"
	"github.com/weldline/weldline/internal/upstream"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// headerPathCheck marks a wirepb.PathCheckRequest from another router.
	headerPathCheck = "Weldline-Path-Check"
	// maxCheckedMachines bounds the machines of a request, maxPathCheckBytes a message.
	maxCheckedMachines = 4
	maxPathCheckBytes  = 16 << 10
	// maxAskedRouters bounds the routers that are asked one after the other until one gets responses.
	maxAskedRouters = 2
	// pathCheckTimeout leaves the other router time for its probes.
	pathCheckTimeout = probeTimeout + 200*time.Millisecond
)

// checkPaths asks other routers which of some machines respond to them.
func (f *forwarder) checkPaths(ctx context.Context, machines []string) (responding []string) {
	var asked []string
	for range maxAskedRouters {
		router, found := f.begin("", places.Constraint{}, asked)
		if !found {
			return nil
		}
		asked = append(asked, router.Node)
		reply, err := f.checkPathsAt(ctx, router.Node, router.Address, machines)
		f.end(router.Node, checkResult(err))
		if err != nil {
			f.logger.Info("path_check_failed", "router", router.Node, "error", fault.Message(err))
			continue
		}
		if len(reply.GetResponding()) > 0 {
			f.logger.Info("machines_respond_elsewhere", "router", router.Node, "machines", reply.GetResponding())
			return reply.GetResponding()
		}
	}
	return nil
}

// checkResult is the result of a path check for the selection of routers.
func checkResult(err error) forwarding.Result {
	if err != nil {
		return forwarding.ResultFailed
	}
	return forwarding.ResultServed
}

func (f *forwarder) checkPathsAt(ctx context.Context, node, address string, machines []string) (*wirepb.PathCheckReply, error) {
	body, err := proto.Marshal(&wirepb.PathCheckRequest{Machines: machines})
	if err != nil {
		return nil, fault.Protocol.Wrap(err, "encoding a path check")
	}
	ctx, cancel := context.WithTimeout(ctx, pathCheckTimeout)
	defer cancel()
	response, failure, err := f.pool.Do(ctx, &upstream.Request{
		Machine: node, Address: address, Method: http.MethodPost, Target: "/", Host: address, Body: body, NewConnection: true,
		Header: http.Header{headerPathCheck: {"1"}},
	})
	if failure != upstream.FailureNone {
		return nil, err
	}
	defer response.Close()
	content, err := io.ReadAll(io.LimitReader(response, maxPathCheckBytes))
	if err != nil || response.Status != http.StatusOK {
		return nil, fault.Unavailable.New("router %s answered a path check with status %d", node, response.Status)
	}
	reply := &wirepb.PathCheckReply{}
	if err := proto.Unmarshal(content, reply); err != nil {
		return nil, fault.Protocol.Wrap(err, "decoding the reply to a path check")
	}
	return reply, nil
}

// servePathCheck probes machines for another router.
func (i *Ingress) servePathCheck(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxPathCheckBytes))
	asked := &wirepb.PathCheckRequest{}
	if err == nil {
		err = proto.Unmarshal(body, asked)
	}
	if err != nil || len(asked.GetMachines()) > maxCheckedMachines {
		problem.New(problem.TypeInvalid, http.StatusBadRequest, "the path check can't be decoded or has too many machines").Write(writer)
		return
	}
	encoded, err := proto.Marshal(&wirepb.PathCheckReply{Responding: i.paths.responding(request.Context(), asked.GetMachines())})
	if err != nil {
		problem.New(problem.TypeUnavailable, http.StatusInternalServerError, "the reply can't be encoded").Write(writer)
		return
	}
	if _, err := writer.Write(encoded); err != nil {
		i.options.Logger.Debug("path_check_not_answered", "remote", request.RemoteAddr, "error", err.Error())
	}
}

// responding returns those of some machines that respond to a probe.
func (m *pathMonitor) responding(ctx context.Context, machines []string) []string {
	answered := make([]bool, len(machines))
	var probes sync.WaitGroup
	for position, machine := range machines {
		probes.Go(func() { answered[position] = m.exchange(ctx, machine) == probeAnswered })
	}
	probes.Wait()
	var responding []string
	for position, machine := range machines {
		if answered[position] {
			responding = append(responding, machine)
		}
	}
	return responding
}
