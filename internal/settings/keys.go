package settings

import "time"

// maxMembers is the maximum number of control hosts.
const maxMembers = 7

const (
	mebibyte = 1 << 20
	gibibyte = 1 << 30
)

// The keys of all roles but the operator role.
var (
	nameKey            = name("name", "identity of the process, unique in its role").asRequired("ROLE1")
	regionKey          = text("region", "region of the host").withDefault("")
	zoneKey            = name("availability_zone", "availability zone of the host").asRequired("az1")
	stopGraceKey       = duration("stop.grace", 0, 10*time.Minute, "time for requests in flight after SIGTERM").withDefault("30s")
	operatorsListenKey = listenAddress("operators.listen", "HTTP address for metrics and health, and on control hosts for operators").asRequired("127.0.0.1:9700")
	logLevelKey        = choice("log.level", "least level that is logged", "trace", "debug", "info", "warn", "error").withDefault("info")
	traceFileKey       = path("trace.file", "file that receives spans as JSON lines; empty for none").withDefault("")
	traceOTLPKey       = anyURL("trace.otlp", "URL of an OTLP/HTTP collector; empty for none").withDefault("")

	commonKeys = []definition{
		nameKey.definition, regionKey.definition, zoneKey.definition, operatorsListenKey.definition,
		logLevelKey.definition, traceFileKey.definition, traceOTLPKey.definition, stopGraceKey.definition,
	}
)

// The key files of the roles that communicate over QUIC.
var (
	certificateKey = path("keys.certificate", "PEM file of the certificate, whose identity is the role and the name").asRequired("/etc/rosemarywind/ROLE-ROLE1.pem")
	privateKey     = path("keys.key", "PEM file of the private key").asRequired("/etc/rosemarywind/ROLE-ROLE1.key")
	authorityKey   = path("keys.authority", "PEM file of the certificate authority").asRequired("/etc/rosemarywind/authority.pem")

	keyFileKeys = []definition{certificateKey.definition, privateKey.definition, authorityKey.definition}
)

// The keys that more than one role has.
var (
	controlAddressesKey  = addresses("control.addresses", "QUIC addresses of the control hosts").asRequired([]any{"127.0.0.1:9601"})
	bodyBytesKey         = integer("limits.body_bytes", "bytes", 1, gibibyte, "largest request or answer body").withDefault(int64(4 * mebibyte))
	clientConnectionsKey = integer("limits.connections", "connections", 16, 1<<20, "clients' connections that are open at once, 7/8 of them of one address; idle ones give way to new ones").withDefault(int64(4096))
	bodyRateKey          = integer("limits.body_rate", "bytes/s", 1, gibibyte, "least rate at which a client's body has to arrive, counted over 5 s").withDefault(int64(1024))
	bufferedBytesKey     = integer("limits.buffered_bytes", "bytes", 1, 16*gibibyte, "total of buffered request bodies of one address, at least the largest body; all addresses get a seventh more, small bodies and headers half as much again").withDefault(int64(64 * mebibyte))
	memoryBytesKey       = integer("limits.memory_bytes", "bytes", 0, 1<<50, "memory that the process may use; 0 for that of its host or control group").withDefault(int64(0))
	quicListenKey        = listenAddress("listen", "QUIC address").asRequired("127.0.0.1:9600")
	httpListenKey        = listenAddress("listen", "HTTP address").asRequired("127.0.0.1:8080")
	coresKey             = integer("cores", "cores", 0, 4096, "processor cores of the worker").withDefault(int64(0))
	acceleratorsKey      = integer("accelerators", "accelerators", 0, 1024, "accelerators of the worker").withDefault(int64(0))
)

// The keys of the entry role.
var (
	headerBytesKey        = integer("limits.header_bytes", "bytes", 1024, mebibyte, "largest header of a caller's request").withDefault(int64(64 << 10))
	headerTimeoutKey      = duration("limits.header_timeout", 100*time.Millisecond, time.Minute, "time for a caller to send its header").withDefault("5s")
	bodyTimeoutKey        = duration("limits.body_timeout", 100*time.Millisecond, 10*time.Minute, "time for a caller to send its body").withDefault("30s")
	queueWaitKey          = duration("limits.queue_wait", 0, time.Minute, "longest wait for a slot before a refusal").withDefault("2s")
	deadlineDefaultKey    = duration("deadline.default", time.Millisecond, 24*time.Hour, "deadline of a request that states none; at most deadline.max").withDefault("30s")
	deadlineMaxKey        = duration("deadline.max", time.Millisecond, 24*time.Hour, "longest deadline that a caller may state").withDefault("10m")
	retryShareKey         = integer("retry.share_percent", "percent", 0, 100, "retries allowed in percent of first attempts; retries after a full endpoint have a share of their own, 50 percent").withDefault(int64(10))
	retryAttemptsKey      = integer("retry.attempts", "attempts", 1, 10, "attempts of a request, the first included").withDefault(int64(3))
	retryPauseKey         = duration("retry.base_pause", time.Millisecond, 10*time.Second, "pause before the first retry, doubled for each further one").withDefault("25ms")
	quarantineFailuresKey = integer("aside.failures", "failures", 0, 1000, "failures in a row after which an endpoint gets no requests for a pause; 0 for never").withDefault(int64(5))
	quarantinePauseKey    = duration("aside.pause", time.Millisecond, 10*time.Minute, "first pause of such an endpoint, doubled with each further failure up to 8 times the first").withDefault("1s")

	entryKeys = []definition{
		httpListenKey.definition, controlAddressesKey.definition, bodyBytesKey.definition, headerBytesKey.definition,
		headerTimeoutKey.definition, bodyTimeoutKey.definition, bodyRateKey.definition, queueWaitKey.definition, bufferedBytesKey.definition, clientConnectionsKey.definition, memoryBytesKey.definition,
		deadlineDefaultKey.definition, deadlineMaxKey.definition, retryShareKey.definition, retryAttemptsKey.definition,
		retryPauseKey.definition, quarantineFailuresKey.definition, quarantinePauseKey.definition,
	}
)

