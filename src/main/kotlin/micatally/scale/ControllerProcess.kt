package micatally.scale

import micatally.emulator.ControllerPlace
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** CPU time in ms that a process has used since its start, and its resident memory. */
class ProcessSample(
    val cpuMs: Long,
    val residentBytes: Long,
    val peakResidentBytes: Long,
)

/**
 * A controller that runs as a separate process.
 *
 * @param command the command line that starts it, ending with the settings file
 * @param logFile receives its standard error; each start appends to the file
 */
class ControllerProcess(
    val place: ControllerPlace,
    private val command: List<String>,
    private val logFile: Path,
) {
    private var process: Process? = null

    val isAlive get() = process?.isAlive == true
    val processId get() = process?.pid()
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

    /** Kills the process without a graceful shutdown and waits up to [KILL_SECONDS] s until it has ended. */
    @Synchronized
    fun kill() {
        val running = process ?: return
        running.destroyForcibly()
        running.waitFor(KILL_SECONDS, TimeUnit.SECONDS)
    }

    /** Reads the figures of the process from `/proc`; null if it was never started or has ended. */
    fun sample(): ProcessSample? {
        val pid = processId ?: return null
        return try {
            // The second field is the command in parentheses and may hold spaces; only the fields after it are split.
            val fields =
                Files
                    .readString(Path.of("/proc/$pid/stat"))
                    .substringAfterLast(')')
                    .trim()
                    .split(' ')
            val cpuTicks = fields[USER_TICKS].toLong() + fields[SYSTEM_TICKS].toLong()
            val status = Files.readAllLines(Path.of("/proc/$pid/status"))
            ProcessSample(cpuTicks * MS_PER_TICK, readBytes(status, "VmRSS:"), readBytes(status, "VmHWM:"))
        } catch (e: java.io.IOException) {
            null
        }
    }

    /** Returns the value of the line [name] in bytes; the file states it in kB. */
    private fun readBytes(
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

    /** Returns the lines that the log file holds after its first [offset] bytes. */
    fun logLinesSince(offset: Long): List<String> {
        if (!Files.exists(logFile)) return emptyList()
        val bytes = Files.readAllBytes(logFile)
        return String(bytes, offset.toInt(), bytes.size - offset.toInt()).lines()
    }

    private companion object {
        const val KILL_SECONDS = 10L

        /** Indices in `/proc/PID/stat`, counted from 0 at the field after the command. */
        const val USER_TICKS = 11
        const val SYSTEM_TICKS = 12

        /** `/proc/PID/stat` counts CPU time in ticks of 10 ms. */
        const val MS_PER_TICK = 10L
    }
}
