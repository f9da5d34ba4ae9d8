@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package micatally.compatibility

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withContext
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.protobuf.ProtoBuf
import kotlinx.serialization.serializer
import micatally.archive.ArchiveMode
import micatally.cli.EventLoop
import micatally.config.ConfigurationClient
import micatally.config.ConfigurationPaths
import micatally.fleet.CloudClient
import micatally.fleet.Offer
import micatally.fleet.ProvisioningRequest
import micatally.fleet.ProvisioningResult
import micatally.http.HttpCaller
import micatally.http.HttpRequest
import micatally.http.HttpResponse
import micatally.http.Outcome
import micatally.http.Server
import micatally.http.errorResponse
import micatally.peer.PeerPaths
import micatally.settings.OperatorSettings
import micatally.settings.Settings
import micatally.settings.SettingsError
import micatally.settings.TeamJson
import micatally.sim.SimFleet
import micatally.state.Compare
import micatally.state.Delete
import micatally.state.Put
import micatally.state.RateBudget
import micatally.state.ReadResult
import micatally.state.RenewalResult
import micatally.state.StateLimits
import micatally.state.StateStoreClient
import micatally.state.Transaction
import micatally.state.TransactionResult
import micatally.state.Urgency
import micatally.wire.AppliedVersion
import micatally.wire.CancelledTask
import micatally.wire.CancelledTaskList
import micatally.wire.CapacitySummary
import micatally.wire.ChangeAnswer
import micatally.wire.ChangeStatus
import micatally.wire.Command
import micatally.wire.CommandType
import micatally.wire.ConfigurationChange
import micatally.wire.ConfigurationStatus
import micatally.wire.ConfigurationView
import micatally.wire.ExitReason
import micatally.wire.Format
import micatally.wire.Heartbeat
import micatally.wire.HeartbeatAcknowledgements
import micatally.wire.HeldCapacity
import micatally.wire.HistoryAnswer
import micatally.wire.HistoryEntry
import micatally.wire.JobAnswer
import micatally.wire.JobSpec
import micatally.wire.LineError
import micatally.wire.ListedMachine
import micatally.wire.ListedTask
import micatally.wire.MachineStatus
import micatally.wire.MachineType
import micatally.wire.MalformedMessage
import micatally.wire.PeerDelta
import micatally.wire.PeerDeltaResponse
import micatally.wire.PeerJobRequest
import micatally.wire.PeerJobResponse
import micatally.wire.Priority
import micatally.wire.ResourceRequest
import micatally.wire.Resources
import micatally.wire.RollbackRequest
import micatally.wire.StatusRequest
import micatally.wire.TaskStatus
import micatally.wire.TeamSetting
import micatally.wire.ZoneOption
import micatally.wire.bytes
import micatally.wire.commandRequest
import micatally.wire.heartbeatResponse
import micatally.wire.parseObject
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.Socket
import java.util.HexFormat
import java.util.Properties

/** The HTTP statuses of the response to a lease renewal, each with the result that the client returns for it. */
private val RENEWAL_RESULTS_BY_STATUS =
    listOf(200 to RenewalResult.RENEWED, 404 to RenewalResult.EXPIRED, 503 to RenewalResult.UNKNOWN)

