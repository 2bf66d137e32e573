package design

import (
	"cowsliptiller/coord/fault"

	. "goa.design/goa/v3/dsl"
)

// Refusal is the error body of both APIs.
var Refusal = Type("Refusal", func() {
	ErrorName("kind", String, "Error kind, from the closed list of coord/fault")
	Attribute("message", String, "What went wrong, in plain words")
	Attribute("ran", String, "Whether the request ran at a target", func() { Enum("no", "unknown", "yes") })
	Attribute("repeatable", Boolean, "Whether the same request can succeed later")
	Attribute("request_id", String, "Id of the request in the logs")
	Attribute("retry_after", Int, "Seconds after which to come back; sent as the Retry-After header")
	Required("kind", "message", "ran", "repeatable", "request_id")
})

// refusals declares every kind of the closed list as an error of a service.
func refusals() {
	for _, k := range fault.Kinds() {
		Error(string(k), Refusal)
	}
}

// refusalResponses maps every kind to its status in the table kind -> answer.
func refusalResponses() {
	for _, k := range fault.Kinds() {
		Response(string(k), fault.AnswerFor(k).Status, func() {
			Header("retry_after:Retry-After")
		})
	}
}
