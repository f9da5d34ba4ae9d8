package micatally.settings

/** The one of the [known] names that takes the fewest changed letters to make of [name]; null if none is known. */
fun nearestName(
    name: String,
    known: Collection<String>,
): String? = known.minByOrNull { editDistance(name, it) }

/** How many letters have to change to make one word of the other. */
private fun editDistance(
    a: String,
    b: String,
): Int {
    var row = IntArray(b.length + 1) { it }
    for (i in 1..a.length) {
        val next = IntArray(b.length + 1)
        next[0] = i
        for (j in 1..b.length) {
            val replaced = row[j - 1] + if (a[i - 1] == b[j - 1]) 0 else 1
            next[j] = minOf(row[j] + 1, next[j - 1] + 1, replaced)
        }
        row = next
    }
    return row[b.length]
}
