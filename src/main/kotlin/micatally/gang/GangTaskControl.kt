package micatally.gang

import micatally.job.Attempt
import micatally.job.AttemptTermination
import micatally.worker.Machine

/** The operations on attempts and machines that [GangSupervisor] uses. */
interface GangTaskControl {
    /** Ends an attempt for which no command was ever sent to its machine. */
    fun terminate(
        attempt: Attempt,
        termination: AttemptTermination,
    )

    /** Requests that pending commands, such as stops, are sent to the machine. */
    fun requestSync(machine: Machine)
}
