package micatally.cli

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import micatally.config.ChangeFile
import micatally.config.ChangeFileError
import micatally.config.ConfigurationClient
import micatally.config.NoAnswer
import micatally.http.Client
import micatally.wire.ChangeAnswer
import micatally.wire.ChangeStatus
import micatally.wire.LineError
import micatally.wire.RollbackRequest
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Model.OptionSpec
import picocli.CommandLine.Model.PositionalParamSpec
import picocli.CommandLine.ParseResult
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.time.Instant
import java.util.UUID

/** `micatally config get|apply|history|rollback|status`: reads and changes the stored teams through one controller. */
object ConfigCommand {
    private const val OK = 0
    private const val REFUSED = 1
    private const val USAGE_ERROR = 2
    private const val OUTCOME_UNKNOWN = 3
    private const val TIMEOUT_MS = 30_000L
    private const val POLL_MS = 100L
    private const val MAX_SOCKETS = 4

    /** Subcommands, options and help texts of `micatally config`. */
    fun spec(): CommandSpec {
        val spec = CommandSpec.create()
        spec.usageMessage().description("Reads and changes the teams that are stored in the state service.")
        spec.addSubcommand("get", command("Prints the version and the teams."))
        spec.addSubcommand("apply", applySpec())
        spec.addSubcommand("history", command("Prints the last changes, the newest first."))
        spec.addSubcommand("rollback", rollbackSpec())
        spec.addSubcommand("status", statusSpec())
        return spec
    }

    private fun command(description: String): CommandSpec {
        val spec = CommandSpec.create()
        spec.usageMessage().description(description)
        spec.addOption(
            textOption("--controller", "address of a controller for its peers (setting back): 10.0.0.1:8081", true),
        )
        return spec
    }

    private fun applySpec(): CommandSpec {
        val spec = command("Applies a change file, all or nothing.")
        spec.addPositional(positionalParameter("FILE", "change file (JSON)", String::class.java))
        spec.addOption(flagOption("--dry-run", "only checks whether the change could be applied"))
        spec.addOption(flagOption("--wait", "waits until the change is in force on all controllers"))
        spec.addOption(textOption("--id", "id of the change; a repeat under the same id is applied once", false))
        return spec
    }

    private fun rollbackSpec(): CommandSpec {
        val spec = command("Sets the teams back to what they were at a version, as a new change.")
        spec.addPositional(positionalParameter("VERSION", "version to go back to", Long::class.javaObjectType))
        spec.addOption(textOption("--author", "who asks for the rollback", true))
        spec.addOption(textOption("--reason", "why the rollback is needed", true))
        return spec
    }

    private fun statusSpec(): CommandSpec {
        val spec = command("Prints whether a version is in force, and which controllers have not confirmed it.")
        spec.addOption(
            OptionSpec
                .builder("--version")
                .paramLabel("N")
                .type(Long::class.javaObjectType)
                .description("the version; the newest if left out")
                .build(),
        )
        return spec
    }

    private fun textOption(
        name: String,
        description: String,
        isRequired: Boolean,
    ) = OptionSpec
        .builder(name)
        .paramLabel("TEXT")
        .type(String::class.java)
        .required(isRequired)
        .description(description)
        .build()

    private fun flagOption(
        name: String,
        description: String,
    ) = OptionSpec
        .builder(name)
        .type(Boolean::class.javaObjectType)
        .arity("0")
        .description(description)
        .build()

    private fun positionalParameter(
        label: String,
        description: String,
        type: Class<*>,
    ) = PositionalParamSpec
        .builder()
        .paramLabel(label)
        .type(type)
        .required(true)
        .description(description)
        .build()

    /** Runs the command and returns the exit code. */
    fun run(parsed: ParseResult): Int {
        val subcommand = parsed.subcommand()
        if (subcommand == null) {
            parsed.commandSpec().commandLine().usage(System.err)
            return USAGE_ERROR
        }
        val loop = EventLoop("config")
        val http = Client(loop.group, MAX_SOCKETS, loop::nowMs)
        val client = ConfigurationClient(http, subcommand.matchedOptionValue("--controller", ""), TIMEOUT_MS)
        return try {
            runBlocking { withContext(loop.scope.coroutineContext) { runCommand(subcommand, client) } }
        } catch (e: ChangeFileError) {
            printErrors(e.errors)
            USAGE_ERROR
        } catch (e: NoAnswer) {
            System.err.println("micatally: ${e.message}")
            OUTCOME_UNKNOWN
        } catch (e: IllegalArgumentException) {
            System.err.println("micatally: --controller must look like 10.0.0.1:8081")
            USAGE_ERROR
        }
    }