/**
 * Guards against changes of the messages of every interface, which are kept as files under `messages/`.
 *
 * Each file holds one message on one line: JSON as it is, protobuf messages in hexadecimal. A message that this program
 * reads is parsed from its file, and its fields are compared with the values in the test. A message that it writes is
 * compared with its file byte for byte. The files describe what other programs and controllers of earlier versions send
 * and expect. They change only with the protocol, never because a class or a property in the code is renamed.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class MessagesTest {
    private fun text(name: String) = javaClass.getResource("/messages/$name")!!.readText().removeSuffix("\n")

    private fun json(name: String): JsonObject = parseObject(text(name).encodeToByteArray())

    private fun hex(name: String): ByteArray = HexFormat.of().parseHex(text(name))

    private fun answer(
        status: Int,
        name: String? = null,
    ) = Outcome.Answer(status, name?.let { text(it).encodeToByteArray() } ?: ByteArray(0))

    /** Records the requests that it gets. Returns [answers] in order, and the last one for all further requests. */
    private class Recorder(
        private vararg val answers: Outcome,
    ) : HttpCaller {
        val requests = ArrayList<String>()
        val bodies = ArrayList<ByteArray?>()

        override suspend fun call(
            addr: String,
            method: String,
            target: String,
            body: ByteArray?,
            timeoutMs: Long,
        ): Outcome {
            requests.add("$method $target")
            bodies.add(body)
            return answers[minOf(requests.size, answers.size) - 1]
        }

        val body get() = bodies.single()?.decodeToString()
    }

    // Users

    @Test
    fun `a submission is read`() {
        val spec = JobSpec.parse(json("users/submit.json"))
        assertEquals("j-000412", spec.jobId)
        assertEquals("train", spec.jobClass)
        assertEquals("vision", spec.team)
        assertEquals(Format.ARRAY, spec.format)
        assertEquals(Priority.HIGH, spec.priority)
        assertEquals(16, spec.taskCount)
        assertEquals(listOf(2.5, 1.0, 6.5), listOf(spec.resources.cores, spec.resources.gpus, spec.resources.memoryGb))
        assertEquals("img-07", spec.image)
        assertEquals(6.2, spec.imageGb)
        assertEquals(setOf("g8", "small"), spec.types)
        assertEquals("a", spec.zone)
        assertEquals(listOf(true, false, true), listOf(spec.together, spec.scatter, spec.isSpot))
        assertEquals(listOf(240.0, 30.0, 4.0), listOf(spec.estimateS, spec.checkpointS, spec.saveS))
        assertEquals(900.0, spec.deadlineS)
        assertEquals(text("users/submit.json"), spec.source.toString())
    }

    @Test
    fun `a submission without a required field is refused and the error names the field`() {
        val complete = json("users/submit.json")
        val optional = setOf("chassis", "circuit", "flag_s")
        for (field in complete.keys - optional) {
            val error = assertThrows(MalformedMessage::class.java) { JobSpec.parse(JsonObject(complete - field)) }
            assertEquals("$field is missing", error.message)
        }
        val minimal = JobSpec.parse(JsonObject(complete - optional))
        assertEquals(listOf(null, null, null), listOf(minimal.types, minimal.zone, minimal.deadlineS))
    }

    @Test
    fun `the words for formats, priorities and job statuses`() {
        assertEquals(listOf("sweep", "daemon", "gang"), Format.entries.map { it.word })
        assertEquals(listOf("production", "high", "standard", "low"), Priority.entries.map { it.word })
        assertEquals(
            listOf("pending", "running", "done", "withdrawn"),
            listOf(JobAnswer.PENDING, JobAnswer.RUNNING, JobAnswer.DONE, JobAnswer.CANCELLED),
        )
        for ((i, word) in listOf("sweep", "daemon", "gang").withIndex()) {
            val job = text("users/submit.json").replace("sweep", word)
            assertEquals(Format.entries[i], JobSpec.parse(parseObject(job.encodeToByteArray())).format)
        }
    }

    @Test
    fun `job answers to users`() {
        val running = JobAnswer("j-000412", JobAnswer.RUNNING, 3, 13)
        assertEquals(text("users/known.json"), running.json().toString())
        val cancelled = JobAnswer("j-000412", JobAnswer.CANCELLED, 0, 0)
        assertEquals(text("users/withdrawn.json"), cancelled.brief().toString())
    }

    /**
     * Sends a request to node 0 and runs the fleet until the node has answered. With [isPeer] the request goes to the
     * node's port for peers and operators.
     */
    private fun SimFleet.request(
        method: String,
        target: String,
        body: ByteArray = ByteArray(0),
        isPeer: Boolean = false,
    ): HttpResponse {
        var response: HttpResponse? = null
        val request = HttpRequest(method, target, body)
        scope.launch { response = live[0]!!.run { if (isPeer) handlePeer(request) else handle(request) } }
        while (response == null) step(20)
        return response
    }

    /** Sends the request [methodAndPath], such as `GET /work`, to node 0. Asserts that file [name] is the response. */
    private fun SimFleet.expect(
        methodAndPath: String,
        status: Int,
        name: String,
        body: String = "",
        retryAfterS: Int? = null,
    ) {
        val (method, target) = methodAndPath.split(' ')
        val response = request(method, target, body.encodeToByteArray())
        assertEquals(status, response.status, methodAndPath)
        assertEquals(text(name), response.body.decodeToString(), methodAndPath)
        assertEquals(retryAfterS, response.retryAfterS, methodAndPath)
        assertEquals("application/json", response.type, methodAndPath)
    }

    /** Starts a fleet of [nodes] controllers, runs it for [warmUpMs] of simulated time and then runs [test]. */
    private fun onFleet(
        nodes: Int,
        warmUpMs: Long = 30_000,
        test: SimFleet.() -> Unit,
    ) {
        val fleet = SimFleet(7, nodes)
        try {
            for (i in 0 until nodes) fleet.startNode(i)
            if (warmUpMs > 0) fleet.runFor(warmUpMs)
            fleet.test()
        } finally {
            fleet.close()
        }
    }

    /** The submission in `users/submit.json`, with parts of its text replaced. */
    private fun submission(vararg replacements: Pair<String, String>) =
        replacements.fold(text("users/submit.json")) { all, (from, to) ->
            assertTrue(from in all, from)
            all.replace(from, to)
        }

    @Test
    fun `responses to user requests by method and path`() =
        onFleet(1) {
            val job = submission()
            rules.submitted(JobSpec.parse(parseObject(job.encodeToByteArray())))
            expect("GET /healthz", 200, "users/healthy.json")
            expect("GET /work/j-000412", 404, "users/error-no-job.json")
            expect("POST /work", 201, "users/accepted.json", job)
            expect("POST /work", 200, "users/query-pending.json", job)
            expect("GET /work/j-000412", 200, "users/query-pending.json")
            expect("POST /work/j-000412/cancel", 200, "users/withdrawn.json")
            expect("GET /work/j-000412", 200, "users/query-withdrawn.json")
            expect("POST /work/j-000413/cancel", 404, "users/error-no-job.json")
            expect("GET /work/j-000412/cancel", 405, "users/error-use-post.json")
            expect("GET /work", 405, "users/error-use-post.json")
            expect("GET /v1/report", 405, "users/error-use-post.json")
            expect("POST /work/j-000412", 405, "users/error-use-get.json")
            expect("GET /other", 404, "users/error-no-resource.json")
        }

    @Test
    fun `responses to submissions that are refused`() =
        onFleet(1) {
            expect("POST /work", 400, "users/error-not-json.json", "{")
            expect("POST /work", 400, "users/error-not-object.json", "[]")
            expect("POST /work", 400, "users/error-bad-ref.json", submission("j-000412" to "x-1"))
            expect("POST /work", 400, "users/error-field-missing.json", submission("\"lane\":\"train\"," to ""))
            expect("POST /work", 422, "users/error-unknown-team.json", submission("vision" to "nobody"))
            val huge = submission("\"cores\":2.5" to "\"cores\":1000.0")
            expect("POST /work", 422, "users/error-no-machine-type.json", huge)
            val overLimit = submission("\"cores\":2.5" to "\"cores\":5.0", "sweep" to "daemon")
            expect("POST /work", 422, "users/error-team-limit.json", overLimit)
        }

    @Test
    fun `a controller without state store contact answers 503 with a retry delay`() =
        onFleet(1, warmUpMs = 0) {
            stateFaults.refusedHosts.add("n0")
            expect("GET /healthz", 503, "users/error-starting.json", retryAfterS = 1)
            expect("GET /work/j-000412", 503, "users/error-lookup.json", retryAfterS = 1)
        }

    /** Reads the response from a real socket. */
    @Test
    fun `status line and headers of a response`() {
        val response =
            EventLoop("test").use { loop ->
                val server =
                    Server(loop.scope, loop.group, "127.0.0.1:0", 10, 1000) { errorResponse(503, "starting", 1) }
                runBlocking { withContext(loop.scope.coroutineContext) { server.start() } }
                Socket("127.0.0.1", server.port).use { socket ->
                    socket.getOutputStream().write("GET / HTTP/1.1\r\nConnection: close\r\n\r\n".toByteArray())
                    socket.getInputStream().readBytes().decodeToString()
                }
            }
        val lines = response.split("\r\n")
        assertEquals("HTTP/1.1 503 Service Unavailable", lines.first())
        val headers =
            listOf("Content-Type: application/json", "Content-Length: 20", "Retry-After: 1", "Connection: close")
        assertEquals(headers, lines.subList(1, 5))
        assertEquals(text("users/error-starting.json"), lines.last())
    }

    // Workers

    @Test
    fun `a heartbeat is read`() {
        val heartbeat = Heartbeat.parse(json("workers/report.json"))
        assertEquals("m-000231", heartbeat.machine)
        assertEquals("10.1.0.232:9000", heartbeat.addr)
        assertEquals("g8", heartbeat.type)
        assertEquals("a", heartbeat.zone)
        assertTrue(heartbeat.isSpot)
        assertEquals(listOf(3L, 88L, 41L), listOf(heartbeat.incarnation, heartbeat.sequence, heartbeat.token))
        assertEquals(25.5, heartbeat.spotNoticeS)
        val expected =
            listOf(
                ListedTask("j-000412", 3, 2, "running", null, false),
                ListedTask("j-000398", 0, 1, "ended", "done", false),
                ListedTask("j-000399", 7, 5, "ended", "stopped", true),
            )
        assertEquals(expected, heartbeat.tasks)
        assertEquals(
            listOf("j-000399", 7, 5L, "ended", "stopped", true),
            heartbeat.tasks.last().run { listOf(jobId, taskIndex, attempt, status, exitReasonText, isSaved) },
        )
    }

    @Test
    fun `the words for task statuses, exit reasons and commands`() {
        assertEquals(setOf("pulling", "waiting", "running", "saving", "ended"), ListedTask.STATUSES)
        assertEquals(
            listOf("pulling", "waiting", "running", "saving", "ended"),
            listOf(
                ListedTask.PULLING,
                ListedTask.WAITING,
                ListedTask.RUNNING,
                ListedTask.SAVING,
                ListedTask.ENDED,
            ),
        )
        val words = listOf("done", "stopped", "error", "full", "in_use", "unknown", "peers", "alone")
        assertEquals(words, ExitReason.entries.map { it.word })
        assertEquals(words, words.map { ExitReason.of(it)!!.word })
        assertEquals(ExitReason.IN_USE, ExitReason.of("in_use"))
        assertEquals(listOf("run", "kill", "clear"), CommandType.entries.map { it.word })
    }

    private val commands =
        listOf(
            Command(CommandType.RUN, "j-000412", 4, 2),
            Command(CommandType.KILL, "j-000377", 1, 1, 10.0),
            Command(CommandType.CLEAR, "j-000398", 0, 1),
        )

    @Test
    fun `commands in a heartbeat response and in a command request`() {
        assertEquals(text("workers/answer.json"), heartbeatResponse(41, commands).bytes().decodeToString())
        assertEquals(text("orders/orders.json"), commandRequest(41, 3, commands).bytes().decodeToString())
    }

    @Test
    fun `responses to heartbeats`() =
        onFleet(3) {
            val fencingToken = live[0]!!.membership.sharedKeys.fencingToken
            val answer = request("POST", "/v1/report", text("workers/report-empty.json").encodeToByteArray())
            assertEquals(200, answer.status)
            assertEquals("{\"baton\":$fencingToken,\"radio\":[]}", answer.body.decodeToString())
            expect("POST /v1/report", 400, "workers/error-field-missing.json", "{}")
            val badTask = text("workers/report.json").replace("j-000412/3", "j-000412")
            expect("POST /v1/report", 400, "workers/error-task-name.json", badTask)
        }

    @Test
    fun `a worker is redirected to another controller`() =
        onFleet(3) {
            expect("POST /v1/report", 421, "workers/redirect.json", text("workers/report-other-zone.json"))
            expect("POST /v1/report", 421, "workers/redirect.json", text("workers/report-higher-token.json"))
        }

    @Test
    fun `a worker is refused without a controller's name if there is no other controller`() =
        onFleet(1) {
            expect("POST /v1/report", 421, "workers/refusal.json", text("workers/report-higher-token.json"))
        }

    /**
     * Adds the requests that reach hosts whose names start with [prefix] to [seen]: the address, the method with the
     * target, and the body. [observed] holds the names of the hosts that are observed already, so that a repeated call
     * adds only new hosts.
     */
    private fun SimFleet.observe(
        prefix: String,
        seen: MutableList<Triple<String, String, String>>,
        observed: MutableSet<String>,
    ) {
        for (host in net.hosts.values.filter { it.name.startsWith(prefix) && observed.add(it.name) }) {
            val inner = host.handler ?: continue
            host.handler = { addr, r ->
                seen.add(Triple(addr, "${r.method} ${r.target}", r.body.decodeToString()))
                inner(addr, r)
            }
        }
    }

    @Test
    fun `requests to workers, the state store and the cloud`() =
        onFleet(1, warmUpMs = 0) {
            val seen = ArrayList<Triple<String, String, String>>()
            val observed = HashSet<String>()
            observe("state", seen, observed)
            observe("cloud", seen, observed)
            runFor(10_000)
            val job = submission("\"laps\":16" to "\"laps\":2")
            workers.fixedRunMs["j-000412"] = 600_000
            rules.submitted(JobSpec.parse(parseObject(job.encodeToByteArray())))
            assertEquals(201, request("POST", "/work", job.encodeToByteArray()).status)
            repeat(300) {
                observe("m-", seen, observed)
                step(100)
            }
            net.outboundBlocked.addAll(cloud.workers.map { it.name })
            runFor(60_000)
            val toMachines = seen.filter { it.first.startsWith("m-") }.map { it.second }.toSet()
            assertEquals(setOf("POST /orders", "GET /show"), toMachines)
            val orders = seen.first { it.second == "POST /orders" }
            val commandPattern =
                Regex(
                    "\\{\"baton\":[0-9]+,\"stint\":1,\"radio\":" +
                        "\\[\\{\"call\":\"run\",\"lap\":\"j-000412/[01]\",\"start\":1}.*]}",
                )
            assertTrue(commandPattern.matches(orders.third), orders.third)
            assertEquals("", seen.first { it.second == "GET /show" }.third)
            val services = seen.filter { it.first == "state:1" || it.first == "cloud:1" }
            val paths = services.map { it.second.substringBefore('?').replace(Regex("[0-9]+"), "N") }.toSet()
            val expected =
                setOf("POST /txn", "POST /grants", "POST /grants/N/renew", "GET /watch", "GET /keys") +
                    setOf("GET /flavors", "GET /machines", "POST /machines")
            assertEquals(emptySet<String>(), expected - paths)
        }

    // Cloud

    private fun TestScope.cloudClient(recorder: Recorder) =
        CloudClient(recorder, "cloud:1", RateBudget(backgroundScope, 100.0, { testScheduler.currentTime }), 1000)

    @Test
    fun `machine types are requested and read`() =
        runTest {
            val recorder = Recorder(answer(200, "cloud/flavors.json"))
            val type = MachineType.parseAll(cloudClient(recorder).machineTypes()!!).single()
            assertEquals(listOf("GET /flavors"), recorder.requests)
            assertNull(recorder.body)
            assertEquals("g8", type.label)
            assertEquals(Resources(96.0, 8.0, 768.0), type.resources)
            assertEquals(listOf(200.0, 1.5), listOf(type.cacheGb, type.pullGbPerS))
            assertEquals(listOf(12.0, 4.5, 45.0), listOf(type.hourly, type.spotHourly, type.readyS))
            assertEquals(listOf("a", "b"), type.zones)
        }

    @Test
    fun `the machine list is requested in pages and read`() =
        runTest {
            val recorder = Recorder(answer(200, "cloud/machines.json"), answer(200, "cloud/machines-last.json"))
            val machines = cloudClient(recorder).list()!!
            assertEquals(
                listOf("GET /machines?page=500", "GET /machines?since=m-000232&page=500"),
                recorder.requests,
            )
            assertEquals(
                listOf(
                    listOf("m-000231", "10.1.0.232:9000", "g8", "a", true, "running", 61.5),
                    listOf("m-000232", "", "small", "b", false, "starting", 2.0),
                    listOf("m-000233", "10.1.0.234:9000", "g8", "c", false, "failed", 7.25),
                ),
                machines.map { listOf(it.name, it.addr, it.type, it.zone, it.isSpot, it.status, it.ageS) },
            )
            assertEquals(
                listOf("starting", "running", "failed"),
                listOf(ListedMachine.STARTING, ListedMachine.RUNNING, ListedMachine.FAILED),
            )
        }

    private suspend fun TestScope.provision(outcome: Outcome): ProvisioningResult {
        val recorder = Recorder(outcome)
        val result = cloudClient(recorder).provision(ProvisioningRequest("r-17", Offer("g8", "a", true), 12))
        assertEquals(listOf("POST /machines"), recorder.requests)
        assertEquals(text("cloud/rent.json"), recorder.body)
        return result
    }

    @Test
    fun `machines are provisioned`() =
        runTest {
            val provisioned = provision(answer(200, "cloud/rented.json")) as ProvisioningResult.Provisioned
            assertEquals(listOf("m-000231", "m-000232"), provisioned.names)
            assertEquals(ProvisioningResult.NoCapacity, provision(answer(503, "cloud/no-capacity.json")))
            assertEquals(ProvisioningResult.Refused, provision(answer(503, "cloud/trouble.json")))
            assertEquals(ProvisioningResult.Refused, provision(answer(400)))
            assertEquals(ProvisioningResult.Refused, provision(answer(429)))
        }

    @Test
    fun `machines are deleted`() =
        runTest {
            val recorder = Recorder(answer(200))
            val names = listOf("m-000231", "m-000232")
            assertEquals(names, cloudClient(recorder).delete { names })
            assertEquals(listOf("POST /machines/delete"), recorder.requests)
            assertEquals(text("cloud/delete.json"), recorder.body)
        }

    // State store

    private fun TestScope.stateStoreClient(recorder: Recorder): StateStoreClient {
        fun budget() = RateBudget(backgroundScope, 100.0, { testScheduler.currentTime })
        return StateStoreClient(recorder, "state:1", budget(), budget(), 1000)
    }

    @Test
    fun `a lease is granted, renewed and revoked`() =
        runTest {
            val grant = Recorder(answer(200, "state/granted.json"))
            assertEquals(7L, stateStoreClient(grant).grant(5000))
            assertEquals(listOf("POST /grants"), grant.requests)
            assertEquals(text("state/grant.json"), grant.body)
            for ((status, expected) in RENEWAL_RESULTS_BY_STATUS) {
                val renew = Recorder(answer(status))
                assertEquals(expected, stateStoreClient(renew).renew(7))
                assertEquals(listOf("POST /grants/7/renew"), renew.requests)
                assertEquals(text("state/renew.json"), renew.body)
            }
            val revoke = Recorder(answer(200))
            stateStoreClient(revoke).revoke(7)
            assertEquals(listOf("DELETE /grants/7"), revoke.requests)
            assertNull(revoke.body)
        }

    @Test
    fun `a key is read`() =
        runTest {
            val recorder = Recorder(answer(200, "state/item.json"), answer(404, "state/missing.json"), answer(503))
            val client = stateStoreClient(recorder)
            val item = (client.get("a/b", Urgency.LEASE) as ReadResult.Found).item
            assertEquals(listOf("a/b", "{\"x\":1}", 412L), listOf(item.key, item.value.toString(), item.modRevision))
            assertEquals(ReadResult.Missing, client.get("a/b", Urgency.LEASE))
            assertEquals(ReadResult.Unavailable, client.get("a/b", Urgency.LEASE))
            assertEquals(List(3) { "GET /keys/a/b" }, recorder.requests)
            assertEquals(List(3) { null }, recorder.bodies)
        }

    @Test
    fun `keys are listed in pages`() =
        runTest {
            val recorder = Recorder(answer(200, "state/list.json"), answer(200, "state/list-last.json"))
            val listing = stateStoreClient(recorder).list("c/", Urgency.LEASE, 200)!!
            assertEquals(
                listOf("GET /keys?under=c%2F&page=200", "GET /keys?under=c%2F&since=c%2F2+d&page=200"),
                recorder.requests,
            )
            assertEquals(431L, listing.revision)
            assertEquals(
                listOf(
                    listOf("c/1", "{\"x\":1}", 5L),
                    listOf("c/2 d", "{\"x\":2}", 6L),
                    listOf("c/3", "{\"x\":3}", 7L),
                ),
                listing.items.map { listOf(it.key, it.value.toString(), it.modRevision) },
            )
        }

    private suspend fun TestScope.transaction(outcome: Outcome): TransactionResult {
        val recorder = Recorder(outcome)
        val changes =
            listOf(
                Put("a/b", parseObject("{\"x\":1}".encodeToByteArray()), 7),
                Put("a/c", parseObject("{\"x\":2}".encodeToByteArray())),
                Delete("c/d"),
            )
        val transaction = Transaction(listOf(Compare("a/b", 0), Compare("c/d", 9)), changes)
        val result = stateStoreClient(recorder).transact(3, Urgency.LEASE) { transaction }
        assertEquals(listOf("POST /txn"), recorder.requests)
        assertEquals(text("state/transaction.json"), recorder.body)
        return result
    }

    @Test
    fun `a transaction and its results`() =
        runTest {
            assertEquals(432L, (transaction(answer(200, "state/applied.json")) as TransactionResult.Applied).revision)
            assertEquals(
                setOf("a/b", "c/d"),
                (transaction(answer(409, "state/failed.json")) as TransactionResult.Failed).keys,
            )
            assertEquals(TransactionResult.NoSuchLease, transaction(answer(400, "state/no-lease.json")))
            assertEquals(TransactionResult.TooLarge, transaction(answer(400)))
            assertEquals(TransactionResult.Limited, transaction(answer(429)))
            assertEquals(TransactionResult.Refused, transaction(answer(503)))
            assertEquals(TransactionResult.Unknown, transaction(Outcome.NoResponse))
        }

    @Test
    fun `keys are watched`() =
        runTest {
            val recorder = Recorder(answer(200, "state/watch.json"), answer(410))
            val client = stateStoreClient(recorder)
            val watched = client.watch("c/", 431, 10_000, Urgency.LEASE)!!
            assertEquals(433L, watched.revision)
            assertFalse(watched.isCompacted)
            assertEquals(
                listOf(listOf("c/9", "{\"x\":9}", 433L), listOf("c/d", null, 432L)),
                watched.events.map { listOf(it.key, it.value?.toString(), it.modRevision) },
            )
            assertTrue(client.watch("c/", 431, 10_000, Urgency.LEASE)!!.isCompacted)
            assertEquals(List(2) { "GET /watch?under=c%2F&since=431&hold_ms=10000" }, recorder.requests)
            assertEquals(listOf(null, null), recorder.bodies)
        }

    // Peers

    /**
     * Asserts that [value] is encoded to the bytes in file [name], and that these bytes stay the same when decoded and
     * encoded again. Returns the decoded message.
     */
    private inline fun <reified T> roundTrip(
        name: String,
        value: T,
    ): T {
        val serializer: KSerializer<T> = serializer()
        assertEquals(text(name), HexFormat.of().formatHex(ProtoBuf.encodeToByteArray(serializer, value)), name)
        val decoded = ProtoBuf.decodeFromByteArray(serializer, hex(name))
        assertEquals(text(name), HexFormat.of().formatHex(ProtoBuf.encodeToByteArray(serializer, decoded)), name)
        return decoded
    }

    private val taskStatuses =
        listOf(TaskStatus("j-000412", 3, 2, "running"), TaskStatus("j-000398", 7, 5, "ended", "stopped", true))
    private val machineStatus =
        MachineStatus("m-000231", "10.1.0.232:9000", "g8", "a", true, 3, 88, 25.5, taskStatuses, 1500, 77)
    private val heldCapacity = HeldCapacity("m-000231", 2.5, 1.0, 6.5, listOf("img-07", "img-08"), listOf(6.2, 3.5))
    private val resourceRequest =
        ResourceRequest(
            2.5,
            1.0,
            6.5,
            listOf("g8"),
            listOf("a", "b"),
            true,
            12,
            2,
            true,
            240.5,
            "img-07",
            listOf(4, 5),
            true,
        )
    private val summary =
        CapacitySummary(
            "pitbox-1",
            "p-9",
            17,
            listOf(heldCapacity),
            listOf(resourceRequest),
            16,
            2,
            5,
            listOf(ResourceRequest(1.5, 2.5, 3.5)),
        )
    private val fullDelta =
        PeerDelta(listOf(machineStatus), summary, listOf("m-1", "m-2"), listOf(machineStatus), true, "pitbox-1")
    private val cancelledTask = CancelledTask("m-000231", "j-000412", 3, 2)

    private fun assertMachineStatus(read: MachineStatus) {
        assertEquals(listOf("m-000231", "10.1.0.232:9000", "g8"), listOf(read.machine, read.addr, read.type))
        assertEquals("a", read.zone)
        assertTrue(read.isSpot)
        assertEquals(listOf(3L, 88L), listOf(read.incarnation, read.sequence))
        assertEquals(25.5, read.spotNoticeS)
        assertEquals(listOf(1500L, 77L), listOf(read.ageMs, read.changedAtSequence))
        assertEquals(
            listOf(
                listOf("j-000412", 3, 2L, "running", "", false),
                listOf("j-000398", 7, 5L, "ended", "stopped", true),
            ),
            read.tasks.map { listOf(it.jobId, it.taskIndex, it.attempt, it.status, it.exitReason, it.isSaved) },
        )
    }

    private fun assertResourceRequest(read: ResourceRequest) {
        assertEquals(listOf(2.5, 1.0, 6.5), listOf(read.cores, read.gpus, read.memoryGb))
        assertEquals(listOf("g8"), read.types)
        assertEquals(listOf("a", "b"), read.zones)
        assertEquals(listOf(true, true, true), listOf(read.isSpot, read.isService, read.isGang))
        assertEquals(listOf(12, 2), listOf(read.count, read.priority))
        assertEquals(240.5, read.estimateS)
        assertEquals("img-07", read.image)
        assertEquals(listOf(4, 5), read.zoneLimits)
    }

    private fun assertSummary(read: CapacitySummary) {
        assertEquals(listOf("pitbox-1", "p-9"), listOf(read.host, read.process))
        assertEquals(listOf(17L, 16L), listOf(read.version, read.baseVersion))
        assertEquals(listOf(2, 5), listOf(read.partitionIndex, read.partitionCount))
        val held = read.held.single()
        assertEquals("m-000231", held.machine)
        assertEquals(listOf(2.5, 1.0, 6.5), listOf(held.cores, held.gpus, held.memoryGb))
        assertEquals(listOf("img-07", "img-08"), held.images)
        assertEquals(listOf(6.2, 3.5), held.imagesGb)
        assertResourceRequest(read.demand.single())
        assertEquals(listOf(ResourceRequest(1.5, 2.5, 3.5)), read.recentServices)
    }

    private fun assertCancelledTask(read: CancelledTask) =
        assertEquals(
            listOf("m-000231", "j-000412", 3, 2L),
            listOf(read.machine, read.jobId, read.taskIndex, read.attempt),
        )

    @Test
    fun `deltas between controllers`() {
        val delta = roundTrip("peers/news.hex", fullDelta)
        assertMachineStatus(delta.machineStatuses.single())
        assertSummary(delta.summary!!)
        assertEquals(listOf("m-1", "m-2"), delta.deletionRequests)
        assertMachineStatus(delta.heartbeatAcknowledgements.single())
        assertTrue(delta.hasStateStoreContact)
        assertEquals("pitbox-1", delta.host)
        val answer = roundTrip("peers/news-answer.hex", PeerDeltaResponse(true, 41, listOf(cancelledTask)))
        assertTrue(answer.needsFullSummary)
        assertEquals(41L, answer.fencingToken)
        assertCancelledTask(answer.cancelledTasks.single())
        val version = roundTrip("peers/summary-version.hex", PeerDelta(process = "p-9", summaryVersion = 17))
        assertEquals("p-9" to 17L, version.process to version.summaryVersion)
        val missed = roundTrip("peers/missed-machines.hex", PeerDeltaResponse(missedMachines = listOf("m-000231")))
        assertEquals(listOf("m-000231"), missed.missedMachines)
    }

    @Test
    fun `heartbeat acknowledgements, capacity summaries and lists of cancelled tasks`() {
        assertMachineStatus(
            roundTrip("peers/heard.hex", HeartbeatAcknowledgements(listOf(machineStatus))).machineStatuses.single(),
        )
        assertSummary(roundTrip("peers/summary.hex", summary))
        assertCancelledTask(
            roundTrip("peers/kills.hex", CancelledTaskList(listOf(cancelledTask))).cancelledTasks.single(),
        )
    }

    @Test
    fun `requests of tasks that may share one of several zones`() {
        val options = listOf(ZoneOption("a", 6), ZoneOption("b", 12))
        val request =
            ResourceRequest(1.5, 2.5, 3.5, zones = listOf("a"), count = 6, jobId = "j-000412", zoneOptions = options)
        val read = roundTrip("peers/zone-options.hex", request)
        assertEquals("j-000412" to options, read.jobId to read.zoneOptions)
    }

    @Test
    fun `job queries between controllers`() {
        assertEquals("j-000412", roundTrip("peers/ask.hex", PeerJobRequest("j-000412")).jobId)
        val answer = roundTrip("peers/answer.hex", PeerJobResponse(true, "running", 3, 13))
        assertEquals(
            listOf(true, "running", 3, 13),
            listOf(answer.isKnown, answer.status, answer.doneCount, answer.runningCount),
        )
    }

    @Test
    fun `fields at their default are not written`() {
        val minimal = roundTrip("peers/note-least.hex", MachineStatus("m-1", "", "g8", "a", false, 0, 0))
        assertEquals(listOf(-1.0, 0L, 0L), listOf(minimal.spotNoticeS, minimal.ageMs, minimal.changedAtSequence))
        assertEquals(0, minimal.tasks.size)
        roundTrip("peers/empty.hex", PeerDelta())
        roundTrip("peers/empty.hex", PeerDeltaResponse())
        roundTrip("peers/empty.hex", PeerJobResponse())
        roundTrip("peers/empty.hex", StatusRequest())
        assertTrue(roundTrip("peers/empty.hex", HistoryAnswer()).isAvailable)
        val request = roundTrip("peers/demand-least.hex", ResourceRequest(1.5, 2.5, 3.5))
        assertEquals(
            listOf(false, 1, 0, false),
            listOf(request.isSpot, request.count, request.priority, request.isService),
        )
    }

    private fun SimFleet.expectPeer(
        target: String,
        request: String?,
        answer: String?,
    ) {
        val response = request("POST", target, request?.let { hex(it) } ?: ByteArray(0), isPeer = true)
        assertEquals(200, response.status, target)
        assertEquals("application/octet-stream", response.type, target)
        if (answer != null) assertEquals(text(answer), HexFormat.of().formatHex(response.body), target)
    }

    @Test
    fun `paths for controllers and operators`() {
        assertEquals(
            listOf("/peer/news", "/peer/kills", "/peer/query", "/peer/cancel", "/peer/owned"),
            listOf(
                PeerPaths.DELTA,
                PeerPaths.CANCELLED_TASKS,
                PeerPaths.QUERY_JOB,
                PeerPaths.CANCEL_JOB,
                PeerPaths.OWNERSHIP,
            ),
        )
        assertEquals(
            listOf("get", "apply", "history", "rollback", "status", "applied").map { "/config/$it" },
            ConfigurationPaths.run { listOf(GET, APPLY, HISTORY, ROLLBACK, STATUS, APPLIED) },
        )
        onFleet(1) {
            expectPeer("/peer/news", "peers/news.hex", null)
            expectPeer("/peer/kills", "peers/kills.hex", "peers/empty.hex")
            expectPeer("/peer/query", "peers/ask.hex", "peers/empty.hex")
            expectPeer("/peer/cancel", "peers/ask.hex", "peers/empty.hex")
            expectPeer("/config/get", null, "configuration/view-off.hex")
            expectPeer("/config/apply", "configuration/change.hex", "configuration/answer-off.hex")
            expectPeer("/config/history", null, "peers/empty.hex")
            expectPeer("/config/rollback", "configuration/rollback.hex", "configuration/answer-off.hex")
            expectPeer("/config/status", "configuration/status-request.hex", "configuration/status-off.hex")
            expectPeer("/config/applied", null, "configuration/applied-off.hex")
            assertEquals(404, request("POST", "/config/other", isPeer = true).status)
            assertEquals(405, request("GET", "/config/get", isPeer = true).status)
            assertEquals(400, request("POST", "/peer/query", byteArrayOf(1), isPeer = true).status)
        }
    }

    @Test
    fun `requests that controllers send each other`() =
        onFleet(3) {
            val seen = ArrayList<Triple<String, String, String>>()
            observe("n", seen, HashSet())
            val job = submission()
            rules.submitted(JobSpec.parse(parseObject(job.encodeToByteArray())))
            assertEquals(201, request("POST", "/work", job.encodeToByteArray()).status)
            val seenBefore = seen.size
            // On the first request node 1 learns the job's shard from the state store. On the second one it asks the
            // shard's leader.
            repeat(2) { assertEquals(200, asked(1, "GET", "/work/j-000412").first) }
            assertEquals(200, asked(1, "POST", "/work/j-000412/cancel").first)
            runFor(2000)
            val sent =
                seen
                    .drop(seenBefore)
                    .filter { it.first.endsWith(":81") }
                    .map { it.second }
                    .toSet()
            assertEquals(setOf("POST /peer/news", "POST /peer/query", "POST /peer/cancel"), sent - "POST /peer/kills")
        }

    // Operators

    private val team = TeamSetting("vision", 16.5, 60.5, 2.5, 20.5)
    private val change =
        ConfigurationChange("c-1", 41, "kim", "more room", listOf(team), listOf("text", "cards"), true)
    private val status =
        ConfigurationStatus(true, 41, 42, true, 1500, listOf(AppliedVersion("pitbox-0", 41)), listOf("pitbox-1"))

    /**
     * Runs [call] on a configuration client and returns its result. Asserts that it sends one request, to [path] and
     * with the body in file [request], or an empty body if that is null. The response has the body in file [answer].
     */
    private suspend fun <T> callClient(
        path: String,
        request: String?,
        answer: String,
        call: suspend ConfigurationClient.() -> T,
    ): T {
        val recorder = Recorder(Outcome.Answer(200, hex(answer)))
        val result = ConfigurationClient(recorder, "n0:81", 1000).call()
        assertEquals(listOf("POST $path"), recorder.requests)
        assertEquals(request?.let { text(it) } ?: "", HexFormat.of().formatHex(recorder.bodies.single()))
        return result
    }

    @Test
    fun `the configuration client reads, changes and rolls back the teams`() =
        runTest {
            val view = callClient("/config/get", null, "configuration/view.hex") { get() }
            assertEquals(listOf(true, 41L), listOf(view.isOn, view.version))
            assertEquals(listOf(team), view.teams)
            assertEquals(
                listOf("vision", 16.5, 60.5, 2.5, 20.5),
                view.teams.single().run { listOf(name, cores, coresMax, gpus, gpusMax) },
            )
            val answer =
                callClient("/config/apply", "configuration/change.hex", "configuration/answer.hex") { apply(change) }
            assertEquals(listOf(ChangeStatus.INVALID, 41L), listOf(answer.status, answer.version))
            assertEquals(listOf("vision", "too much"), answer.errors.single().run { listOf(team, message) })
            val request = RollbackRequest("c-2", 40, "kim", "back")
            val rolledBack =
                callClient("/config/rollback", "configuration/rollback.hex", "configuration/answer-off.hex") {
                    rollback(request)
                }
            assertEquals(ChangeStatus.SWITCHED_OFF, rolledBack.status)
        }

    @Test
    fun `the configuration client reads the history and the status`() =
        runTest {
            val history = callClient("/config/history", null, "configuration/history.hex") { history() }
            assertFalse(history.isAvailable)
            assertEquals(
                listOf(41L, "kim", "more room", 1_700_000_000_000L, 3, 2),
                history.entries.single().run { listOf(version, author, reason, atMs, set, removed) },
            )
            val read =
                callClient(
                    "/config/status",
                    "configuration/status-request.hex",
                    "configuration/status.hex",
                ) { status(41) }
            assertEquals(listOf(true, 41L, 42L), listOf(read.isOn, read.version, read.newest))
            assertEquals(listOf(true, 1500L), listOf(read.isInForce, read.inForceInMs))
            assertEquals(listOf("pitbox-0", 41L), read.applied.single().run { listOf(host, version) })
            assertEquals(listOf("pitbox-1"), read.missing)
        }

    @Test
    fun `configuration messages`() {
        val read = roundTrip("configuration/change.hex", change)
        assertEquals(listOf("c-1", 41L, "kim", "more room"), read.run { listOf(id, base, author, reason) })
        assertEquals(listOf(listOf(team), listOf("text", "cards"), true), read.run { listOf(set, remove, isDryRun) })
        roundTrip("configuration/view.hex", ConfigurationView(true, 41, listOf(team)))
        val errors = listOf(LineError("vision", "too much"))
        roundTrip("configuration/answer.hex", ChangeAnswer(ChangeStatus.INVALID, 41, errors))
        val entry = HistoryEntry(41, "kim", "more room", 1_700_000_000_000, 3, 2)
        roundTrip("configuration/history.hex", HistoryAnswer(listOf(entry), false))
        roundTrip("configuration/status.hex", status)
        val rollback = roundTrip("configuration/rollback.hex", RollbackRequest("c-2", 40, "kim", "back"))
        assertEquals(listOf("c-2", 40L, "kim", "back"), rollback.run { listOf(id, version, author, reason) })
        assertEquals(41L, roundTrip("configuration/status-request.hex", StatusRequest(41)).version)
        assertEquals(41L, roundTrip("configuration/applied.hex", AppliedVersion("pitbox-0", 41)).version)
    }

    /** A message holds the ordinal of the status, so the order of the constants must not change. */
    @Test
    fun `the ordinals of the statuses of a change`() {
        val inOrder =
            listOf(
                ChangeStatus.APPLIED,
                ChangeStatus.VALID,
                ChangeStatus.CONFLICT,
                ChangeStatus.INVALID,
                ChangeStatus.UNAVAILABLE,
                ChangeStatus.UNKNOWN,
                ChangeStatus.SWITCHED_OFF,
            )
        assertEquals(inOrder, ChangeStatus.entries.toList())
        for ((number, status) in inOrder.withIndex()) {
            val bytes = byteArrayOf(8, number.toByte())
            assertEquals(status, ProtoBuf.decodeFromByteArray(ChangeAnswer.serializer(), bytes).status)
            val encoded = ProtoBuf.encodeToByteArray(ChangeAnswer.serializer(), ChangeAnswer(status))
            assertEquals(bytes.toList(), encoded.toList())
        }
    }

    // Settings

    /** The settings in `settings/settings.json`, with parts of its text replaced. */
    private fun settings(vararg replacements: Pair<String, String>) =
        Settings.parse(
            replacements
                .fold(text("settings/settings.json")) { all, (from, to) ->
                    assertTrue(from in all, from)
                    all.replace(from, to)
                }.encodeToByteArray(),
        )

    @Test
    fun `the settings file is read`() {
        val read = settings()
        assertEquals(listOf("pitbox-0", "a"), listOf(read.host, read.zone))
        assertEquals(listOf("10.0.0.1:8080", "10.0.0.1:8081"), listOf(read.listen, read.peerListen))
        assertEquals(
            listOf(listOf("pitbox-1", "b", "10.0.0.2:8081"), listOf("pitbox-2", "c", "10.0.0.3:8081")),
            read.peers.map { listOf(it.host, it.zone, it.addr) },
        )
        assertEquals(listOf("10.0.0.8:1", "10.0.0.9:2"), listOf(read.cloudAddr, read.stateAddr))
        assertEquals(listOf("a", "b", "c"), read.zones)
        assertEquals(setOf("vision"), read.teams.keys)
        assertEquals(
            listOf("vision", 16.5, 60.5, 2.5, 20.5),
            read.teams.getValue("vision").run { listOf(name, cores, coresMax, gpus, gpusMax) },
        )
        assertEquals(
            listOf(listOf("start", "train", 90.5), listOf("price", null, null)),
            read.objectives.map { listOf(it.kind, it.jobClass, it.withinS) },
        )
        assertEquals(listOf(1500L, 10_500L, 30_500L), listOf(read.heartbeatIntervalMs, read.leaseMs, read.cancelMs))
        assertEquals(listOf(35_500L, 4500L), listOf(read.gangWaitMs, read.gangPeerMs))
        assertEquals(StateLimits(240.0, 90.0, 8 * 1024, 32), read.stateLimits)
        assertEquals(listOf(4.5, 0.25), listOf(read.cloudRps, read.coreShare))
        assertEquals(3500L, read.listLagMs)
        assertEquals(500, read.maxSockets)
        val next = ",\"next\":{\"rps\":240,\"write_rps\":90,\"value_kb\":8,\"txn_ops\":32}"
        assertEquals(StateLimits(250.0, 100.0, 16 * 1024, 48), settings(next to "").stateLimits)
    }

    @Test
    fun `the error text names a required setting that is missing`() {
        val fields =
            listOf("host_name", "location", "listen", "back", "services", "params", "teams", "workers") +
                listOf("machine_limits", "report_s", "lease_s", "cancel_s", "write_rps", "value_kb", "txn_ops") +
                listOf("list_lag_s", "max_sockets", "core_share", "peer_addr")
        for (field in fields) {
            val error = assertThrows(SettingsError::class.java) { settings("\"$field\"" to "\"another\"") }
            assertTrue(field in error.message!!, error.message)
        }
    }

    @Test
    fun `a team is written in the form of the settings file`() {
        val team = settings().teams.getValue("vision")
        assertEquals(text("settings/team.json"), TeamJson.encode(team).toString())
    }

    private fun properties() = Properties().apply { load(text("settings/operator.properties").reader()) }

    @Test
    fun `operator properties are read`() {
        val operator = OperatorSettings.parse(properties())
        assertEquals(listOf(0.5, 2.0, 20.0), operator.queueBounds)
        assertEquals(3.5, operator.promotionRatio)
        assertEquals(0.25, operator.fleetHeadroom)
        assertEquals(1.75, operator.fleetIdleBoots)
        assertTrue(operator.storesTeams)
        assertEquals(ArchiveMode.RESTORE, operator.archiveMode)
        for ((word, mode) in listOf("off" to ArchiveMode.OFF, "on" to ArchiveMode.ON)) {
            val changed = properties().apply { setProperty("recovery.archive", word) }
            assertEquals(mode, OperatorSettings.parse(changed).archiveMode)
        }
    }
}
