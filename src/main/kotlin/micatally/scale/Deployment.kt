package micatally.scale

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.dataformat.toml.TomlMapper
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** How a file under `deploy/` starts a controller. */
object Deployment {
    /** The words of the deploy file's `run`, with the log of the controllers' own figures switched on. */
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
        return listOf(words.first(), LOG_EFFORT) + words.drop(1).dropLast(1) + extraArguments + words.last()
    }

    private const val LOG_EFFORT = "-Dorg.slf4j.simpleLogger.log.micatally.cpu=info"
}
