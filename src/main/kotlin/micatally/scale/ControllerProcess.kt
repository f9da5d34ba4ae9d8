package micatally.scale

import micatally.emulator.ControllerPlace
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** Processor time since its start and resident memory of a process. */
class ProcessSample(
    val processorMs: Long,
    val residentBytes: Long,
    val peakResidentBytes: Long,
)

/**
 * A controller as a process of its own, started from [command], the settings file last.
 *
 * @property logFile what it writes to standard error, also over several starts
 */
class ControllerProcess(
    val place: ControllerPlace,
    private val command: List<String>,
    private val logFile: Path,
) {
    private var process: Process? = null

    val isAlive get() = process?.isAlive == true
    val id get() = process?.pid()
    val logBytes get() = if (Files.exists(logFile)) Files.size(logFile) else 0L

    @Synchronized
    fun start() {
        check(!isAlive) { "${place.host} runs already" }
        val builder = ProcessBuilder(command)
        builder.environment()["LOG_LEVEL"] = "warn"
        builder.redirectOutput(ProcessBuilder.Redirect.DISCARD)
        builder.redirectError(ProcessBuilder.Redirect.appendTo(logFile.toFile()))
        process = builder.start()
    }

    /** Ends the process at once, by its own id, and waits until it is gone. */
    @Synchronized
    fun kill() {
        val running = process ?: return
        running.destroyForcibly()
        running.waitFor(KILL_SECONDS, TimeUnit.SECONDS)
    }

    /** Null when the process has ended. */
    fun sample(): ProcessSample? {
        val pid = id ?: return null
        return try {
            // The second field may hold spaces; what follows its bracket is numbers.
            val fields =
                Files
                    .readString(Path.of("/proc/$pid/stat"))
                    .substringAfterLast(')')
                    .trim()
                    .split(' ')
            val ticks = fields[USER_TICKS].toLong() + fields[SYSTEM_TICKS].toLong()
            val status = Files.readAllLines(Path.of("/proc/$pid/status"))
            ProcessSample(ticks * MS_A_TICK, kilobytes(status, "VmRSS:"), kilobytes(status, "VmHWM:"))
        } catch (e: java.io.IOException) {
            null
        }
    }

    private fun kilobytes(
        status: List<String>,
        name: String,
    ): Long {
        val line = status.find { it.startsWith(name) } ?: return 0
        return line
            .removePrefix(name)
            .trim()
            .substringBefore(' ')
            .toLong() * 1024
    }

    /** The lines logged after [offset] bytes of the log. */
    fun logLinesSince(offset: Long): List<String> {
        if (!Files.exists(logFile)) return emptyList()
        val bytes = Files.readAllBytes(logFile)
        return String(bytes, offset.toInt(), bytes.size - offset.toInt()).lines()
    }

    private companion object {
        const val KILL_SECONDS = 10L

        /** Places in /proc/PID/stat, counted from the field after the name. */
        const val USER_TICKS = 11
        const val SYSTEM_TICKS = 12
        const val MS_A_TICK = 10L
    }
}
