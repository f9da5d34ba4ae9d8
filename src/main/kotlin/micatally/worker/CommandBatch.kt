package micatally.worker

import micatally.job.Attempt
import micatally.wire.Command

/**
 * One request to a machine.
 *
 * @property fencingToken the token under which the commands were decided; the machine rejects the request if it knows a higher one
 * @property incarnation the incarnation of the machine for which the commands are meant
 * @property commands may be empty: then only the response is wanted, which lists what the machine runs
 * @property coveredAttempts the attempts for which the response is conclusive: one that it doesn't list is not on the machine
 */
class CommandBatch(
    val fencingToken: Long,
    val incarnation: Long,
    val commands: List<Command>,
    val coveredAttempts: List<Attempt>,
)
