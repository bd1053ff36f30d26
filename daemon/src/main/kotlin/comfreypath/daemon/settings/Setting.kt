package comfreypath.daemon.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import comfreypath.transport.Address
import java.time.Duration

private const val ENVIRONMENT_PREFIX = "COMFREYPATH_"
private const val MILLISECONDS_PER_SECOND = 1_000.0

/**
 * Definition of a setting that is set by a flag or by an environment variable of the same name.
 *
 * @property name lower case with hyphens
 * @property description phrase for the help text
 * @property unit unit or form of the value, for the help text
 * @property default the text that applies if the setting is not set; null if the setting is required
 * @property allowedValues description of the valid values, which ends an error message
 * @property parser returns the typed value, or null if the text is invalid
 */
data class Setting<T : Any>(
    val name: String,
    val description: String,
    val unit: String,
    val default: String?,
    val allowedValues: String,
    val parser: (String) -> T?,
) {
    /** The command line flag. */
    val flag: String get() = "--$name"

    /** The environment variable. */
    val envVariable: String get() = ENVIRONMENT_PREFIX + name.uppercase().replace('-', '_')

    /**
     * Parses [text], or the default if it is null or blank; the error names the setting, the text and the valid values.
     */
    fun parse(text: String?): Result<T, String> {
        val effective = text?.takeUnless { it.isBlank() } ?: default
        val value = effective?.let(parser)
        return when {
            effective == null -> Err("$flag ($envVariable) is not set; expected $allowedValues")
            value == null -> Err("$flag ($envVariable) is \"$effective\"; expected $allowedValues")
            else -> Ok(value)
        }
    }

    companion object {
        /** A setting whose value is a non-blank text. */
        fun text(name: String, description: String, default: String? = null) =
            Setting(name, description, "text", default, "a non-blank text") { it.takeIf { it.isNotBlank() } }

        /** An optional setting with any text; empty if it is not set. */
        fun optionalText(name: String, description: String) = Setting(name, description, "text", "", "any text") { it }

        /** A setting whose value is one of the keys of [choices]. */
        fun <T : Any> choice(name: String, description: String, default: String, choices: Map<String, T>) =
            Setting(name, description, "name", default, choices.keys.joinToString(" or ")) { choices[it] }

        /** A setting whose value is an IP address and a port. */
        fun address(name: String, description: String) =
            Setting(name, description, "IP:port", null, "an IP address and a port, such as 127.0.0.1:8080") {
                Address.parse(it)
            }

        /** A setting whose value is a comma-separated list of addresses. */
        fun addresses(name: String, description: String) = Setting(
            name = name,
            description = description,
            unit = "IP:port,...",
            default = "",
            allowedValues = "IP addresses with ports, separated by commas",
            parser = ::parseAddresses,
        )

        private fun parseAddresses(text: String): List<Address>? {
            val parts = text.split(',').filter { it.isNotBlank() }
            val addresses = parts.mapNotNull { Address.parse(it.trim()) }
            return addresses.takeIf { it.size == parts.size }
        }

        /** A setting whose value is an integer in [range]. */
        fun number(name: String, description: String, unit: String, default: Int, range: IntRange) = Setting(
            name = name,
            description = description,
            unit = unit,
            default = default.toString(),
            allowedValues = "an integer from ${range.first} to ${range.last}",
        ) { text -> text.toIntOrNull()?.takeIf { it in range } }

        /** A setting whose value is a number in [range]. */
        fun decimal(
            name: String,
            description: String,
            unit: String,
            default: Double,
            range: ClosedFloatingPointRange<Double>,
        ) = Setting(
            name = name,
            description = description,
            unit = unit,
            default = default.toString(),
            allowedValues = "a number from ${range.start} to ${range.endInclusive}",
        ) { text -> text.toDoubleOrNull()?.takeIf { it in range } }

        /** A setting whose value is a duration with a unit, such as `1.5s` or `200ms`, above 0 and at most [max]. */
        fun duration(name: String, description: String, default: Duration, max: Duration) = Setting(
            name = name,
            description = description,
            unit = "time",
            default = "${default.toMillis()}ms",
            allowedValues = "a time such as 1.5s or 200ms, above 0 and at most ${max.toSeconds()}s",
        ) { text -> parseDuration(text)?.takeIf { it > Duration.ZERO && it <= max } }

        private fun parseDuration(text: String): Duration? {
            val milliseconds = when {
                text.endsWith("ms") -> text.removeSuffix("ms").toDoubleOrNull()
                text.endsWith("s") -> text.removeSuffix("s").toDoubleOrNull()?.times(MILLISECONDS_PER_SECOND)
                else -> null
            }
            return milliseconds?.let { Duration.ofMillis(it.toLong()) }
        }
    }
}
