package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"
)

const (
	maxBodyBytes    = 4 << 20
	shutdownTimeout = 500 * time.Millisecond
	headerTimeout   = 10 * time.Second
)

// Serve listens on a loopback address, writes one line with the bound address to
// ready and serves until ctx is done. Requests that are still open 500 ms after
// that are cut off. An address that is not on loopback is an error.
func Serve(ctx context.Context, name, address string, handler http.Handler, ready io.Writer) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("listen address: %w", err)
	}
	if !parsed.Addr().IsLoopback() {
		return fmt.Errorf("listen address %s is not a loopback address", address)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	_, _ = fmt.Fprintf(ready, "%s ready on %s\n", name, listener.Addr())
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	bounded, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(bounded) != nil {
		_ = server.Close()
	}
	if err := <-done; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// readJSON decodes a request body, or responds with status 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	// The whole body must be read: net/http detects a closed connection only
	// after the end of the body.
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(data, target)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// sleep waits for d and returns true, or returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
