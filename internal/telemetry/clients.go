package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
)

// Keys of the attributes of clients.
const (
	keyKind     = attribute.Key("kind")
	keyProtocol = attribute.Key("protocol")
)

type clientKindKey struct{ kind string }

func (k clientKindKey) attributes() []attribute.KeyValue {
	return []attribute.KeyValue{keyKind.String(k.kind)}
}

type clientClosedKey struct{ protocol, reason string }

func (k clientClosedKey) attributes() []attribute.KeyValue {
	return []attribute.KeyValue{keyProtocol.String(k.protocol), keyReason.String(k.reason)}
}

// ClientBytes sets the bytes of a kind that clients make this process hold. The kind is
// one of a few fixed words.
func (i *Instruments) ClientBytes(kind string, bytes int64) {
	if i == nil {
		return
	}
	i.clientBytes.Record(context.Background(), bytes, i.option(clientKindKey{kind}))
}

// ClientClosed counts a connection that was closed or refused because of a limit. The
// protocol and the reason are each one of a few fixed words.
func (i *Instruments) ClientClosed(protocol, reason string) {
	if i == nil {
		return
	}
	i.clientsClosed.Add(context.Background(), 1, i.option(clientClosedKey{protocol, reason}))
}
