package design

import . "goa.design/goa/v3/dsl"

// Address is the address of an entry VM.
var Address = Type("Address", func() {
	Attribute("address", String, "IP address and TCP port")
	Attribute("zone", String, "Availability zone")
	Required("address", "zone")
})

// Resume is the part of a completion request that continues a cut stream.
var Resume = Type("Resume", func() {
	Attribute("stream_token", String, "stream_token of the first event")
	Attribute("next_part", UInt64, "Number of the first part that the caller lacks")
	Attribute("generated", String, "Text that the caller received so far")
	Required("stream_token", "next_part")
})

var _ = Service("callers", func() {
	Description("Interface for callers. Calls of plain services below /v1/services/ have arbitrary paths and are described in docs/callers.md.")

	Method("addresses", func() {
		Description("Addresses of entry VMs, the caller's zone first.")
		Payload(func() { Attribute("zone", String, "Availability zone of the caller") })
		Result(func() {
			Attribute("addresses", ArrayOf(Address))
			Attribute("lifetime_seconds", Int, "How long the answer may be kept")
			Required("addresses", "lifetime_seconds")
		})
		HTTP(func() {
			GET("/v1/addresses")
			Param("zone")
		})
	})

	Method("completions", func() {
		Description("Completes a prompt, as JSON or as server-sent events that end with data: [DONE].")
		Security(bearer)
		Payload(func() {
			Token("key", String)
			Attribute("accept", String)
			Attribute("timeout_ms", String, "Deadline in milliseconds from now, at most 600000")
			Attribute("rank", String, "Lower rank than the template's")
			Attribute("model", String)
			Attribute("adapter", String)
			Attribute("prompt", String)
			Attribute("max_tokens", Int, func() {
				Minimum(1)
				Maximum(1000000)
				Default(16)
			})
			Attribute("stream", Boolean, func() { Default(false) })
			Attribute("resume", Resume)
			Required("model", "prompt")
		})
		Result(func() {
			Attribute("content_type", String)
			Required("content_type")
		})
		HTTP(func() {
			POST("/v1/completions")
			Header("accept:Accept")
			Header("timeout_ms:Request-Timeout-Ms")
			Header("rank:Request-Rank")
			// goa supports server-sent events of one result type only. The last
			// event, "[DONE]", is not JSON, so the entry process writes the body.
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() { Header("content_type:Content-Type") })
		})
	})

	Method("tickets", func() {
		Description("Issues a ticket that lets one non-idempotent call run at most once.")
		Security(bearer)
		Payload(func() {
			Token("key", String)
			Attribute("idempotency_key", String)
			Attribute("service", String)
			Required("service")
		})
		Result(func() {
			Attribute("ticket", String)
			Attribute("expires_seconds", Int)
			Required("ticket", "expires_seconds")
		})
		HTTP(func() {
			POST("/v1/tickets")
			Header("idempotency_key:Idempotency-Key")
			Response(StatusOK)
		})
	})
})
