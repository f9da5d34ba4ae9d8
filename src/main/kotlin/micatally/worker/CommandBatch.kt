package micatally.worker

import micatally.job.Attempt
import micatally.wire.Command

/**
 * The commands of one request to a machine.
 *
 * @property fencingToken the token under which the commands were decided; the machine rejects the request if it knows a
 *   higher one
 * @property incarnation the incarnation of the machine for which the commands are meant
 * @property commands the commands to send; empty if the request is sent only for its response, which lists the
 *   machine's tasks
 * @property coveredAttempts the attempts about which the response is conclusive: if it does not list one of them, that
 *   attempt is not on the machine
 */
class CommandBatch(
    val fencingToken: Long,
    val incarnation: Long,
    val commands: List<Command>,
    val coveredAttempts: List<Attempt>,
)
