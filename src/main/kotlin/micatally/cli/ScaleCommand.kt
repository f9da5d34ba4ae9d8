package micatally.cli

import kotlinx.serialization.json.Json
import micatally.scale.Deployment
import micatally.scale.InsufficientResources
import micatally.scale.MachineLimits
import micatally.scale.ReportTable
import micatally.scale.ScaleReport
import micatally.scale.ScaleRun
import micatally.scale.ScaleRunFailed
import micatally.scale.Scenario
import micatally.scale.ScenarioError
import micatally.scale.ScenarioFile
import micatally.scale.Sweep
import micatally.scale.SweepAxis
import micatally.scale.SweepReport
import micatally.scale.SweepSize
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Model.OptionSpec
import picocli.CommandLine.Model.PositionalParamSpec
import picocli.CommandLine.ParseResult
import java.nio.file.Files
import java.nio.file.Path

/** `micatally scale run` and `micatally scale sweep`: measure controller processes under emulated load on loopback. */
object ScaleCommand {
    private const val OK = 0
    private const val FAILED = 1
    private const val REFUSED = 2
    private val JSON = Json { prettyPrint = true }

    /** Operator settings that keep machines without tasks, so that the number of workers stays as asked for. */
    private val KEEP_WORKERS = listOf("fleet.idle-boots=100", "fleet.headroom=1")

    private const val STORED_TEAMS = "config.stored-teams=true"
    private const val ARCHIVE = "recovery.archive=on"

    /** Subcommands, options and help texts of `micatally scale`. */
    fun spec(): CommandSpec {
        val spec = CommandSpec.create()
        spec.usageMessage().description("Runs controllers under load against emulators on loopback, and measures them.")
        spec.addSubcommand("run", runSpec())
        spec.addSubcommand("sweep", sweepSpec())
        return spec
    }

    private fun runSpec(): CommandSpec {
        val spec = commonSpec("Runs one scenario.")
        spec.addOption(numberOption("--workers", "number of workers; the load is scaled with it"))
        spec.addOption(numberOption("--controllers", "number of controllers, 1 to 11"))
        spec.addOption(numberOption("--teams", "number of teams"))
        return spec
    }

    private fun sweepSpec(): CommandSpec {
        val spec = commonSpec("Runs a scenario at several sizes and fits lines through the figures.")
        spec.addOption(listOption("--workers", "numbers of workers to run with, the base size first"))
        spec.addOption(listOption("--controllers", "numbers of controllers to run with, the base size first"))
        spec.addOption(listOption("--teams", "numbers of teams to run with, the base size first"))
        return spec
    }

    private fun commonSpec(description: String): CommandSpec {
        val spec = CommandSpec.create()
        spec.usageMessage().description(description)
        spec.addPositional(
            PositionalParamSpec
                .builder()
                .paramLabel("SCENARIO")
                .type(String::class.java)
                .required(true)
                .description("${ScenarioFile.BUNDLED.joinToString(", ")}, or a TOML file")
                .build(),
        )
        spec.addOption(numberOption("--seconds", "length of the measured part, in seconds"))
        spec.addOption(numberOption("--seed", "seed of the load"))
        spec.addOption(
            fileOption("--deploy", "deploy file that says how a controller is started", "deploy/service.toml"),
        )
        spec.addOption(fileOption("--report", "file for all figures (JSON)", null))
        return spec
    }

    private fun numberOption(
        name: String,
        description: String,
    ) = OptionSpec
        .builder(name)
        .paramLabel("N")
        .type(Int::class.javaObjectType)
        .description(description)
        .build()

    private fun listOption(
        name: String,
        description: String,
    ) = OptionSpec
        .builder(name)
        .paramLabel("N")
        .type(List::class.java)
        .auxiliaryTypes(Int::class.javaObjectType)
        .splitRegex(",")
        .description(description)
        .build()

    private fun fileOption(
        name: String,
        description: String,
        default: String?,
    ): OptionSpec {
        val builder =
            OptionSpec
                .builder(name)
                .paramLabel("FILE")
                .type(String::class.java)
                .description(description)
        if (default != null) builder.defaultValue(default)
        return builder.build()
    }

