package micatally.scheduling

/** Why no task may be placed on a machine. If several reasons apply, the first one counts. */
enum class UnusableReason {
    /** The machine is known to be deleted in the cloud. */
    DELETED,

    /** The machine is being drained. */
    DRAINING,

    /** The cloud has given notice that it will reclaim the machine. */
    SPOT_NOTICE,

    /** This controller has not learned the machine's incarnation or its address. */
    STATUS_UNKNOWN,

    /** No controller has received a heartbeat of the machine lately, as far as this one knows. */
    SILENT,

    /** The machine did not respond to the last command request of this controller. */
    UNREACHABLE,

    /** The machine lately refused a task for lack of capacity. */
    REFUSED_TASK,

    /** The machine lists so many ended tasks that some have to be cleared first. */
    LIST_FULL,

    /** Tasks of several jobs have failed on the machine. */
    FAULTY,
}
