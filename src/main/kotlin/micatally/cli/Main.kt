package micatally.cli

import com.google.common.util.concurrent.MoreExecutors
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import micatally.http.Client
import micatally.http.Server
import micatally.node.Controller
import micatally.settings.Operator
import micatally.settings.Settings
import micatally.settings.SettingsError
import micatally.standin.Rehearsal
import org.slf4j.LoggerFactory
import picocli.CommandLine
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Model.OptionSpec
import java.nio.channels.AsynchronousChannelGroup
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit
import kotlin.coroutines.CoroutineContext
import kotlin.random.Random
import kotlin.system.exitProcess

const val VERSION = "0.1.0"

/** Runs one thing at a time, on whichever thread brings it: the one that waits for the kernel or the one that keeps the timers.
 * Handing each event to a thread of its own cost more system calls than the event itself. */
@OptIn(InternalCoroutinesApi::class)
private class Serial(
    private val timers: ScheduledThreadPoolExecutor,
) : CoroutineDispatcher(),
    Delay {
    private val inTurn = MoreExecutors.newSequentialExecutor(MoreExecutors.directExecutor())

    override fun dispatch(
        context: CoroutineContext,
        block: Runnable,
    ) = inTurn.execute(block)

    override fun scheduleResumeAfterDelay(
        timeMillis: Long,
        continuation: CancellableContinuation<Unit>,
    ) {
        val timer =
            timers.schedule({
                inTurn.execute { with(continuation) { resumeUndispatched(Unit) } }
            }, timeMillis, TimeUnit.MILLISECONDS)
        continuation.invokeOnCancellation { timer.cancel(false) }
    }

    override fun invokeOnTimeout(
        timeMillis: Long,
        block: Runnable,
        context: CoroutineContext,
    ): DisposableHandle {
        val timer = timers.schedule({ inTurn.execute(block) }, timeMillis, TimeUnit.MILLISECONDS)
        return DisposableHandle { timer.cancel(false) }
    }
}

/** The event loop and its channel group: what one thread reads and another one times is decided in turn.
 *
 * @param name prefix of the names of both threads, so that processor time can be told apart by loop */
class Loop(
    val name: String = "node",
) {
    private val timers =
        ScheduledThreadPoolExecutor(1) { Thread(it, "$name-timers") }.apply { removeOnCancelPolicy = true }
    val group: AsynchronousChannelGroup =
        AsynchronousChannelGroup.withFixedThreadPool(1) { Thread(it, "$name-io").apply { isDaemon = true } }
    private val log = LoggerFactory.getLogger("micatally.node")
    val scope =
        CoroutineScope(
            SupervisorJob() + Serial(timers) +
                kotlinx.coroutines.CoroutineExceptionHandler {
                    _,
                    e,
                    ->
                    log.error("a task of the event loop failed", e)
                },
        )

    fun nowMs() = System.nanoTime() / 1_000_000
}

/** Starts a controller on the loop; returns its two servers. */
fun startController(
    loop: Loop,
    settings: Settings,
    operator: Operator = Operator.DEFAULT,
): Pair<Server, Server> {
    val client = Client(loop.group, settings.maxSockets * 42 / 100, loop::nowMs)
    val controller =
        Controller(
            loop.scope,
            settings,
            client,
            Random(System.nanoTime()),
            loop::nowMs,
            System::currentTimeMillis,
            operator,
            System::nanoTime,
        )
    val front = Server(loop.scope, loop.group, settings.listen, settings.maxSockets / 2, 64 * 1024L, controller::handle)
    val back =
        Server(
            loop.scope,
            loop.group,
            settings.back,
            settings.maxSockets / 20 + 4,
            4L * 1024 * 1024,
            controller::handlePeer,
        )
    loop.scope.launch {
        controller.start()
        front.start()
        back.start()
        while (true) {
            delay(settings.leaseMs)
            client.sweep()
        }
    }
    return front to back
}

private fun readSettings(file: String): Settings =
    try {
        Settings.parse(Files.readAllBytes(Path.of(file)))
    } catch (e: java.io.IOException) {
        throw SettingsError("settings file $file can't be read")
    }

