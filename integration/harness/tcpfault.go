package harness

import (
	"bytes"
	"context"
	"encoding/json"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
)

// TCPProxy forwards TCP connections to a target and injects faults. It runs
// toxiproxy inside this process.
type TCPProxy struct{ proxy *toxiproxy.Proxy }

// Toxic is a fault of a TCP proxy, in the form of toxiproxy's API.
type Toxic struct {
	Name string `json:"name"`
	// Type is latency, bandwidth, slow_close, timeout, reset_peer, slicer or
	// limit_data.
	Type string `json:"type"`
	// Stream is upstream (towards the target) or downstream.
	Stream     string         `json:"stream"`
	Attributes map[string]int `json:"attributes"`
}

// NewTCPProxy listens on a loopback address and forwards connections to target.
func NewTCPProxy(name, listen, target string) (*TCPProxy, error) {
	server := &toxiproxy.ApiServer{Collection: toxiproxy.NewProxyCollection(), Metrics: toxiproxy.NewMetricsContainer(nil)}
	setZero(&server.Logger)
	p := toxiproxy.NewProxy(server, name, listen, target)
	if err := p.Start(); err != nil {
		return nil, err
	}
	return &TCPProxy{proxy: p}, nil
}

// setZero sets a pointer to a new zero value. The zero value of the logger that
// toxiproxy uses writes nothing.
func setZero[T any](p **T) { *p = new(T) }

// Address returns the address to connect to instead of the target's.
func (p *TCPProxy) Address() string { return p.proxy.Listen }

// Add adds a fault.
func (p *TCPProxy) Add(t Toxic) error {
	data, err := json.Marshal(t)
	if err != nil {
		return err
	}
	_, err = p.proxy.Toxics.AddToxicJson(bytes.NewReader(data))
	return err
}

// Heal removes all faults and accepts connections again.
func (p *TCPProxy) Heal() error {
	p.proxy.Toxics.ResetToxics(context.Background())
	return p.proxy.Update(&toxiproxy.Proxy{Listen: p.proxy.Listen, Upstream: p.proxy.Upstream, Enabled: true})
}

// Cut closes all connections and refuses new ones until Heal.
func (p *TCPProxy) Cut() { p.proxy.Stop() }

// Close stops the proxy.
func (p *TCPProxy) Close() { p.proxy.Stop() }
