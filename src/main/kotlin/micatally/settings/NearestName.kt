package micatally.settings

/** Returns the one of the [known] names with the smallest edit distance to [name]; null if none is known. */
fun nearestName(
    name: String,
    known: Collection<String>,
): String? = known.minByOrNull { editDistance(name, it) }

/** The Levenshtein distance: how many letters have to be inserted, deleted or replaced to make one word of the other. */
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
