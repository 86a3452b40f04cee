package ingress

import (
	"context"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/forwarding"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// headerPathCheck marks a wirepb.PathCheckRequest from another router.
	headerPathCheck = "Weldline-Path-Check"
	// maxCheckedMachines bounds the machines that are probed for another router.
	maxCheckedMachines = 4
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
		reply, err := f.checkPathsAt(ctx, routerAddress{node: router.Node, address: router.Address}, machines)
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
	f.logger.Info("machines_silent_elsewhere", "routers", asked, "machines", machines)
	return nil
}

// checkResult is the result of a path check for the selection of routers.
func checkResult(err error) forwarding.Result {
	if err != nil {
		return forwarding.ResultFailed
	}
	return forwarding.ResultServed
}

func (f *forwarder) checkPathsAt(ctx context.Context, router routerAddress, machines []string) (*wirepb.PathCheckReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pathCheckTimeout)
	defer cancel()
	reply := &wirepb.PathCheckReply{}
	err := callRouter(ctx, f.pool, router, headerPathCheck, &wirepb.PathCheckRequest{Machines: machines}, reply)
	return reply, err
}

// servePathCheck probes machines for another router.
func (i *Ingress) servePathCheck(writer http.ResponseWriter, request *http.Request) {
	asked := &wirepb.PathCheckRequest{}
	answerRouter(writer, request, i.options.Logger, asked, func() proto.Message {
		machines := asked.GetMachines()
		return &wirepb.PathCheckReply{Responding: i.paths.responding(request.Context(), machines[:min(len(machines), maxCheckedMachines)])}
	})
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
