package design

import . "goa.design/goa/v3/dsl"

var _ = API("cowsliptiller", func() {
	Title("cowsliptiller")
	Description("Serving system for rarely used models")
	Version("1")
	Server("entry", func() { Services("callers") })
	Server("operators", func() { Services("operators") })
})

// callHeaders are common to every call that can reach a target.
func callHeaders() {
	Attribute("authorization", String, "Bearer key of the workspace")
	Attribute("idempotency_key", String, "Names a call that may not be repeated", func() { MaxLength(256) })
	Attribute("deadline_ms", Int64, "Milliseconds within which the caller wants the final answer", func() {
		Minimum(1)
		Maximum(3600000)
	})
	Attribute("class", String, "Class of call, from the questionnaire", func() { MaxLength(64) })
	Attribute("content_type", String)
}

func callHeaderMapping() {
	Header("authorization:Authorization")
	Header("idempotency_key:Idempotency-Key")
	Header("deadline_ms:Cowslip-Deadline-Ms")
	Header("class:Cowslip-Class")
	Header("content_type:Content-Type")
}

// CallAnswer is the head of an answer; the body is streamed behind it.
var CallAnswer = Type("CallAnswer", func() {
	Attribute("content_type", String)
	Attribute("request_id", String)
	Required("content_type", "request_id")
})

func answerHead() {
	Header("content_type:Content-Type")
	Header("request_id:Request-Id")
}

var _ = Service("callers", func() {
	Description("What callers ask of an entry host")
	refusals()

	Method("chat_completions", func() {
		Description("Answer a conversation, whole or as server-sent events")
		Payload(callHeaders)
		Result(CallAnswer)
		HTTP(func() {
			POST("/v1/chat/completions")
			callHeaderMapping()
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, answerHead)
			refusalResponses()
		})
	})

	Method("completions", func() {
		Description("Continue a prompt, whole or as server-sent events")
		Payload(callHeaders)
		Result(CallAnswer)
		HTTP(func() {
			POST("/v1/completions")
			callHeaderMapping()
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, answerHead)
			refusalResponses()
		})
	})

	Method("models", func() {
		Description("List the models and adapters that the key's workspace may use")
		Payload(func() {
			Attribute("authorization", String)
		})
		Result(func() {
			Attribute("object", String)
			Attribute("data", ArrayOf(ModelInfo))
			Required("object", "data")
		})
		HTTP(func() {
			GET("/v1/models")
			Header("authorization:Authorization")
			Response(StatusOK)
			refusalResponses()
		})
	})

	Method("call_service", func() {
		Description("Call a plain service; the body passes through unchanged in both directions")
		Payload(func() {
			callHeaders()
			Attribute("service", String)
			Attribute("path", String)
			Required("service", "path")
		})
		Result(CallAnswer)
		HTTP(func() {
			POST("/v1/services/{service}/{*path}")
			callHeaderMapping()
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, answerHead)
			refusalResponses()
		})
	})
})

// ModelInfo is one line of the model list.
var ModelInfo = Type("ModelInfo", func() {
	Attribute("id", String)
	Attribute("object", String)
	Attribute("base", String, "The model that an adapter needs")
	Required("id", "object")
})
