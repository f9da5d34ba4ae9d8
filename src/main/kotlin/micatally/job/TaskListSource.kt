package micatally.job

/** How a task list of a machine reached this controller, which decides what it proves. */
enum class TaskListSource {
    /** A heartbeat, received here or by another controller. It may be older than a command that was sent since. */
    HEARTBEAT,

    /** The response to this controller's own command. */
    COMMAND_RESPONSE,
}
