package design

import . "goa.design/goa/v3/dsl"

func operatorToken() {
	Attribute("authorization", String, "Bearer operator token")
	Attribute("actor", String, "Who asks, for the audit trail", func() { MaxLength(128) })
}

func operatorHeaders() {
	Header("authorization:Authorization")
	Header("actor:Cowslip-Actor")
}

func operatorMethod(name, description string, payload func(), result any, http func()) {
	Method(name, func() {
		Description(description)
		Payload(func() {
			operatorToken()
			payload()
		})
		if result != nil {
			Result(result)
		}
		HTTP(func() {
			http()
			operatorHeaders()
			Response(StatusOK)
			refusalResponses()
		})
	})
}

// SubmissionOutcome tells what became of a submitted questionnaire.
var SubmissionOutcome = Type("SubmissionOutcome", func() {
	Attribute("submission_id", String)
	Attribute("revision", UInt64, "Configuration revision that it made")
	Attribute("actor", String)
	Attribute("accepted_unix_ms", Int64)
	Required("submission_id", "revision")
})

// ConfigurationInfo is the questionnaire in force and what was generated from it.
var ConfigurationInfo = Type("ConfigurationInfo", func() {
	Attribute("revision", UInt64)
	Attribute("questionnaire", String, "The YAML as submitted")
	Attribute("generated", String, "The generated configuration, as JSON")
	Attribute("in_force", ArrayOf(InForce))
	Required("revision", "questionnaire", "generated", "in_force")
})

// InForce tells which revision a process follows.
var InForce = Type("InForce", func() {
	Attribute("host", String)
	Attribute("role", String)
	Attribute("revision", UInt64, "State revision that the process acknowledged last")
	Attribute("configuration_revision", UInt64)
	Attribute("seen_ms_ago", Int64)
	Required("host", "role", "revision", "configuration_revision", "seen_ms_ago")
})

// KeyInfo is a key as operators see it; the secret is shown once, when given.
var KeyInfo = Type("KeyInfo", func() {
	Attribute("key_id", String)
	Attribute("workspace", String)
	Attribute("withdrawn", Boolean)
	Attribute("secret", String, "Only in the answer that gives the key")
	Required("key_id", "workspace", "withdrawn")
})

// HostInfo is an entry host or an agent's host.
var HostInfo = Type("HostInfo", func() {
	Attribute("host", String)
	Attribute("role", String)
	Attribute("failure_domain", String)
	Attribute("address", String)
	Attribute("target", String)
	Attribute("leaving", Boolean)
	Attribute("live", Boolean)
	Attribute("seen_ms_ago", Int64)
	Required("host", "role", "failure_domain", "address", "leaving", "live")
})

// EvacuationInfo is a failure domain whose targets are out of service, or were.
var EvacuationInfo = Type("EvacuationInfo", func() {
	Attribute("failure_domain", String)
	Attribute("evacuated", Boolean)
	Attribute("changed_unix_ms", Int64, "Time of the last change")
	Attribute("actor", String, "Who made the last change")
	Required("failure_domain", "evacuated", "changed_unix_ms", "actor")
})

// ReplicaInfo is one replica decision.
var ReplicaInfo = Type("ReplicaInfo", func() {
	Attribute("model", String)
	Attribute("target", String)
	Attribute("state", String)
	Attribute("fencing", UInt64)
	Required("model", "target", "state", "fencing")
})

// MemberInfo is one control process.
var MemberInfo = Type("MemberInfo", func() {
	Attribute("id", UInt64)
	Attribute("address", String)
	Attribute("learner", Boolean)
	Attribute("failure_domain", String)
	Attribute("matched", UInt64, "Last log index known to be stored there; leader only")
	Required("id", "address", "learner")
})

// ControlStatus tells how the control processes stand.
var ControlStatus = Type("ControlStatus", func() {
	Attribute("member_id", UInt64)
	Attribute("leader_id", UInt64)
	Attribute("leader_address", String)
	Attribute("term", UInt64)
	Attribute("commit", UInt64)
	Attribute("applied", UInt64)
	Attribute("revision", UInt64)
	Attribute("configuration_revision", UInt64)
	Attribute("members", ArrayOf(MemberInfo))
	Required("member_id", "leader_id", "term", "commit", "applied", "revision", "configuration_revision", "members")
})

// AuditEntry is one line of the audit trail.
var AuditEntry = Type("AuditEntry", func() {
	Attribute("sequence", UInt64)
	Attribute("unix_ms", Int64)
	Attribute("actor", String)
	Attribute("action", String)
	Attribute("subject", String)
	Attribute("from_revision", UInt64)
	Attribute("to_revision", UInt64)
	Attribute("outcome", String)
	Required("sequence", "unix_ms", "actor", "action", "subject", "from_revision", "to_revision", "outcome")
})

