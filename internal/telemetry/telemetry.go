// Package telemetry provides the metrics and the loggers of a process. The
// metrics are OpenTelemetry instruments, which Handler serves in the
// Prometheus format.
package telemetry

import (
	"context"
	"fmt"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// meterName is the name of the library that creates the instruments.
const meterName = "github.com/cicadacove/cicadacove"

// Telemetry holds the metrics of one process.
type Telemetry struct {
	// Instruments records the measurements.
	Instruments *Instruments

	registry *prometheus.Registry
	provider *sdk.MeterProvider
}

// New returns metrics with a registry of their own, so that several nodes can
// run in one process.
func New() (*Telemetry, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, fmt.Errorf("create prometheus exporter: %w", err)
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	instruments, err := newInstruments(provider.Meter(meterName))
	if err != nil {
		return nil, err
	}
	return &Telemetry{Instruments: instruments, registry: registry, provider: provider}, nil
}

// Handler serves the metrics in the Prometheus text format.
func (t *Telemetry) Handler() http.Handler {
	return promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{})
}

// Close stops collecting metrics.
func (t *Telemetry) Close(ctx context.Context) error { return t.provider.Shutdown(ctx) }
