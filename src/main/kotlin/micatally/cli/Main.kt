package micatally.cli

import kotlinx.coroutines.runBlocking
import micatally.emulator.Rehearsal
import micatally.settings.OperatorSettings
import micatally.settings.Settings
import micatally.settings.SettingsError
import org.slf4j.LoggerFactory
import picocli.CommandLine
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Model.OptionSpec
import picocli.CommandLine.ParseResult
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.Properties
import kotlin.system.exitProcess

const val VERSION = "0.1.0"

private const val OK = 0
private const val FAILED = 1
private const val MISUSED = 2

/** What the arguments of a controller begin with. */
private val CONTROLLER_OPTIONS = setOf("--config", "--properties")
private val LOG_LEVELS = setOf("error", "info", "debug", "warn", "trace")

private fun readSettings(file: String): Settings =
    try {
        Settings.parse(Files.readAllBytes(Path.of(file)))
    } catch (e: IOException) {
        throw SettingsError("settings file $file can't be read", e)
    }

private fun readOperator(file: String?): OperatorSettings {
    if (file == null) return OperatorSettings.DEFAULT
    val properties = Properties()
    try {
        Files.newBufferedReader(Path.of(file)).use { properties.load(it) }
    } catch (e: IOException) {
        throw SettingsError("properties file $file can't be read", e)
    }
    return OperatorSettings.parse(properties)
}

/** Runs a controller until the process is killed. */
private fun serve(parsed: ParseResult): Int {
    val settings = readSettings(parsed.matchedOptionValue("--config", ""))
    val operator = readOperator(parsed.matchedOptionValue("--properties", null as String?))
    startController(EventLoop(), settings, operator)
    LoggerFactory.getLogger("micatally.controller").info("{} {} listens on {}", settings.host, VERSION, settings.listen)
    Thread.currentThread().join()
    return OK
}

private fun checkConfig(parsed: ParseResult): Int {
    readSettings(parsed.matchedOptionValue("--config", ""))
    readOperator(parsed.matchedOptionValue("--properties", null as String?))
    println("ok")
    return OK
}

private fun rehearse(): Int =
    runBlocking {
        if (Rehearsal.run()) return@runBlocking OK
        System.err.println("micatally: the rehearsal failed")
        FAILED
    }

private fun fileOption(
    name: String,
    description: String,
    isRequired: Boolean = false,
): OptionSpec =
    OptionSpec
        .builder(name)
        .paramLabel("FILE")
        .type(String::class.java)
        .required(isRequired)
        .description(description)
        .build()

private fun propertiesOption() = fileOption("--properties", "operators' own settings (Java properties)")

private fun described(
    description: String,
    vararg options: OptionSpec,
): CommandSpec {
    val spec = CommandSpec.create()
    spec.usageMessage().description(description)
    for (option in options) spec.addOption(option)
    return spec
}

/** Options are described to picocli in code, not by annotations: reading those costs a start more than the parsing. For
 * the same reason a controller's start knows nothing of the other commands. */
private fun commandSpec(hasCommands: Boolean): CommandSpec {
    val spec =
        described(
            "A scheduler for fleets that serve language models.",
            fileOption("--config", "the platform's settings file (JSON); starts a controller"),
            propertiesOption(),
        ).name("micatally").version("micatally $VERSION").mixinStandardHelpOptions(true)
    if (!hasCommands) return spec
    val settingsFile = fileOption("--config", "the settings file to check", isRequired = true)
    spec.addSubcommand(
        "check-config",
        described("Checks a settings file and says what is wrong with it.", settingsFile, propertiesOption()),
    )
    spec.addSubcommand(
        "rehearse",
        described("Runs a controller against stand-ins for a few seconds, for the build's class archive."),
    )
    spec.addSubcommand("scale", ScaleCommand.spec())
    spec.addSubcommand("config", ConfigCommand.spec())
    return spec
}

private fun carryOut(
    line: CommandLine,
    parsed: ParseResult,
): Int {
    val sub = parsed.subcommand()
    return when (sub?.commandSpec()?.name()) {
        "check-config" -> checkConfig(sub)
        "rehearse" -> rehearse()
        "scale" -> ScaleCommand.run(sub)
        "config" -> ConfigCommand.run(sub)
        else -> {
            if (parsed.hasMatchedOption("--config")) return serve(parsed)
            line.usage(System.err)
            MISUSED
        }
    }
}

/** System properties that have to be set before the classes that read them are loaded. */
private fun setSystemProperties() {
    val level = System.getenv("LOG_LEVEL")?.lowercase()?.takeIf { it in LOG_LEVELS } ?: "info"
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level)
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
    System.setProperty("org.slf4j.simpleLogger.showLogName", "true")
    System.setProperty("java.net.preferIPv4Stack", "true")
    // A read that is tried at once finds nothing: requests come seconds apart, answers after a round trip.
    System.setProperty("sun.nio.ch.disableSynchronousRead", "true")
}

fun main(args: Array<String>) {
    setSystemProperties()
    val isController = args.firstOrNull() in CONTROLLER_OPTIONS
    val line = CommandLine(commandSpec(hasCommands = !isController))
    line.setExecutionStrategy { parsed ->
        CommandLine.executeHelpRequest(parsed) ?: try {
            carryOut(line, parsed)
        } catch (e: SettingsError) {
            System.err.println("micatally: ${e.message}")
            MISUSED
        } catch (e: AddressTaken) {
            System.err.println("micatally: ${e.message}")
            FAILED
        }
    }
    // An Error is nobody's to catch inside, and the loop's threads would keep a process without a main thread alive: a build
    // hung for minutes on its rehearsal.
    exitProcess(
        try {
            line.execute(*args)
        } catch (e: Throwable) {
            System.err.println("micatally: $e")
            FAILED
        },
    )
}
