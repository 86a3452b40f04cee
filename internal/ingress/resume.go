package ingress

import (
	"context"
	"net/http"
	"slices"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/problem"
	"github.com/weldline/weldline/internal/streamorigin"
)

const (
	// originLookupTimeout bounds the time in which other routers reply, and originLookupShare the share of the request's remaining
	// time that this and the confirmation of versions may each take.
	originLookupTimeout = 250 * time.Millisecond
	originLookupShare   = 0.25
	// uniformityTimeout bounds the time in which the leader confirms which versions there are. It exceeds the interval of digests.
	uniformityTimeout = time.Second
	// originMargin is added to the time that a client may wait for its stream.
	originMargin = 5 * time.Second
	// originLifetimes is how many timeouts long a stream may be resumed: a client may take it up more
	// than once.
	originLifetimes = 2
)

// recordsOrigin reports whether a client may take up the stream of the request at another machine.
func (j *job) recordsOrigin() bool {
	return j.route.Spec.Kind == v1.RouteStream && j.route.Spec.Resumable
}

// recordOrigin records where the stream begins, before the request is written to a machine. The first event
// comes much later. An attempt that fails before it is followed by another record.
func (j *job) recordOrigin(grant *dispatch.Grant) {
	j.sentToSoftware = grant.Target.Software
	j.recordOriginAt(grant.Target.Software, j.sent)
}

// recordOriginAt records that the stream begins at a version of the machines' software, at which the request arrives
// after it was sent to some other machines.
func (j *job) recordOriginAt(software string, sends int) {
	if !j.recordsOrigin() || software == "" || j.attributes.ID == "" {
		return
	}
	lifetime := originLifetimes*max(j.attributes.Timeout, time.Duration(j.route.Spec.Timeout)) + originMargin
	record := streamorigin.Record{
		Key: streamorigin.KeyOf(j.tenant.name, j.attributes.ID), Origin: streamorigin.Origin{Pool: j.pool, Software: software},
		Sends: uint32(sends), Expires: time.Now().Add(lifetime),
	}
	j.ingress.origins.record(record)
	if j.software != "" && j.attributes.Resumes != "" {
		record.Key = streamorigin.KeyOf(j.tenant.name, j.attributes.Resumes)
		j.ingress.origins.record(record)
	}
}

// resolveOrigin binds a request that takes a stream up to the pool and the version of the software that began
// the stream. It returns a problem if that is not known, or if no machine runs the version any more.
func (j *job) resolveOrigin() *problem.Document {
	if !j.recordsOrigin() || j.attributes.LastEvent == "" {
		return nil
	}
	started := time.Now()
	origin, source := j.lookupOrigin()
	outcome, document := j.bindToOrigin(origin, source)
	j.ingress.options.Metrics.resumes.WithLabelValues(outcome).Inc()
	j.log("resume", "resumes", j.attributes.Resumes, "last_event", j.attributes.LastEvent, "origin", string(source), "outcome", outcome,
		"software", j.software, "lookup_ms", time.Since(started).Milliseconds())
	return document
}

func (j *job) lookupOrigin() (streamorigin.Origin, originSource) {
	if j.attributes.Resumes == "" {
		return streamorigin.Origin{}, originAbsent
	}
	ctx, cancel := j.lookupContext(originLookupTimeout)
	defer cancel()
	return j.ingress.origins.lookup(ctx, streamorigin.KeyOf(j.tenant.name, j.attributes.Resumes))
}

func (j *job) confirmOnlyVersion() (software string, result uniformity) {
	ctx, cancel := j.lookupContext(uniformityTimeout)
	defer cancel()
	return j.ingress.origins.confirmOnlyVersion(ctx, j.pool)
}

// lookupContext ends after a timeout, or after a share of the request's remaining time.
func (j *job) lookupContext(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(j.request.Context(), min(timeout, time.Duration(originLookupShare*float64(j.remaining()))))
}

// bindToOrigin applies the result of a lookup.
func (j *job) bindToOrigin(origin streamorigin.Origin, source originSource) (outcome string, document *problem.Document) {
	targets := j.route.Spec.Targets
	if source == originLocal || source == originKept {
		isTarget := slices.ContainsFunc(targets, func(target v1.RouteTarget) bool { return target.Pool == origin.Pool })
		if !isTarget || j.ingress.origins.isGone(origin.Pool, origin.Software) {
			return "gone", j.softwareGoneProblem(origin.Software)
		}
		j.pool, j.software = origin.Pool, origin.Software
		return "bound", nil
	}
	found := uniformityMixed
	if len(targets) == 1 {
		j.software, found = j.confirmOnlyVersion()
	}
	if found == uniformityProven {
		return "uniform", nil
	}
	document = problem.New(problem.TypeUnavailable, http.StatusServiceUnavailable, "it is not known which version of the workers' software began the stream")
	switch {
	case !j.ingress.origins.software.Load().isKnown: // A leader may not have been heard yet.
		document.RetryAfter = retryAfterStart
	case source == originUnanswered || found == uniformityUnconfirmed:
		document.RetryAfter = retryAfterBusy
	}
	return "unknown", document
}

// softwareGoneProblem has no Retry-After: coming back at a certain time would not help.
func (j *job) softwareGoneProblem(software string) *problem.Document {
	return problem.New(problem.TypeUnavailable, http.StatusServiceUnavailable, "no worker runs version "+software+" of the software that began the stream any more")
}

// isSoftwareGone reports whether no machine of the pool runs the version any more that the request needs.
func (j *job) isSoftwareGone() bool {
	return j.software != "" && j.ingress.origins.isGone(j.pool, j.software)
}
