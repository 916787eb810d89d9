// Package coltsfootbay holds the OpenAPI document of the entry process.
package coltsfootbay

import _ "embed"

// OpenAPI is the OpenAPI 3 document, in JSON.
//
//go:embed gen/http/openapi3.json
var OpenAPI []byte
