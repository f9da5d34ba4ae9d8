package micatally.membership

class ShardLeader(
    val host: String,
    val process: String,
    val fencingToken: Long,
    val modRevision: Long,
)
