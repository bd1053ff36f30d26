package comfreypath.daemon.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import comfreypath.transport.Address
import java.time.Duration

private const val ENVIRONMENT_PREFIX = "COMFREYPATH_"
private const val MILLISECONDS_PER_SECOND = 1_000.0

/**
 * A setting of a daemon, given as a flag or as an environment variable of the same name.
 *
 * @property name in lower case with hyphens
 * @property unit what the value is, for the help text
 * @property default the text that stands when the setting is not given; null when it must be given
 * @property allowedValues what values are allowed, as a sentence's end
 * @property parser gives the typed value, or null when the text is not allowed
 */
data class Setting<T : Any>(
    val name: String,
    val description: String,
    val unit: String,
    val default: String?,
    val allowedValues: String,
    val parser: (String) -> T?,
) {
    /** The flag on the command line. */
    val flag: String get() = "--$name"

    /** The environment variable. */
    val envVariable: String get() = ENVIRONMENT_PREFIX + name.uppercase().replace('-', '_')

    /** The typed value of [text]; the error names the setting, the value, and what is allowed. */
    fun parse(text: String?): Result<T, String> {
        val given = text ?: default
        val value = given?.let(parser)
        return when {
            given == null -> Err("$flag ($envVariable) is not set; allowed is $allowedValues")
            value == null -> Err("$flag ($envVariable) is \"$given\"; allowed is $allowedValues")
            else -> Ok(value)
        }
    }

    companion object {
        /** A setting that is any text but an empty one. */
        fun text(name: String, description: String, default: String? = null) =
            Setting(name, description, "text", default, "a text that is not empty") { it.takeIf { it.isNotBlank() } }

        /** A setting that may be left out. */
        fun optionalText(name: String, description: String) = Setting(name, description, "text", "", "any text") { it }

        /** A setting that is one of the names of [choices]. */
        fun <T : Any> choice(name: String, description: String, default: String, choices: Map<String, T>) =
            Setting(name, description, "name", default, choices.keys.joinToString(" or ")) { choices[it] }

        /** A setting that is an IP number and a port. */
        fun address(name: String, description: String) =
            Setting(name, description, "IP:port", null, "an IP number and a port, such as 127.0.0.1:8080") {
                Address.parse(it)
            }

        /** A setting that is a list of addresses. */
        fun addresses(name: String, description: String) = Setting(
            name = name,
            description = description,
            unit = "IP:port,...",
            default = "",
            allowedValues = "IP numbers and ports, separated by commas",
            parser = ::parseAddresses,
        )

        private fun parseAddresses(text: String): List<Address>? {
            val parts = text.split(',').filter { it.isNotBlank() }
            val addresses = parts.mapNotNull { Address.parse(it.trim()) }
            return addresses.takeIf { it.size == parts.size }
        }

        /** A setting that is a whole number in [range]. */
        fun number(name: String, description: String, unit: String, default: Int, range: IntRange) = Setting(
            name = name,
            description = description,
            unit = unit,
            default = default.toString(),
            allowedValues = "a whole number from ${range.first} to ${range.last}",
        ) { text -> text.toIntOrNull()?.takeIf { it in range } }

        /** A setting that is a number in [range]. */
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

        /** A setting that is a time with its unit, such as `1.5s` or `200ms`, over 0 and up to [max]. */
        fun duration(name: String, description: String, default: Duration, max: Duration) = Setting(
            name = name,
            description = description,
            unit = "time",
            default = "${default.toMillis()}ms",
            allowedValues = "a time such as 1.5s or 200ms, over 0, up to ${max.toSeconds()}s",
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
