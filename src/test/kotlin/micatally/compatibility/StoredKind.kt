package micatally.compatibility

/** The kinds of stored values by the literal beginnings of their keys, which are also the names of the resources. */
internal object StoredKind {
    private val BEGINNINGS =
        listOf(
            "c/epoch",
            "c/fleet",
            "c/format",
            "c/version/",
            "c/ledger/",
            "c/live/",
            "c/team/",
            "c/gone/",
            "c/rent/",
            "c/kill/",
            "c/drain/",
            "c/archive/",
            "c/config",
            "s/room/",
            "s/heard/",
            "job/",
            "final/",
            "part/",
            "flavors",
            "config/change/",
            "config/snapshot/",
            "config/part/",
        )

    /** @throws NoSuchElementException if the key is of no known kind */
    fun of(key: String): String = BEGINNINGS.first { key.startsWith(it) }.removeSuffix("/").replace('/', '-')
}
