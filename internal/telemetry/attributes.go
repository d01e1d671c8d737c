package telemetry

import (
	"strconv"

	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"go.opentelemetry.io/otel/attribute"
)

// Keys of the metrics' attributes.
const (
	keyService  = attribute.Key("service")
	keyRank     = attribute.Key("rank")
	keyOutcome  = attribute.Key("outcome")
	keyCode     = attribute.Key("code")
	keyGroup    = attribute.Key("group")
	keyUpstream = attribute.Key("upstream")
	keyRole     = attribute.Key("role")
	keyState    = attribute.Key("state")
	keyKept     = attribute.Key("kept")
	keyReason   = attribute.Key("reason")
	keyClass    = attribute.Key("class")
)

// States of a pool's connections.
const (
	stateIdle = "idle"
	stateBusy = "busy"
)

// attributeKey is a comparable value that identifies a set of attributes.
type attributeKey interface {
	attributes() []attribute.KeyValue
}

type serviceKey struct {
	service string
	rank    int
}

func (k serviceKey) attributes() []attribute.KeyValue {
	return []attribute.KeyValue{keyService.String(k.service), keyRank.String(strconv.Itoa(k.rank))}
}

type requestKey struct {
	serviceKey
	outcome outcome.Kind
	code    string
}

func (k requestKey) attributes() []attribute.KeyValue {
	return append(k.serviceKey.attributes(), keyOutcome.String(string(k.outcome)), keyCode.String(k.code))
}

type stateKey struct{ state string }

func (k stateKey) attributes() []attribute.KeyValue {
	return []attribute.KeyValue{keyState.String(k.state)}
}

type floorKey struct {
	serviceKey
	kept bool
}

func (k floorKey) attributes() []attribute.KeyValue {
	return append(k.serviceKey.attributes(), keyKept.Bool(k.kept))
}

type readKey struct {
	service string
	group   topo.GroupID
	role    topo.Role
}

func (k readKey) attributes() []attribute.KeyValue {
	return []attribute.KeyValue{
		keyService.String(k.service), keyGroup.String(string(k.group)), keyRole.String(string(k.role)),
	}
}

type retryKey struct{ service, reason string }

func (k retryKey) attributes() []attribute.KeyValue {
	return []attribute.KeyValue{keyService.String(k.service), keyReason.String(k.reason)}
}

type classKey struct{ class string }

func (k classKey) attributes() []attribute.KeyValue {
	return []attribute.KeyValue{keyClass.String(k.class)}
}

type groupKey struct{ group topo.GroupID }

func (k groupKey) attributes() []attribute.KeyValue {
	return []attribute.KeyValue{keyGroup.String(string(k.group))}
}

type upstreamKey struct{ upstream topo.UpstreamID }

func (k upstreamKey) attributes() []attribute.KeyValue {
	return []attribute.KeyValue{keyUpstream.String(string(k.upstream))}
}

type poolKey struct {
	upstream topo.UpstreamID
	state    string
}

func (k poolKey) attributes() []attribute.KeyValue {
	return []attribute.KeyValue{keyUpstream.String(string(k.upstream)), keyState.String(k.state)}
}
