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
private const val USAGE_ERROR = 2

/** Options of a controller: a command line that begins with one of them starts it and has no subcommand. */
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

private fun propertiesOption() = fileOption("--properties", "settings of the operators (Java properties)")

private fun describedCommand(
    description: String,
    vararg options: OptionSpec,
): CommandSpec {
    val spec = CommandSpec.create()
    spec.usageMessage().description(description)
    for (option in options) spec.addOption(option)
    return spec
}

/**
 * Builds the command line in code instead of with picocli's annotations: reading those takes more of a start's time
 * than parsing the arguments. For the same reason the subcommands are left out when a controller is started.
 */
private fun commandSpec(hasSubcommands: Boolean): CommandSpec {
    val spec =
        describedCommand(
            "A scheduler for fleets that serve language models.",
            fileOption("--config", "the platform's settings file (JSON); starts a controller"),
            propertiesOption(),
        ).name("micatally").version("micatally $VERSION").mixinStandardHelpOptions(true)
    if (!hasSubcommands) return spec
    val settingsFile = fileOption("--config", "the settings file to check", isRequired = true)
    spec.addSubcommand(
        "check-config",
        describedCommand("Checks a settings file and says what is wrong with it.", settingsFile, propertiesOption()),
    )
    spec.addSubcommand(
        "rehearse",
        describedCommand("Runs a controller against emulators for a few seconds, for the build's class archive."),
    )
    spec.addSubcommand("scale", ScaleCommand.spec())
    spec.addSubcommand("config", ConfigCommand.spec())
    return spec
}

private fun runCommand(
    commandLine: CommandLine,
    parsed: ParseResult,
): Int {
    val subcommand = parsed.subcommand()
    return when (subcommand?.commandSpec()?.name()) {
        "check-config" -> checkConfig(subcommand)
        "rehearse" -> rehearse()
        "scale" -> ScaleCommand.run(subcommand)
        "config" -> ConfigCommand.run(subcommand)
        else -> {
            if (parsed.hasMatchedOption("--config")) return serve(parsed)
            commandLine.usage(System.err)
            USAGE_ERROR
        }
    }
}

/** Sets system properties; to be called before the classes that read them are loaded. */
private fun setSystemProperties() {
    val level = System.getenv("LOG_LEVEL")?.lowercase()?.takeIf { it in LOG_LEVELS } ?: "info"
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level)
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
    System.setProperty("org.slf4j.simpleLogger.showLogName", "true")
    System.setProperty("java.net.preferIPv4Stack", "true")
    // Without this the JDK tries each asynchronous read at once. That would find nothing here: requests on a connection
    // come seconds apart, and a response takes a round trip.
    System.setProperty("sun.nio.ch.disableSynchronousRead", "true")
}

fun main(args: Array<String>) {
    setSystemProperties()
    val isController = args.firstOrNull() in CONTROLLER_OPTIONS
    val commandLine = CommandLine(commandSpec(hasSubcommands = !isController))
    commandLine.setExecutionStrategy { parsed ->
        CommandLine.executeHelpRequest(parsed) ?: try {
            runCommand(commandLine, parsed)
        } catch (e: SettingsError) {
            System.err.println("micatally: ${e.message}")
            USAGE_ERROR
        } catch (e: AddressTaken) {
            System.err.println("micatally: ${e.message}")
            FAILED
        }
    }
    // An Error is caught nowhere else. If it ended only the main thread, the threads of the event loop would keep the
    // process alive: a build hung for minutes in its rehearsal that way.
    exitProcess(
        try {
            commandLine.execute(*args)
        } catch (e: Throwable) {
            System.err.println("micatally: $e")
            FAILED
        },
    )
}
