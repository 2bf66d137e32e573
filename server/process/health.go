package process

import (
	"fmt"
	"net/http"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// health serves the liveness, readiness and metrics endpoints.
type health struct {
	roles    []Role
	stopping atomic.Bool
}

func (h *health) live(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprintln(w, "ok")
}

// ready answers 503 from the start of a shutdown, so that a load balancer stops
// sending requests before the listener closes.
func (h *health) ready(w http.ResponseWriter, _ *http.Request) {
	if h.stopping.Load() {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	for _, r := range h.roles {
		if err := r.Ready(); err != nil {
			http.Error(w, r.Name()+": "+err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	fmt.Fprintln(w, "ready")
}

func (h *health) handler(registry *prometheus.Registry) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", h.live)
	mux.HandleFunc("GET /readyz", h.ready)
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return mux
}
