// Package design defines the HTTP interfaces of an entry process in the goa DSL.
// Package gen is generated from it.
package design

import . "goa.design/goa/v3/dsl"

var _ = API("coltsfootbay", func() {
	Title("coltsfootbay")
	Description("Load balancer for expert-parallel model groups. Refusals are application/problem+json.")
	Version("1")
	Server("entry", func() {
		Services("callers", "admin")
		Host("loopback", func() { URI("http://127.0.0.1:8080") })
	})
})

var bearer = JWTSecurity("bearer", func() {
	Description("Bearer key of a client account, or of the administration API.")
})

// Problem documents the body of refusals. The entry process writes it without
// goa, because goa's error types do not support application/problem+json together
// with the Verdict, Request-Id and Retry-After headers on every path.
var Problem = Type("Problem", func() {
	Attribute("type", String)
	Attribute("title", String)
	Attribute("status", Int)
	Attribute("verdict", String, func() { Enum("not_run", "may_have_run", "completed") })
	Attribute("reason", String)
	Attribute("request_id", String)
	Attribute("ticket_spent", Boolean)
	Attribute("detail", String)
	Required("type", "title", "status", "verdict", "reason", "request_id")
	Meta("type:generate:force")
})