private fun readOperator(file: String?): Operator {
    if (file == null) return Operator.DEFAULT
    val p = java.util.Properties()
    try {
        Files.newBufferedReader(Path.of(file)).use { p.load(it) }
    } catch (
        e: java.io.IOException,
    ) {
        throw SettingsError("properties file $file can't be read")
    }
    return Operator.parse(p)
}

private fun serve(
    file: String,
    properties: String?,
): Int {
    val settings = readSettings(file)
    val operator = readOperator(properties)
    val loop = Loop()
    startController(loop, settings, operator)
    LoggerFactory.getLogger("micatally.node").info("{} {} listens on {}", settings.host, VERSION, settings.listen)
    Thread.currentThread().join()
    return 0
}

/** Options are described to picocli in code, not by annotations: reading those costs a start more than the parsing. */
fun main(args: Array<String>) {
    val level =
        System.getenv("LOG_LEVEL")?.lowercase()?.takeIf { it in setOf("error", "info", "debug", "warn", "trace") }
            ?: "info"
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level)
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
    System.setProperty("org.slf4j.simpleLogger.showLogName", "true")
    System.setProperty("java.net.preferIPv4Stack", "true")
    // A read that is tried at once finds nothing: requests come seconds apart, answers after a round trip.
    System.setProperty("sun.nio.ch.disableSynchronousRead", "true")
    val spec =
        CommandSpec
            .create()
            .name("micatally")
            .version("micatally $VERSION")
            .mixinStandardHelpOptions(true)
    spec.usageMessage().description("A scheduler for fleets that serve language models.")
    spec.addOption(
        OptionSpec
            .builder(
                "--config",
            ).paramLabel(
                "FILE",
            ).type(String::class.java)
            .description("the platform's settings file (JSON); starts a controller")
            .build(),
    )
    val properties = {
        OptionSpec
            .builder(
                "--properties",
            ).paramLabel("FILE")
            .type(String::class.java)
            .description("operators' own settings (Java properties)")
            .build()
    }
    spec.addOption(properties())
    spec.addSubcommand(
        "check-config",
        CommandSpec
            .create()
            .addOption(
                OptionSpec
                    .builder(
                        "--config",
                    ).paramLabel("FILE")
                    .type(String::class.java)
                    .required(true)
                    .description("the settings file to check")
                    .build(),
            ).addOption(
                properties(),
            ).apply { usageMessage().description("Checks a settings file and says what is wrong with it.") },
    )
    spec.addSubcommand(
        "rehearse",
        CommandSpec.create().apply {
            usageMessage().description(
                "Runs a controller against stand-ins for a few seconds, for the build's class archive.",
            )
        },
    )
    spec.addSubcommand("scale", ScaleCommand.spec())
    spec.addSubcommand("config", ConfigCommand.spec())
    val line = CommandLine(spec)
    line.setExecutionStrategy { parsed ->
        CommandLine.executeHelpRequest(parsed) ?: run {
            val sub = parsed.subcommand()
            try {
                when {
                    sub != null && sub.commandSpec().name() == "check-config" -> {
                        readSettings(sub.matchedOptionValue("--config", ""))
                        readOperator(sub.matchedOptionValue("--properties", null as String?))
                        println("ok")
                        0
                    }
                    sub != null && sub.commandSpec().name() == "scale" -> ScaleCommand.run(sub)
                    sub != null && sub.commandSpec().name() == "config" -> ConfigCommand.run(sub)
                    sub != null ->
                        runBlocking {
                            if (Rehearsal.run()) {
                                0
                            } else {
                                System.err.println("micatally: the rehearsal failed")
                                1
                            }
                        }
                    parsed.hasMatchedOption(
                        "--config",
                    ) ->
                        serve(
                            parsed.matchedOptionValue("--config", ""),
                            parsed.matchedOptionValue("--properties", null as String?),
                        )
                    else -> {
                        line.usage(System.err)
                        2
                    }
                }
            } catch (e: SettingsError) {
                System.err.println("micatally: ${e.message}")
                2
            }
        }
    }
    // An Error is nobody's to catch inside, and the loop's threads would keep a process without a main thread alive: a build
    // hung for minutes on its rehearsal.
    exitProcess(
        try {
            line.execute(*args)
        } catch (e: Throwable) {
            System.err.println("micatally: $e")
            1
        },
    )
}
