package micatally.compatibility

/**
 * The kinds of values in the state store. A kind is named by the prefix of its keys, without the slash at the end and
 * with hyphens for the other slashes. The resource with its values under `stored/` has the same name.
 */
internal object StoredKind {
    private val KEY_PREFIXES =
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

    /**
     * The kind of the value that is stored under [key].
     *
     * @throws NoSuchElementException if the key has none of the known prefixes
     */
    fun of(key: String): String = KEY_PREFIXES.first { key.startsWith(it) }.removeSuffix("/").replace('/', '-')
}
