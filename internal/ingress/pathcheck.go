package ingress

import (
	"context"
	"net/http"
	"slices"
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
	// askedAtOnce and maxAskRounds bound the routers that are asked whether machines respond to them.
	askedAtOnce  = 4
	maxAskRounds = 3
	// pathCheckTimeout leaves the other router time for its probes.
	pathCheckTimeout = probeTimeout + 200*time.Millisecond
)

// checkPaths asks other routers which of some machines respond to them. Those that are asked at once are in
// different zones if possible, as routers of a zone often lose their paths together. If none of them hears any machine,
// others are asked next, among them those that isolated ones name. A router that hears other machines shows that these
// are paused; asking on would load them with probes.
func (f *forwarder) checkPaths(ctx context.Context, machines []string) (responding []string) {
	var asked []forwarding.Attempt
	for range maxAskRounds {
		routers := f.beginChecks(asked)
		if len(routers) == 0 {
			break
		}
		responding, anyConnected := f.askAll(ctx, routers, machines)
		if len(responding) > 0 {
			return responding
		}
		for _, router := range routers {
			asked = append(asked, silentAttempt(router))
		}
		if anyConnected {
			break
		}
	}
	f.logger.Info("machines_silent_elsewhere", "routers", len(asked), "machines", machines)
	return nil
}

// silentAttempt is an attempt at a router to which machines did not respond, which makes others of its zone a
// worse choice.
func silentAttempt(router forwarding.Router) forwarding.Attempt {
	return forwarding.Attempt{Router: router, Result: forwarding.ResultIsolated}
}

// beginChecks chooses the next routers to ask.
func (f *forwarder) beginChecks(asked []forwarding.Attempt) []forwarding.Router {
	var routers []forwarding.Router
	for range askedAtOnce {
		router, found := f.begin("", places.Constraint{}, asked)
		if !found {
			break
		}
		routers, asked = append(routers, router), append(asked, silentAttempt(router))
	}
	return routers
}

// askAll asks routers at once, and returns the machines that respond to any of them, and whether any of them hears
// machines at all.
func (f *forwarder) askAll(ctx context.Context, routers []forwarding.Router, machines []string) (responding []string, anyConnected bool) {
	replies := make([]*wirepb.PathCheckReply, len(routers))
	var checks sync.WaitGroup
	for position, router := range routers {
		checks.Go(func() {
			reply, err := f.askRouter(ctx, router, pathCheckTimeout, &wirepb.PathCheckRequest{Machines: machines})
			f.end(router.Node, checkResult(reply, err))
			if err != nil {
				f.logger.Info("path_check_failed", "router", router.Node, "error", fault.Message(err))
				return
			}
			f.refer(reply.GetRouters())
			replies[position] = reply
		})
	}
	checks.Wait()
	for position, reply := range replies {
		anyConnected = anyConnected || reply.GetConnected()
		if len(reply.GetResponding()) > 0 {
			f.logger.Info("machines_respond_elsewhere", "router", routers[position].Node, "machines", reply.GetResponding())
		}
		for _, machine := range reply.GetResponding() {
			if !slices.Contains(responding, machine) {
				responding = append(responding, machine)
			}
		}
	}
	return responding, anyConnected
}

// checkResult is the result of a path check for the selection of routers.
func checkResult(reply *wirepb.PathCheckReply, err error) forwarding.Result {
	switch {
	case fault.Is(err, fault.Late):
		return forwarding.ResultCanceled
	case err != nil:
		return forwarding.ResultFailed
	case reply.GetIsolated():
		return forwarding.ResultIsolated
	case len(reply.GetResponding()) == 0:
		return forwarding.ResultUnreachable
	}
	return forwarding.ResultServed
}

func (f *forwarder) askRouter(ctx context.Context, router forwarding.Router, timeout time.Duration, question *wirepb.PathCheckRequest) (*wirepb.PathCheckReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply := &wirepb.PathCheckReply{}
	err := callRouter(ctx, f.pool, routerAddress{node: router.Node, address: router.Address}, headerPathCheck, question, reply)
	return reply, err
}

// servePathCheck reports this router's status to another one, and probes machines for it.
func (i *Ingress) servePathCheck(writer http.ResponseWriter, request *http.Request) {
	asked := &wirepb.PathCheckRequest{}
	answerRouter(writer, request, i.options.Logger, asked, func() proto.Message {
		machines := asked.GetMachines()
		reply := &wirepb.PathCheckReply{Responding: i.paths.responding(request.Context(), machines[:min(len(machines), maxCheckedMachines)])}
		reply.Isolated, reply.Connected = i.paths.status()
		reply.NotServing = !i.Ready()
		if reply.Isolated {
			reply.Routers = i.forwarder.referrals()
		}
		return reply
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
