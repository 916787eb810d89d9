package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/coltsfootbay/coltsfootbay/internal/dynamic"
	"github.com/coltsfootbay/coltsfootbay/internal/fleet"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// validate checks a document independently of all others.
func validate(d wire.Document) error {
	if d.Revision == 0 {
		return fmt.Errorf("%s: revision 0 (allowed: 1 and above)", d.Name)
	}
	if d.Name != VMListDocument {
		return dynamic.Validate(d)
	}
	_, err := parseVMs(d)
	return err
}

// truncateBody shortens an oversized body to one byte above the limit. Every process
// then rejects the document for the same reason, and the document still fits into a
// frame.
func truncateBody(d wire.Document) wire.Document {
	if len(d.Body) > dynamic.MaxBodyBytes {
		d.Body = string([]byte(d.Body[:dynamic.MaxBodyBytes+1]))
	}
	return d
}

func parseVMs(d wire.Document) ([]VM, error) {
	if d.Deleted {
		return nil, fmt.Errorf("%s: the VM list cannot be deleted", d.Name)
	}
	if len(d.Body) > dynamic.MaxBodyBytes {
		return nil, fmt.Errorf("%s: the body exceeds %d bytes", d.Name, dynamic.MaxBodyBytes)
	}
	var vms []VM
	if err := json.NewDecoder(bytes.NewReader([]byte(d.Body))).Decode(&vms); err != nil {
		return nil, fmt.Errorf("%s: %w", d.Name, err)
	}
	for i, vm := range vms {
		if err := vm.check(); err != nil {
			return nil, fmt.Errorf("%s: vms[%d]: %w", d.Name, i, err)
		}
	}
	return vms, nil
}

func (v VM) check() error {
	if v.Name == "" {
		return fmt.Errorf("name is required")
	}
	if v.Role != fleet.RoleEntry && v.Role != fleet.RoleAgent {
		return fmt.Errorf("role %q of %s is not one of entry, agent", v.Role, v.Name)
	}
	if v.State != VMLive && v.State != VMLeaving {
		return fmt.Errorf("state %q of %s is not one of live, leaving", v.State, v.Name)
	}
	if _, err := netip.ParseAddrPort(v.Address); err != nil {
		return fmt.Errorf("address %q of %s is not an IP address and port", v.Address, v.Name)
	}
	return nil
}
