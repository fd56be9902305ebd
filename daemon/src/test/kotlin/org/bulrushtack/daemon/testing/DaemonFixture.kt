package org.bulrushtack.daemon.testing

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.module.kotlin.jacksonObjectMapper
import org.bulrushtack.daemon.settings.ProcessSettings
import org.bulrushtack.http.ClientRequest
import org.bulrushtack.http.EventLoops
import org.bulrushtack.http.HostAndPort
import org.bulrushtack.http.HttpClient
import org.bulrushtack.http.HttpHeaderList
import org.bulrushtack.http.HttpMessageResponse
import org.bulrushtack.platform.standin.StoreOptions
import org.bulrushtack.standin.ListenOptions
import org.bulrushtack.standin.engine.EngineOptions
import org.bulrushtack.standin.engine.EngineStandIn
import org.bulrushtack.standin.platform.PlatformStandIn
import org.bulrushtack.standin.service.ServiceOptions
import org.bulrushtack.standin.service.ServiceStandIn
import java.net.Socket
import java.security.MessageDigest
import java.util.concurrent.CompletableFuture
import java.util.concurrent.locks.LockSupport

/** Starts a platform, an engine and a booking service as stand-ins, and daemons that reach them over real sockets. */
internal class DaemonFixture(
    daemonCount: Int = 2,
    engineOptions: EngineOptions = EngineOptions(coldMillis = 0, prefillTokensPerSecond = 1_000_000),
    private val drainMillis: Long = 60_000,
    startDaemon: (ProcessSettings) -> RunningDaemon = ::InProcessDaemon,
) : AutoCloseable {
    private val group = EventLoops.create(2)
    private val client = HttpClient(group)
    private val mapper: ObjectMapper = jacksonObjectMapper()
    private val platform = PlatformStandIn(StoreOptions()).start(ListenOptions())
    val engine = EngineStandIn(engineOptions).start(ListenOptions())
    val service = ServiceStandIn(ServiceOptions(coldMillis = 0)).start(ListenOptions())
    val daemons = (1..daemonCount).map { startDaemon(settings("vm-$it")) }

    init {
        daemons.forEachIndexed { index, daemon ->
            register("vm-${index + 1}", "entry", daemon.httpPort, daemon.peerPort)
        }
        register("engine-1", "engine", engine.port, serves = "atlas")
        register("booking-1", "service", service.port, serves = "booking")
        await("a configuration") { daemons.all { status(it.httpPort)?.get("configured")?.asBoolean() == true } }
        edit("/workspaces/dock", "key-hashes", hash(WORKSPACE_KEY))
        edit("/services/booking", "repeatable-operations", "lookup")
        await("owners") { daemons.all { daemon -> servers(daemon.httpPort).all { hasOwnerWithFullShare(it) } } }
    }

    val ports: List<Int> get() = daemons.map { it.httpPort }

    /** The index in [daemons] of the daemon that owns [server]. */
    fun ownerIndex(server: String, port: Int = ports.first()): Int =
        servers(port).first { it["name"].asText() == server }["owner"].asText().removePrefix("vm-").toInt() - 1

    /** The statistics of the engine stand-in. */
    fun engineStats(): JsonNode = json(send(engine.controlPort, "GET", "/control/stats", ""))

    fun injectPlatformFaults(json: String) = send(platform.controlPort, "POST", "/control/faults", json)

    /** Edits one value; without [expectedVersion], the daemon takes the version that it knows when the edit arrives. */
    fun edit(
        path: String,
        key: String,
        value: String,
        port: Int = ports.first(),
        expectedVersion: Long? = null,
    ): HttpMessageResponse {
        val version = expectedVersion?.let { ""","expectedVersion":$it""" }.orEmpty()
        return operator(
            "POST",
            "/v1/operator/tree",
            """{"changes":[{"path":"$path","key":"$key","value":"$value"$version}]}""",
            port,
        )
    }

    fun operator(method: String, path: String, body: String = "", port: Int = ports.first()): HttpMessageResponse =
        send(port, method, path, body, OPERATOR_KEY)

    fun complete(body: String, port: Int = ports.first(), key: String = WORKSPACE_KEY): HttpMessageResponse =
        send(port, "POST", "/v1/completions", body, key)

    fun book(
        idempotencyKey: String?,
        port: Int,
        operation: String = "reserve",
    ): CompletableFuture<HttpMessageResponse> {
        val headers = authorization(WORKSPACE_KEY)
        return sendAsync(
            port = port,
            path = "/v1/services/booking/$operation",
            body = """{"party":4}""",
            headers = if (idempotencyKey == null) headers else headers.with("Idempotency-Key", idempotencyKey),
        )
    }

    fun newIdempotencyKey(): String =
        json(send(ports.first(), "GET", "/v1/entry", ""))["idempotencyKey"].asText()

    fun serviceRuns(): List<String> =
        json(send(service.controlPort, "GET", "/control/runs", ""))["runs"].map { it["key"].asText() }

    fun send(port: Int, method: String, path: String, body: String, key: String = ""): HttpMessageResponse =
        sendAsync(port, path, body, authorization(key), method).join()

    /** Sends [text] unchanged and reads until the daemon closes the connection. */
    fun sendRaw(text: String, port: Int = ports.first()): String = Socket("127.0.0.1", port).use { socket ->
        socket.soTimeout = RAW_TIMEOUT_MILLIS
        socket.getOutputStream().write(text.toByteArray())
        socket.getInputStream().readBytes().decodeToString()
    }

    fun json(response: HttpMessageResponse): JsonNode = mapper.readTree(response.body)

    override fun close() {
        daemons.forEach { it.stop() }
        listOf(platform, engine, service).forEach { it.stop() }
        group.shutdownGracefully()
    }

    private fun sendAsync(
        port: Int,
        path: String,
        body: String,
        headers: HttpHeaderList,
        method: String = "POST",
    ): CompletableFuture<HttpMessageResponse> =
        client.exchange(ClientRequest(method, "127.0.0.1:$port", path, headers, body.toByteArray()))
            .thenApply { result -> result.fold({ error("no response: ${it.reason}") }, { it }) }

    private fun authorization(key: String): HttpHeaderList = HttpHeaderList().with("Authorization", "Bearer $key")

    private fun status(port: Int): JsonNode? {
        val response = operator("GET", "/v1/operator/status", port = port)
        return if (response.status == 200) json(response) else null
    }

    private fun servers(port: Int): List<JsonNode> =
        status(port)?.get("servers")?.toList().orEmpty().ifEmpty { listOf(mapper.nullNode()) }

    private fun hasOwnerWithFullShare(server: JsonNode): Boolean {
        val owner = server["owner"]?.takeUnless { it.isNull } ?: return false
        return !server["ownedHere"].asBoolean() || (owner.isTextual && server["share"].asDouble() == 1.0)
    }

    private fun register(name: String, kind: String, port: Int, peerPort: Int = 0, serves: String = "") {
        val row = """{"name":"$name","kind":"$kind","dataCentre":"a","state":"live","http":"127.0.0.1:$port",
            "peer":"${if (peerPort == 0) "" else "127.0.0.1:$peerPort"}","serves":["$serves"]}"""
        send(platform.controlPort, "POST", "/control/vms", row)
    }

    private fun settings(name: String): ProcessSettings = ProcessSettings(
        name = name,
        dataCentre = "a",
        httpListen = HostAndPort("127.0.0.1", 0),
        peerListen = HostAndPort("127.0.0.1", 0),
        platformAddress = "127.0.0.1:${platform.port}",
        bootstrapKeyHash = hash(OPERATOR_KEY),
        logLevel = "warn",
        bodyBytes = 100_000,
        headerBytes = 4_096,
        requestMillis = 500,
        drainMillis = drainMillis,
        networkThreads = 2,
    )

    companion object {
        const val OPERATOR_KEY = "operator-key"
        const val WORKSPACE_KEY = "workspace-key"

        fun hash(key: String): String =
            MessageDigest.getInstance("SHA-256").digest(key.toByteArray()).joinToString("") { "%02x".format(it) }

        /** Polls until [condition] holds; fails after a timeout far beyond the duration of any healthy run. */
        fun await(what: String, condition: () -> Boolean) {
            repeat(AWAIT_POLL_LIMIT) {
                if (condition()) return
                LockSupport.parkNanos(AWAIT_INTERVAL_NANOS)
            }
            error("timed out waiting for $what")
        }
    }
}

private const val RAW_TIMEOUT_MILLIS = 20_000
private const val AWAIT_POLL_LIMIT = 1_200
private const val AWAIT_INTERVAL_NANOS = 50_000_000L
