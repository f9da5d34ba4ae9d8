package micatally.scale

/** What a kind of work took over some time: how often, how long in all and at the longest. */
class CpuUsageFigures(
    val count: Long,
    val totalMs: Long,
    val longestMs: Long,
)

/** Reads the lines that controllers log once a lease, see [micatally.controller.CpuUsage]. */
class CpuUsageLines(
    lines: List<String>,
) {
    private val usageLines = lines.filter { "micatally.cpu" in it }

    /** How many there are; each tells of about one lease. */
    val count = usageLines.size

    /** By kind of work, for all lines together. */
    val work: Map<String, CpuUsageFigures> = sum(Regex("""([a-z][a-z ]*)=(\d+)x/(\d+)ms/(\d+)ms"""))

    /** Writes to the state service by urgency; the longest time is how long one of them waited. */
    val writes: Map<String, CpuUsageFigures> =
        sum(Regex("""([a-z]+):(\d+)x/(\d+)ms/(\d+)ms"""), "writes=", " requests=")

    val deltaBytesReceived = usageLines.sumOf { number(it, "deltaBytesReceived=") }
    val deltaBytesAnswered = usageLines.sumOf { number(it, "deltaBytesAnswered=") }

    private fun sum(
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

    private fun number(
        line: String,
        name: String,
    ) = line.substringAfter(name, "0").takeWhile { it.isDigit() }.toLong()
}