var _ = Service("operators", func() {
	Description("What operators ask of a control host")
	refusals()

	operatorMethod("submit", "Submit a questionnaire in place of a revision", func() {
		Attribute("questionnaire", String, "YAML")
		Attribute("replaces_revision", UInt64)
		Attribute("submission_id", String, func() { MinLength(1); MaxLength(128) })
		Required("questionnaire", "replaces_revision", "submission_id")
	}, SubmissionOutcome, func() { POST("/operator/v1/questionnaire") })

	operatorMethod("configuration", "Show the questionnaire, the generated configuration and where it is in force",
		func() {}, ConfigurationInfo, func() { GET("/operator/v1/configuration") })

	operatorMethod("give_key", "Give a workspace a key", func() {
		Attribute("workspace", String)
		Attribute("command_id", String)
		Required("workspace", "command_id")
	}, KeyInfo, func() { POST("/operator/v1/keys") })

	operatorMethod("withdraw_key", "Withdraw a key; answers once no entry host accepts it", func() {
		Attribute("key_id", String)
		Required("key_id")
	}, KeyInfo, func() { DELETE("/operator/v1/keys/{key_id}") })

	operatorMethod("keys", "List keys", func() {}, CollectionOfKeys, func() { GET("/operator/v1/keys") })

	operatorMethod("hosts", "List hosts", func() {}, CollectionOfHosts, func() { GET("/operator/v1/hosts") })

	operatorMethod("drain_host", "Mark a host as leaving, or take that back", func() {
		Attribute("host", String)
		Attribute("leaving", Boolean)
		Required("host", "leaving")
	}, HostInfo, func() { POST("/operator/v1/hosts/{host}/drain") })

	operatorMethod("forget_host", "Forget a host that is gone for good; its replicas no longer count", func() {
		Attribute("host", String)
		Required("host")
	}, nil, func() { DELETE("/operator/v1/hosts/{host}") })

	operatorMethod("evacuate", "Take a failure domain's targets out of service; answers once no entry host sends to them", func() {
		failureDomain()
	}, EvacuationInfo, func() { POST("/operator/v1/evacuations/{failure_domain}") })

	operatorMethod("restore", "Put a failure domain's targets back into service", func() {
		failureDomain()
	}, EvacuationInfo, func() { DELETE("/operator/v1/evacuations/{failure_domain}") })

	operatorMethod("evacuations", "List failure domains that are evacuated or were", func() {}, CollectionOfEvacuations,
		func() { GET("/operator/v1/evacuations") })

	operatorMethod("replicas", "List replica decisions", func() {}, CollectionOfReplicas,
		func() { GET("/operator/v1/replicas") })

	operatorMethod("status", "Show how the control processes stand", func() {}, ControlStatus,
		func() { GET("/operator/v1/status") })

	operatorMethod("audit", "Read the audit trail", func() {
		Attribute("after", UInt64, "Only records with a higher sequence", func() { Default(0) })
		Attribute("limit", Int, func() { Default(100); Minimum(1); Maximum(1000) })
	}, CollectionOfAudit, func() {
		GET("/operator/v1/audit")
		Param("after")
		Param("limit")
	})

	operatorMethod("add_member", "Add a control process as a learner; it votes once it has caught up", func() {
		Attribute("id", UInt64)
		Attribute("address", String)
		Attribute("failure_domain", String)
		Required("id", "address")
	}, ControlStatus, func() { POST("/operator/v1/members") })

	operatorMethod("remove_member", "Remove a control process", func() {
		Attribute("id", UInt64)
		Required("id")
	}, ControlStatus, func() { DELETE("/operator/v1/members/{id}") })

	operatorMethod("where", "Show where a request would go now, from the view of one entry host; sends and changes nothing", func() {
		Attribute("entry_host", String, "Name of the entry host that decides", func() { MinLength(1); MaxLength(253) })
		Attribute("host", String, "Host of the route", func() { MaxLength(253) })
		Attribute("path", String, "Path of the request", func() { MaxLength(8192) })
		Attribute("workspace", String, "Name of the workspace", func() { Default(""); MaxLength(253) })
		Attribute("model", String, "MODEL or MODEL/ADAPTER", func() { Default(""); MaxLength(512) })
		Attribute("prompt_tokens", Int64, "Tokens of the prompt; -1: not stated", func() { Default(-1) })
		Attribute("output_tokens", Int64, "The most tokens that may be generated; -1: not stated", func() { Default(-1) })
		Attribute("request_id", String, "Selects the service of a route with several", func() { Default(""); MaxLength(512) })
		Attribute("prefix", String, "Id of the last part of the prompt's prefix", func() { Default(""); MaxLength(512) })
		Required("entry_host", "host", "path")
	}, WhereInfo, func() { POST("/operator/v1/where") })

	operatorMethod("backup", "Take a snapshot of the replicated state", func() {}, Backup,
		func() { GET("/operator/v1/backup") })
})