    /** Runs the command and returns the exit code. */
    fun run(parsed: ParseResult): Int {
        val subcommand = parsed.subcommand() ?: return usage(parsed)
        return try {
            if (subcommand.commandSpec().name() == "sweep") sweep(subcommand) else runOnce(subcommand)
        } catch (e: ScenarioError) {
            printRefusal(e)
        } catch (e: InsufficientResources) {
            printRefusal(e)
        } catch (e: ScaleRunFailed) {
            System.err.println("micatally: ${e.message}")
            FAILED
        }
    }

    private fun usage(parsed: ParseResult): Int {
        parsed.commandSpec().commandLine().usage(System.err)
        return REFUSED
    }

    private fun printRefusal(e: Exception): Int {
        System.err.println("micatally: ${e.message}")
        return REFUSED
    }

    private fun scenario(parsed: ParseResult): Scenario {
        val base = ScenarioFile.load(parsed.matchedPositionalValue(0, ""))
        return base.copy(
            seconds = parsed.matchedOptionValue("--seconds", base.seconds),
            seed = parsed.matchedOptionValue("--seed", base.seed),
        )
    }

    private fun runOnce(parsed: ParseResult): Int {
        val base = scenario(parsed)
        val size =
            SweepSize(
                parsed.matchedOptionValue("--workers", base.workerCount),
                parsed.matchedOptionValue("--controllers", base.controllers),
                parsed.matchedOptionValue("--teams", base.teams.count),
            )
        val report = runScenario(Sweep.scaled(base, size), parsed) ?: return FAILED
        save(parsed, JSON.encodeToString(ScaleReport.serializer(), report))
        println(ReportTable.of(report))
        return OK
    }

    private fun sweep(parsed: ParseResult): Int {
        val base = scenario(parsed)
        val workers = parsed.matchedOptionValue("--workers", listOf(base.workerCount))
        val controllers = parsed.matchedOptionValue("--controllers", listOf(base.controllers))
        val teams = parsed.matchedOptionValue("--teams", listOf(base.teams.count))
        val first = SweepSize(workers.first(), controllers.first(), teams.first())
        val sizes =
            workers.map { first.copy(workers = it) } + controllers.map { first.copy(controllers = it) } +
                teams.map { first.copy(teams = it) }
        val reports = LinkedHashMap<SweepSize, ScaleReport>()
        for (size in sizes.distinct()) {
            System.err.println("$size")
            reports[size] = runScenario(Sweep.scaled(base, size), parsed) ?: return FAILED
        }
        val slopes = SweepAxis.entries.flatMap { Sweep.fit(reports, first, it) }
        val report = SweepReport(reports.values.toList(), slopes)
        save(parsed, JSON.encodeToString(SweepReport.serializer(), report))
        println(Sweep.table(report))
        return OK
    }

    /** Runs a scenario and returns its report. If a rule was broken, prints what is known of it and returns null. */
    private fun runScenario(
        scenario: Scenario,
        parsed: ParseResult,
    ): ScaleReport? {
        MachineLimits.check(scenario)
        val properties = Files.createTempFile("micatally-scale", ".properties")
        Files.write(properties, operatorProperties(scenario))
        val deploy = Path.of(parsed.matchedOptionValue("--deploy", "deploy/service.toml"))
        val command = Deployment.command(deploy, listOf("--properties", properties.toString()))
        val run = ScaleRun(parsed.matchedPositionalValue(0, ""), scenario, command) { System.err.println(it) }
        val shutdownHook = Thread { run.close() }
        Runtime.getRuntime().addShutdownHook(shutdownHook)
        try {
            val report = run.run()
            val violation = run.violation ?: return report
            System.err.println("micatally: broken rule: ${violation.violation.message}")
            violation.history.forEach { System.err.println("  $it") }
            System.err.println("micatally: logs of the controllers are in ${run.logDirectory}")
            return null
        } finally {
            run.close()
            Files.deleteIfExists(properties)
            Runtime.getRuntime().removeShutdownHook(shutdownHook)
        }
    }

    private fun operatorProperties(scenario: Scenario): List<String> =
        KEEP_WORKERS +
            listOfNotNull(
                STORED_TEAMS.takeIf { scenario.configuration != null },
                ARCHIVE.takeIf { scenario.archive },
            )

    private fun save(
        parsed: ParseResult,
        json: String,
    ) {
        val file = parsed.matchedOptionValue("--report", null as String?) ?: return
        Files.writeString(Path.of(file), json + "\n")
    }
}