    private suspend fun runCommand(
        parsed: ParseResult,
        client: ConfigurationClient,
    ): Int =
        when (parsed.commandSpec().name()) {
            "get" -> get(client)
            "apply" -> apply(parsed, client)
            "history" -> history(client)
            "rollback" -> rollback(parsed, client)
            else -> status(client, parsed.matchedOptionValue("--version", 0L))
        }

    private suspend fun get(client: ConfigurationClient): Int {
        val view = client.get()
        println(if (view.isOn) "version ${view.version}" else "teams are those of the settings files")
        for (team in view.teams.sortedBy { it.name }) {
            println(
                "${team.name} cpus=${team.cores} cpus_max=${team.coresMax} gpus=${team.gpus} gpus_max=${team.gpusMax}",
            )
        }
        return OK
    }

    private suspend fun apply(
        parsed: ParseResult,
        client: ConfigurationClient,
    ): Int {
        val file = parsed.matchedPositionalValue(0, "")
        val body =
            try {
                Files.readAllBytes(Path.of(file))
            } catch (e: IOException) {
                System.err.println("micatally: $file can't be read")
                return USAGE_ERROR
            }
        val id = parsed.matchedOptionValue("--id", UUID.randomUUID().toString())
        val answer = client.apply(ChangeFile.parse(body, id, parsed.hasMatchedOption("--dry-run")))
        val code = print(answer, id)
        if (answer.status != ChangeStatus.APPLIED || !parsed.hasMatchedOption("--wait")) return code
        while (!client.status(answer.version).isInForce) delay(POLL_MS)
        return status(client, answer.version)
    }

    private suspend fun rollback(
        parsed: ParseResult,
        client: ConfigurationClient,
    ): Int {
        val id = UUID.randomUUID().toString()
        val request =
            RollbackRequest(
                id,
                parsed.matchedPositionalValue(0, 0L),
                parsed.matchedOptionValue("--author", ""),
                parsed.matchedOptionValue("--reason", ""),
            )
        return print(client.rollback(request), id)
    }

    /** Prints the [answer] to a change with this [id], and returns the exit code. */
    private fun print(
        answer: ChangeAnswer,
        id: String,
    ): Int {
        printErrors(answer.errors)
        return when (answer.status) {
            ChangeStatus.APPLIED -> printResult(OK, "applied as version ${answer.version}")
            ChangeStatus.VALID -> printResult(OK, "valid against version ${answer.version}; nothing was changed")
            ChangeStatus.CONFLICT ->
                printResult(
                    REFUSED,
                    "conflict: the present version is ${answer.version}; nothing was changed",
                )
            ChangeStatus.INVALID -> printResult(REFUSED, "not valid; nothing was changed")
            ChangeStatus.SWITCHED_OFF -> printResult(REFUSED, "teams are those of the settings files")
            ChangeStatus.UNAVAILABLE ->
                printResult(
                    OUTCOME_UNKNOWN,
                    "the state service is not reached; nothing was changed, try again",
                )
            ChangeStatus.UNKNOWN ->
                printResult(OUTCOME_UNKNOWN, "not known whether it was applied; repeat with --id $id")
        }
    }

    /** Prints a line to standard output, or to standard error if [code] is a failure; returns [code]. */
    private fun printResult(
        code: Int,
        line: String,
    ): Int {
        if (code == OK) println(line) else System.err.println("micatally: $line")
        return code
    }

    private fun printErrors(errors: List<LineError>) {
        for (error in errors) {
            System.err.println(
                "micatally: ${"${error.team}: ".takeIf { error.team != "" } ?: ""}${error.message}",
            )
        }
    }

    private suspend fun history(client: ConfigurationClient): Int {
        val answer = client.history()
        if (!answer.isAvailable) return printResult(OUTCOME_UNKNOWN, "the history can't be read now")
        for (entry in answer.entries) {
            val at = Instant.ofEpochMilli(entry.atMs)
            println(
                "${entry.version} $at ${entry.author}: ${entry.reason} (${entry.set} set, ${entry.removed} removed)",
            )
        }
        return OK
    }

    private suspend fun status(
        client: ConfigurationClient,
        version: Long,
    ): Int {
        val status = client.status(version)
        if (!status.isOn) return printResult(OK, "teams are those of the settings files")
        val state = if (status.isInForce) "in force" else "in force in ${status.inForceInMs} ms at the latest"
        println("version ${status.version} of ${status.newest}: $state")
        for (applied in status.applied) println("${applied.host} decides by version ${applied.version}")
        for (host in status.missing) println("$host has not confirmed version ${status.version}")
        return OK
    }
}