// WhereInfo is what an entry host would decide on a request; the fields are those of rpc.WhereResponse.
var WhereInfo = Type("WhereInfo", func() {
	Attribute("entry_host", String)
	Attribute("deployment_version", UInt64)
	Attribute("revision", UInt64, "Revision of the host's view")
	Attribute("table_age_ms", UInt32, "Since the host received the target table")
	Attribute("route", String)
	Attribute("service", String)
	Attribute("model", String)
	Attribute("rank", UInt32)
	Attribute("contended", Boolean)
	Attribute("outcome", String, func() { Enum("send", "wait", "load", "refuse") })
	Attribute("target", String, "Where the request would be sent, or its model loaded; empty: nowhere")
	Attribute("reason", String)
	Attribute("wait_ms", UInt32, "Expected, in the target's queue or for the model")
	Attribute("kind", String, "Error kind of the refusal, from the closed list of coord/fault")
	Attribute("retry_after_ms", UInt32, "Of the refusal; 0: none")
	Attribute("notes", ArrayOf(String), "What else the request depends on")
	Attribute("candidates", ArrayOf(WhereCandidate), "The chosen one first")
	Attribute("candidates_omitted", UInt32)
	Required("entry_host", "deployment_version", "revision", "table_age_ms", "route", "service", "model", "rank", "contended",
		"outcome", "target", "reason", "wait_ms", "kind", "retry_after_ms", "notes", "candidates", "candidates_omitted")
})

// WhereCandidate is a target of the request's service; the fields are those of rpc.WhereCandidate.
var WhereCandidate = Type("WhereCandidate", func() {
	Attribute("instance", String)
	Attribute("failure_domain", String)
	Attribute("verdict", String, func() { Enum("chosen", "possible", "rejected") })
	Attribute("reasons", ArrayOf(String))
	Attribute("model_state", String, "held, held_without_adapter, loading, pending, cached or absent; empty: needs no model")
	Attribute("running", UInt32)
	Attribute("queued", UInt32)
	Attribute("slots", UInt32)
	Attribute("in_flight", UInt32, "Of the entry host")
	Attribute("load", Float64, "Estimate, as a fraction of the slots")
	Attribute("estimated_wait", Float64, "Relative, by which two candidates are compared")
	Attribute("queue_wait_ms", UInt32)
	Attribute("load_forecast_ms", UInt32, "Until the target could hold the model")
	Attribute("slowdown_ratio", Float64, "Measured service time relative to the other targets")
	Attribute("speed_percent", UInt32, "Announced processing time, of the usual; 0: not known")
	Attribute("report_age_ms", UInt32, "Of the load")
	Attribute("reported", Boolean, "A load was reported")
	Attribute("circuit_share", Float64, "Of its usual requests that the circuit allows")
	Attribute("rate_limit_per_s", Float64, "Announced; 0: none")
	Attribute("backoff_ms", UInt32)
	Required("instance", "failure_domain", "verdict", "reasons", "model_state", "running", "queued", "slots", "in_flight", "load",
		"estimated_wait", "queue_wait_ms", "load_forecast_ms", "slowdown_ratio", "speed_percent", "report_age_ms", "reported",
		"circuit_share", "rate_limit_per_s", "backoff_ms")
})

// Backup is a snapshot for `cowslipd` to restore from.
var Backup = Type("Backup", func() {
	Attribute("revision", UInt64)
	Attribute("snapshot", Bytes)
	Required("revision", "snapshot")
})

// CollectionOfKeys is a list of keys.
var CollectionOfKeys = Type("KeyList", func() { Attribute("keys", ArrayOf(KeyInfo)); Required("keys") })

// CollectionOfHosts is a list of hosts.
var CollectionOfHosts = Type("HostList", func() { Attribute("hosts", ArrayOf(HostInfo)); Required("hosts") })

func failureDomain() {
	Attribute("failure_domain", String, func() { MinLength(1); MaxLength(253) })
	Required("failure_domain")
}

// CollectionOfEvacuations is a list of evacuations.
var CollectionOfEvacuations = Type("EvacuationList", func() {
	Attribute("evacuations", ArrayOf(EvacuationInfo))
	Required("evacuations")
})

// CollectionOfReplicas is a list of replica decisions.
var CollectionOfReplicas = Type("ReplicaList", func() { Attribute("replicas", ArrayOf(ReplicaInfo)); Required("replicas") })

// CollectionOfAudit is a part of the audit trail.
var CollectionOfAudit = Type("AuditList", func() { Attribute("records", ArrayOf(AuditEntry)); Required("records") })
