package micatally.config

import micatally.settings.Team
import micatally.wire.ConfigurationChange
import micatally.wire.LineError
import micatally.wire.TeamSetting

/** Validates a change of the configuration against the current configuration. Pure functions without I/O. */
object ChangeCheck {
    /**
     * Returns all errors of the change, or an empty list if it is valid. Each error names the team that it concerns;
     * the name is empty if the error concerns the change as a whole.
     */
    fun errors(
        change: ConfigurationChange,
        current: Configuration,
    ): List<LineError> {
        val errors = ArrayList<LineError>()
        errors.addAll(textErrors(change))
        if (change.set.isEmpty() && change.remove.isEmpty()) errors.add(LineError("", "nothing to change"))
        if (change.base > current.version) {
            errors.add(LineError("", "version ${change.base} does not exist; the newest is ${current.version}"))
        }
        errors.addAll(duplicateErrors(change))
        for (setting in change.set) {
            settingErrors(setting, current).forEach { errors.add(LineError(setting.name, it)) }
        }
        for (name in change.remove) {
            if (current.team(name) == null) errors.add(LineError(name, "there is no such team to remove"))
        }
        return errors
    }

    private fun textErrors(change: ConfigurationChange): List<LineError> {
        val errors = ArrayList<LineError>()
        val hasId = NAME.matches(change.id)
        if (!hasId) errors.add(LineError("", "the change has no id, or one with other signs than a name"))
        if (change.author.isBlank()) errors.add(LineError("", "author is missing"))
        if (change.reason.isBlank()) errors.add(LineError("", "reason is missing"))
        if (change.author.length > MAX_TEXT_LENGTH) {
            errors.add(LineError("", "author is longer than $MAX_TEXT_LENGTH characters"))
        }
        if (change.reason.length > MAX_TEXT_LENGTH) {
            errors.add(LineError("", "reason is longer than $MAX_TEXT_LENGTH characters"))
        }
        return errors
    }

    private fun duplicateErrors(change: ConfigurationChange): List<LineError> {
        val counts = (change.set.map { it.name } + change.remove).groupingBy { it }.eachCount()
        return counts.filterValues { it > 1 }.map { (name, count) -> LineError(name, "named $count times") }
    }

    /** Returns the teams of the change that were changed after its base version. */
    fun conflicts(
        change: ConfigurationChange,
        current: Configuration,
    ): List<String> =
        (change.set.map { it.name } + change.remove).filter { name ->
            (current.entry(name)?.changedAt ?: 0L) > change.base
        }

    private fun settingErrors(
        setting: TeamSetting,
        current: Configuration,
    ): List<String> {
        val errors = ArrayList<String>()
        if (!NAME.matches(setting.name)) {
            errors.add("a name has 1 to $MAX_NAME_LENGTH letters, digits, dots, hyphens and underscores")
        }
        errors.addAll(numberErrors(setting))
        if (setting.coresMax > 0 && setting.cores > setting.coresMax) errors.add("cpus is above cpus_max")
        if (setting.gpusMax > 0 && setting.gpus > setting.gpusMax) errors.add("gpus is above gpus_max")
        current.entry(setting.name)?.let { errors.addAll(limitErrors(setting, it.team)) }
        return errors
    }

    private fun numberErrors(setting: TeamSetting): List<String> {
        val numbers =
            mapOf(
                "cpus" to setting.cores,
                "cpus_max" to setting.coresMax,
                "gpus" to setting.gpus,
                "gpus_max" to setting.gpusMax,
            )
        return numbers.mapNotNull { (field, value) ->
            when {
                !value.isFinite() -> "$field is not a number"
                value < 0 -> "$field must not be negative"
                else -> null
            }
        }
    }

    /**
     * Returns an error for each limit of a team that would be added or removed. A team can't switch between limited and
     * unlimited. Tasks of an unlimited team are not counted in its allotments, so a limit that is set later would not
     * apply to them. Likewise, tasks that run when a limit is removed would be missing from the allotments if the limit
     * were set again.
     */
    private fun limitErrors(
        setting: TeamSetting,
        stored: Team,
    ): List<String> {
        val errors = ArrayList<String>()
        if ((setting.coresMax > 0) != (stored.coresMax > 0)) errors.add(LIMIT_KIND_IS_FIXED.format("cpus_max"))
        if ((setting.gpusMax > 0) != (stored.gpusMax > 0)) errors.add(LIMIT_KIND_IS_FIXED.format("gpus_max"))
        return errors
    }

    private const val LIMIT_KIND_IS_FIXED =
        "%s can't go between 0 (no limit) and a limit while the team exists; set a high one"

    /** The longest name. Names are part of keys in the state store, and a key has at most 200 bytes. */
    private const val MAX_NAME_LENGTH = 100
    private val NAME = Regex("[A-Za-z0-9._-]{1,$MAX_NAME_LENGTH}")
    private const val MAX_TEXT_LENGTH = 200
}
