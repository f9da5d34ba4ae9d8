package micatally.scale

/** How often something was done, its total time in ms and the longest single time in ms. */
class CpuUsageFigures(
    val count: Long,
    val totalMs: Long,
    val longestMs: Long,
)

/**
 * Sums the figures in the `cpu usage` lines of controller logs. A controller logs one such line about every worker
 * lease, see [micatally.controller.CpuUsage].
 *
 * @param lines lines of the logs; all others are ignored
 */
class CpuUsageLines(
    lines: List<String>,
) {
    private val usageLines = lines.filter { "micatally.cpu" in it }

    /** Number of `cpu usage` lines. Each covers the time of about one worker lease of one controller. */
    val lineCount = usageLines.size

    /** CPU usage by kind of work, summed over all lines. */
    val work: Map<String, CpuUsageFigures> = sumFields(Regex("""([a-z][a-z ]*)=(\d+)x/(\d+)ms/(\d+)ms"""))

    /** Writes to the state store by urgency, summed over all lines. The times are those that the writes waited. */
    val writes: Map<String, CpuUsageFigures> =
        sumFields(Regex("""([a-z]+):(\d+)x/(\d+)ms/(\d+)ms"""), "writes=", " requests=")

    val deltaBytesReceived = usageLines.sumOf { byteCount(it, "deltaBytesReceived=") }
    val deltaBytesAnswered = usageLines.sumOf { byteCount(it, "deltaBytesAnswered=") }

    /** Sums the fields that match [pattern] between [from] and [to] of each line, by their name. */
    private fun sumFields(
        pattern: Regex,
        from: String = "- cpu usage ",
        to: String = " machines=",
    ): Map<String, CpuUsageFigures> {
        val sums = LinkedHashMap<String, CpuUsageFigures>()
        for (line in usageLines) {
            for (match in pattern.findAll(line.substringAfter(from).substringBefore(to))) {
                val (name, count, total, longest) = match.destructured
                val before = sums[name] ?: CpuUsageFigures(0, 0, 0)
                sums[name] =
                    CpuUsageFigures(
                        before.count + count.toLong(),
                        before.totalMs + total.toLong(),
                        maxOf(before.longestMs, longest.toLong()),
                    )
            }
        }
        return sums
    }

    private fun byteCount(
        line: String,
        name: String,
    ) = line.substringAfter(name, "0").takeWhile { it.isDigit() }.toLong()
}
