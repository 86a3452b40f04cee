package gateway

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/weldline/weldline/internal/crashwatch"
	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/problem"
	"github.com/weldline/weldline/internal/quarantine"
	"github.com/weldline/weldline/internal/upstream"
)

// identity returns the request's identity by its content.
func (j *job) identity() quarantine.Identity {
	return quarantine.Identify(quarantine.Content{Tenant: j.caller, Method: http.MethodPost, Target: j.path, Body: j.body})
}

// crashRequest describes the request to the crash watcher.
func (j *job) crashRequest() crashwatch.Request {
	return crashwatch.Request{Identity: j.identity, PromptParts: j.promptParts}
}

// maxPromptParts bounds the messages that are tracked of one prompt.
const maxPromptParts = 64

// promptPartsOf returns IDs of the parts of a prompt that other requests may share: all messages but the last.
// Prompts that are not a list of messages have none.
func promptPartsOf(body inferenceBody) []string {
	var messages []json.RawMessage
	if json.Unmarshal(body.Messages, &messages) != nil {
		return nil // The engine rejects what is no list, or accepts no parts of it.
	}
	var parts []string
	for position := 0; position+1 < len(messages) && len(parts) < maxPromptParts; position++ {
		if part := strconv.FormatUint(xxhash.Sum64(messages[position]), 16); !slices.Contains(parts, part) {
			parts = append(parts, part)
		}
	}
	return parts
}

func (g *Gateway) refuseQuarantined(writer http.ResponseWriter, j *job, document *problem.Document, mayHaveRun bool) string {
	if mayHaveRun {
		g.failEngine(writer, j)
		return "failed"
	}
	g.refuse(writer, j.id, document)
	return "refused"
}

// reportBroken reports a request whose connection broke after it was sent.
func (g *Gateway) reportBroken(j *job, grant *dispatch.Grant) {
	g.crashes.ReportBroken(quarantine.BrokenRequest{
		Machine: grant.Target.Machine, Instance: g.options.View.InstanceName(grant.Target.Machine, grant.Target.Replica), Address: upstream.AddressOf(grant.Target.Endpoint),
		Identity: j.identity(), Route: j.service, Tenant: j.caller, PromptParts: j.promptParts,
	})
}

// reportCompleted reports a request that an engine completed.
func (g *Gateway) reportCompleted(j *job, outcome attemptOutcome) {
	if outcome == outcomeAnswered {
		g.crashes.ReportCompleted(j.crashRequest())
	}
}

// notConnected reports whether err is a failed dial.
func notConnected(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}
