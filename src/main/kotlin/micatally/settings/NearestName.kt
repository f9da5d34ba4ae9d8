package micatally.settings

/** Returns the name in [known] with the smallest edit distance to [name]; null if [known] is empty. */
fun nearestName(
    name: String,
    known: Collection<String>,
): String? = known.minByOrNull { editDistance(name, it) }

/**
 * Returns the Levenshtein distance: how many letters have to be inserted, deleted or replaced to turn [from] into [to].
 */
private fun editDistance(
    from: String,
    to: String,
): Int {
    var previousRow = IntArray(to.length + 1) { it }
    for (i in 1..from.length) {
        val row = IntArray(to.length + 1)
        row[0] = i
        for (j in 1..to.length) {
            val replaced = previousRow[j - 1] + if (from[i - 1] == to[j - 1]) 0 else 1
            row[j] = minOf(previousRow[j] + 1, row[j - 1] + 1, replaced)
        }
        previousRow = row
    }
    return previousRow[to.length]
}
