package design

import . "goa.design/goa/v3/dsl"

// DocumentStatus reports which revision of a document is in force.
var DocumentStatus = Type("DocumentStatus", func() {
	Attribute("name", String)
	Attribute("latest", UInt64, "Highest revision seen")
	Attribute("in_force", UInt64, "Highest valid revision")
	Attribute("deleted", Boolean)
	Attribute("rejected", String, "Why the latest revision is not in force")
	Required("name", "latest", "in_force")
})

// InactiveReference is a reference in a document to something that does not
// exist.
var InactiveReference = Type("InactiveReference", func() {
	Attribute("document", String)
	Attribute("reference", String)
	Attribute("reason", String)
	Required("document", "reference", "reason")
})

// MemberStatus is the state of a process as known to the entry process.
var MemberStatus = Type("MemberStatus", func() {
	Attribute("process", String)
	Attribute("start", String)
	Attribute("role", String)
	Attribute("zone", String)
	Attribute("address", String)
	Attribute("alive", Boolean)
	Attribute("leaving", Boolean)
	Attribute("linked", Boolean)
	Required("process", "start", "role", "zone", "address", "alive", "leaving", "linked")
})

// SuspicionStatus is a suspected or quarantined request fingerprint.
var SuspicionStatus = Type("SuspicionStatus", func() {
	Attribute("fingerprint", String, "16 hexadecimal digits")
	Attribute("account", String)
	Attribute("crashes", Int)
	Attribute("quarantined", Boolean)
	Attribute("remaining_ms", Int64)
	Required("fingerprint", "account", "crashes", "quarantined", "remaining_ms")
})

// UsageStatus is the usage of a client account at this entry process since the
// process started.
var UsageStatus = Type("UsageStatus", func() {
	Attribute("account", String)
	Attribute("requests", Int64)
	Attribute("prompt_tokens", Int64)
	Attribute("completion_tokens", Int64)
	Required("account", "requests", "prompt_tokens", "completion_tokens")
})

var _ = Service("admin", func() {
	Description("Administration API. The paths status, events and drain, which agents have too, are served beside it.")
	Security(bearer)

	Method("configuration", func() {
		Payload(func() { Token("key", String) })
		Result(func() {
			Attribute("revision", UInt64)
			Attribute("platform_age_ms", Int64)
			Attribute("share_scale", Float64)
			Attribute("documents", ArrayOf(DocumentStatus))
			Attribute("inactive", ArrayOf(InactiveReference))
			Required("revision", "platform_age_ms", "share_scale", "documents", "inactive")
		})
		HTTP(func() { GET("/admin/v1/configuration") })
	})
	Method("members", func() {
		Payload(func() { Token("key", String) })
		Result(ArrayOf(MemberStatus))
		HTTP(func() { GET("/admin/v1/members") })
	})
	Method("quarantine", func() {
		Payload(func() { Token("key", String) })
		Result(ArrayOf(SuspicionStatus))
		HTTP(func() { GET("/admin/v1/quarantine") })
	})
	Method("usage", func() {
		Payload(func() { Token("key", String) })
		Result(ArrayOf(UsageStatus))
		HTTP(func() { GET("/admin/v1/usage") })
	})
	Method("validate", func() {
		Payload(func() {
			Token("key", String)
			Attribute("name", String, "Document name such as templates/gold")
			Attribute("body", String, "TOML content")
			Required("name", "body")
		})
		Result(func() {
			Attribute("valid", Boolean)
			Attribute("fault", String)
			Required("valid")
		})
		HTTP(func() {
			POST("/admin/v1/validate")
			Response(StatusOK)
		})
	})
	Method("lift", func() {
		Payload(func() {
			Token("key", String)
			Attribute("fingerprint", String, func() { Pattern("^[0-9a-f]{16}$") })
			Required("fingerprint")
		})
		HTTP(func() {
			DELETE("/admin/v1/quarantine/{fingerprint}")
			Response(StatusNoContent)
		})
	})
})