// The keys of the agent role.
var (
	rackKey          = name("rack", "rack of the worker").asRequired("rack1")
	memoryKey        = integer("memory_mb", "MB", 0, 1<<30, "memory of the worker").withDefault(int64(0))
	slotsKey         = integer("slots", "requests", 1, 65536, "requests that the endpoint runs at once").withDefault(int64(8))
	connectionsKey   = integer("connections", "connections", 1, 65536, "connections that the endpoint accepts").withDefault(int64(64))
	advertiseKey     = address("advertise", "address that others reach the agent at; the listen address when empty")
	endpointURLKey   = hostURL("endpoint.url", "HTTP address of the endpoint").asRequired("http://127.0.0.1:8081")
	workerURLKey     = hostURL("worker.url", "HTTP address of the worker").asRequired("http://127.0.0.1:8081")
	probeIntervalKey = duration("probe.interval", 10*time.Millisecond, time.Minute, "time between probes of the endpoint").withDefault("500ms")
	probeTimeoutKey  = duration("probe.timeout", 10*time.Millisecond, time.Minute, "time after which a probe has failed").withDefault("1s")

	agentKeys = []definition{
		rackKey.definition, coresKey.definition, memoryKey.definition, acceleratorsKey.definition, slotsKey.definition,
		connectionsKey.definition, quicListenKey.definition, advertiseKey.definition, endpointURLKey.definition,
		workerURLKey.definition, probeIntervalKey.definition, probeTimeoutKey.definition,
		controlAddressesKey.definition, bodyBytesKey.definition, memoryBytesKey.definition,
	}
)

// The keys of the control role.
var (
	controlListenKey       = listenAddress("listen", "QUIC address").asRequired("127.0.0.1:9601")
	dataKey                = path("data", "folder of the ledger's files").asRequired("/var/lib/rosemarywind")
	membersKey             = members("members", "identity and QUIC address of each control host").asRequired(map[string]any{"control1": "127.0.0.1:9601"})
	announceLeaseKey       = duration("announce_lease", time.Second, time.Minute, "time after which a silent agent counts as gone").withDefault("3s")
	taskLeaseKey           = duration("task_lease", 5*time.Second, time.Hour, "time for which a task runs without a renewal").withDefault("2m")
	tokenDigestsKey        = digests("operator_token_digests", "digests of the operators' tokens; without one operators are refused").withDefault([]any{})
	completionWeightKey    = number("planner.completion_weight", 0, 100, "weight of completion time in a placement").withDefault(1.0)
	fragmentationWeightKey = number("planner.fragmentation_weight", 0, 100, "weight of fragmentation; over the weight of completion it is the minutes that a small patient job waits before it breaks a whole idle worker, 0 for none").withDefault(0.0)

	controlKeys = []definition{
		dataKey.definition, controlListenKey.definition, announceLeaseKey.definition, taskLeaseKey.definition,
		operatorBufferedKey.definition, operatorConnectionsKey.definition, bodyRateKey.definition, memoryBytesKey.definition,
		tokenDigestsKey.definition, membersKey.definition, completionWeightKey.definition, fragmentationWeightKey.definition,
	}
)

// The limits on the clients of a control host.
var (
	operatorConnectionsKey = integer("limits.connections", "connections", 16, 1<<20, clientConnectionsKey.doc).withDefault(int64(512))
	operatorBufferedKey    = integer("limits.buffered_bytes", "bytes", 4*mebibyte, 16*gibibyte, bufferedBytesKey.doc).withDefault(int64(32 * mebibyte))
)

// The keys of the operator role.
var (
	controlURLsKey = hostURLs("control.urls", "HTTP addresses of the control hosts").asRequired([]any{"http://127.0.0.1:9700"})
	tokenFileKey   = path("token_file", "file that holds the bearer token; empty for no token").withDefault("")
	timeoutKey     = duration("timeout", 100*time.Millisecond, 10*time.Minute, "time for one request over all control hosts").withDefault("10s")

	operatorKeys = []definition{tokenFileKey.definition, timeoutKey.definition, controlURLsKey.definition, traceFileKey.definition, traceOTLPKey.definition}
)

// The keys of the standin role.
var (
	reportLagKey = duration("report_lag", 0, time.Hour, "delay of the usage that the worker reports").withDefault("2s")
	latencyKey   = duration("latency", 0, time.Hour, "time that the endpoint takes for a request").withDefault("0s")

	standinKeys = []definition{
		httpListenKey.definition, coresKey.definition, acceleratorsKey.definition, reportLagKey.definition, latencyKey.definition,
	}
)
