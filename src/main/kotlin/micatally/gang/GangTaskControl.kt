package micatally.gang

import micatally.job.Attempt
import micatally.job.AttemptTermination
import micatally.worker.Machine

/** What [GangSupervisor] needs of the manager of the jobs. */
interface GangTaskControl {
    /** Ends an attempt of which no command was ever sent to its machine. */
    fun terminate(
        attempt: Attempt,
        termination: AttemptTermination,
    )

    /** Requests that pending commands, such as stops, are sent to the machine. */
    fun requestSync(machine: Machine)
}
