package micatally.scale

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.dataformat.toml.TomlMapper
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Reads from a file under `deploy/` how a controller is started. */
object Deployment {
    /**
     * Returns the command line of the deploy file's `run`, up to and including `--config`; the caller appends the
     * settings file. A Java option after the first word turns on the `cpu usage` log lines, and [extraArguments]
     * precede `--config`.
     *
     * @throws ScenarioError if the file can't be read, or `run` does not end with `--config`
     */
    fun command(
        deployFile: Path,
        extraArguments: List<String> = emptyList(),
    ): List<String> {
        val run =
            try {
                TomlMapper().readTree(Files.readString(deployFile)).path("run").asText("")
            } catch (e: IOException) {
                throw ScenarioError("deploy file $deployFile can't be read", e)
            } catch (e: JsonProcessingException) {
                throw ScenarioError("deploy file $deployFile is not TOML", e)
            }
        val words = run.split(' ').filter { it.isNotEmpty() }
        if (words.size < 2 || words.last() != "--config") {
            throw ScenarioError("deploy file $deployFile: run must end with --config")
        }
        return listOf(words.first(), CPU_USAGE_LOG_OPTION) + words.drop(1).dropLast(1) + extraArguments + words.last()
    }

    private const val CPU_USAGE_LOG_OPTION = "-Dorg.slf4j.simpleLogger.log.micatally.cpu=info"
}
