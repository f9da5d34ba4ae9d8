package micatally.scale

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.dataformat.toml.TomlMapper
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.decodeFromJsonElement
import micatally.settings.nearestName
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Reads and checks scenarios, from TOML files or from the resources of the program. */
object ScenarioFile {
    /** Names of the scenarios that are part of the program. */
    val BUNDLED = listOf("target", "machines", "restart", "failures", "today", "smoke")

    /**
     * Reads and checks a scenario.
     *
     * @param name one of [BUNDLED], or the path of a TOML file
     * @throws ScenarioError if the scenario can't be read or is not valid
     */
    fun load(name: String): Scenario = parse(text(name))

    private fun text(name: String): String {
        if (name in BUNDLED) {
            val resource = checkNotNull(javaClass.getResourceAsStream("/scale/$name.toml")) { "no resource $name.toml" }
            return resource.use { it.readBytes().decodeToString() }
        }
        try {
            return Files.readString(Path.of(name))
        } catch (e: IOException) {
            throw ScenarioError("no scenario $name: neither a file nor one of ${BUNDLED.joinToString(", ")}", e)
        }
    }

    /**
     * Parses and checks the text of a scenario.
     *
     * @throws ScenarioError if it is not valid
     */
    fun parse(toml: String): Scenario {
        val tree =
            try {
                Json.parseToJsonElement(TomlMapper().readTree(toml).toString())
            } catch (e: JsonProcessingException) {
                throw ScenarioError("not TOML: ${e.originalMessage}", e)
            }
        checkKeys(tree, Scenario.serializer().descriptor, "")
        val scenario =
            try {
                Json.decodeFromJsonElement<Scenario>(tree)
            } catch (e: SerializationException) {
                throw ScenarioError(e.message?.lineSequence()?.first() ?: "a value has the wrong type", e)
            } catch (e: IllegalArgumentException) {
                throw ScenarioError(e.message?.lineSequence()?.first() ?: "a value has the wrong type", e)
            }
        ScenarioCheck.check(scenario)
        return scenario
    }

    /** Throws an error for a key that the scenario does not have; the message suggests the most similar known key. */
    private fun checkKeys(
        element: JsonElement,
        descriptor: SerialDescriptor,
        path: String,
    ) {
        when (element) {
            is JsonObject ->
                for ((name, value) in element) {
                    val index = descriptor.getElementIndex(name)
                    if (index < 0) throw unknownKey(path + name, name, descriptor)
                    checkKeys(value, descriptor.getElementDescriptor(index), "$path$name.")
                }
            is JsonArray ->
                for ((i, value) in element.withIndex()) {
                    checkKeys(value, descriptor.getElementDescriptor(0), "${path.removeSuffix(".")}[$i].")
                }
            else -> {}
        }
    }

    private fun unknownKey(
        path: String,
        name: String,
        descriptor: SerialDescriptor,
    ): ScenarioError {
        val known = descriptor.elementNames.toList()
        return ScenarioError("unknown key $path; did you mean ${nearestName(name, known) ?: "nothing"}?")
    }
}

/** Checks the values of a scenario, each by itself and together. */
internal object ScenarioCheck {
    private val FORMATS = listOf("sweep", "daemon")
    private val PRIORITIES = listOf("production", "high", "standard", "low")

    /** @throws ScenarioError if a value is not valid; the message names its key */
    fun check(scenario: Scenario) {
        require(scenario.seconds in 1..MAX_SECONDS) { "seconds must be from 1 to $MAX_SECONDS" }
        require(scenario.warmupSeconds in 0..MAX_SECONDS) { "warmupSeconds must be from 0 to $MAX_SECONDS" }
        require(scenario.drainSeconds in 0..MAX_SECONDS) { "drainSeconds must be from 0 to $MAX_SECONDS" }
        require(scenario.controllers in 1..MAX_CONTROLLERS) { "controllers must be from 1 to $MAX_CONTROLLERS" }
        require(scenario.storedJobs in 0..MAX_STORED_JOBS) { "storedJobs must be from 0 to $MAX_STORED_JOBS" }
        require(scenario.zones.isNotEmpty()) { "zones must not be empty" }
        require(scenario.workerCount >= 1) { "the counts of workers.types must add up to at least 1" }
        require(scenario.controllerSockets >= MIN_SOCKETS) { "controllerSockets must be at least $MIN_SOCKETS" }
        require(scenario.teams.count in 1..MAX_TEAMS) { "teams.count must be from 1 to $MAX_TEAMS" }
        require(scenario.users.pollSeconds > 0) { "users.pollSeconds must be above 0" }
        require(scenario.stateService.requestsPerSecond > 0 && scenario.stateService.writesPerSecond > 0) {
            "stateService.requestsPerSecond and writesPerSecond must be above 0"
        }
        checkTimes(scenario.workers)
        scenario.jobs.forEach { checkJobs(it) }
        scenario.failures.forEach { checkFailure(it, scenario) }
    }

    private fun checkTimes(workers: WorkerPlan) {
        require(workers.reportSeconds > 0) { "workers.reportSeconds must be above 0" }
        require(workers.leaseSeconds >= workers.reportSeconds * 2) {
            "workers.leaseSeconds must be at least twice reportSeconds"
        }
        require(workers.cancelSeconds >= workers.leaseSeconds) { "workers.cancelSeconds must be at least leaseSeconds" }
    }

    private fun checkJobs(jobs: JobClassPlan) {
        val name = jobs.name
        require(jobs.format in FORMATS) { "jobs $name: format must be one of ${FORMATS.joinToString(", ")}" }
        require(jobs.priority in PRIORITIES) { "jobs $name: priority must be one of ${PRIORITIES.joinToString(", ")}" }
        require(jobs.tasks > 0 && jobs.images > 0) { "jobs $name: tasks and images must be above 0" }
        require(jobs.cores >= 0 && jobs.gpus >= 0 && jobs.ramGb >= 0) {
            "jobs $name: cores, cards and ramGb must not be negative"
        }
        require(jobs.atStart >= 0 && jobs.perSecond >= 0) { "jobs $name: atStart and perSecond must not be negative" }
        require(jobs.cancelShare in 0.0..1.0) { "jobs $name: cancelShare must be from 0 to 1" }
        require(jobs.runSpread in 0.0..1.0) { "jobs $name: runSpread must be from 0 to 1" }
        require(jobs.format == "daemon" || jobs.runSeconds > 0) { "jobs $name: runSeconds must be above 0" }
    }

    private fun checkFailure(
        failure: FailurePlan,
        scenario: Scenario,
    ) {
        require(failure.kind in FailurePlan.KINDS) {
            "failures: kind ${failure.kind} is not known; did you mean ${nearestName(failure.kind, FailurePlan.KINDS)}?"
        }
        require(failure.zone == null || failure.zone in scenario.zones) { "failures: no zone ${failure.zone}" }
    }

    private fun require(
        holds: Boolean,
        message: () -> String,
    ) {
        if (!holds) throw ScenarioError(message())
    }

    private const val MAX_SECONDS = 3600
    private const val MAX_CONTROLLERS = 11
    private const val MIN_SOCKETS = 100
    private const val MAX_TEAMS = 1000
    private const val MAX_STORED_JOBS = 1_000_000
}
