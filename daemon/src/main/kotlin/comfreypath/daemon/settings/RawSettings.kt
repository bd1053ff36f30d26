package comfreypath.daemon.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import org.kohsuke.args4j.spi.FieldSetter
import org.kohsuke.args4j.spi.Setter
import java.io.File
import java.io.IOException
import java.lang.reflect.AnnotatedElement
import java.util.Properties

/**
 * Unparsed settings of a command, from flags, environment variables and the settings file.
 *
 * @property values the text of each setting that is set, by setting name
 */
class RawSettings(private val values: Map<String, String>) {
    private val errors = mutableListOf<String>()

    /** The first parse error of the values read so far, or null. */
    val firstError: String? get() = errors.firstOrNull()

    /** Parses the value of [setting]; records an error and returns [fallback] if the value is missing or invalid. */
    fun <T : Any> valueOf(setting: Setting<T>, fallback: T): T = setting.parse(values[setting.name]).fold(
        success = { it },
        failure = {
            errors += it
            fallback
        },
    )

    /** Returns the text of [setting], or its default if it is not set. */
    fun rawValue(setting: Setting<*>): String =
        if (isSet(setting)) values.getValue(setting.name) else setting.default.orEmpty()

    /** True if [setting] has a value; one that is blank has none, since templates leave it so for an absent field. */
    fun isSet(setting: Setting<*>): Boolean = !values[setting.name].isNullOrBlank()

    companion object {
        /** Environment variable with the path of the settings file. */
        const val FILE_VARIABLE = "COMFREYPATH_SETTINGS"

        /**
         * Reads the settings from flags, environment variables and the file of `name=value` lines that
         * [FILE_VARIABLE] names, if any. Flags take precedence over variables, and variables over the file.
         *
         * Unknown flags and an unreadable file are errors; the error is one line of readable text.
         */
        fun read(
            settings: List<Setting<*>>,
            arguments: List<String>,
            environment: Map<String, String>,
        ): Result<RawSettings, String> {
            return try {
                val flags = if (arguments.isEmpty()) emptyMap() else parseFlags(settings, arguments)
                val variables = settings.filter { it.envVariable in environment }
                    .associate { it.name to environment.getValue(it.envVariable) }
                Ok(RawSettings(readFile(environment[FILE_VARIABLE]) + variables + flags))
            } catch (exception: CmdLineException) {
                Err(exception.message.orEmpty().lineSequence().first())
            } catch (exception: IOException) {
                Err("the settings file ${environment[FILE_VARIABLE]} can't be read: ${exception.message}")
            }
        }

        private fun parseFlags(settings: List<Setting<*>>, arguments: List<String>): Map<String, String> {
            val flags = HashMap<String, String>()
            val parser = CmdLineParser(null)
            settings.forEach { parser.addOption(MapSetter(it.name, flags), toOption(it)) }
            parser.parseArgument(arguments)
            return flags
        }

        private fun readFile(path: String?): Map<String, String> {
            val properties = Properties()
            path?.let { File(it).reader().use(properties::load) }
            return properties.stringPropertyNames().associateWith { properties.getProperty(it).trim() }
        }

        private fun toOption(setting: Setting<*>) = Option(
            name = setting.flag,
            usage = setting.description,
            metaVar = setting.unit,
        )

        /** Returns the help text: flag, unit, environment variable, description and default of each setting. */
        fun help(settings: List<Setting<*>>): String = settings.joinToString("\n") { setting ->
            val default = when {
                setting.default == null -> "required"
                setting.default.isEmpty() -> "not set by default"
                else -> "default ${setting.default}"
            }
            "  ${setting.flag} <${setting.unit}>  (${setting.envVariable})\n      ${setting.description}; $default"
        }
    }
}

private class MapSetter(private val name: String, private val values: MutableMap<String, String>) : Setter<String> {
    override fun addValue(value: String) {
        values[name] = value
    }

    override fun getType(): Class<String> = String::class.java
    override fun isMultiValued(): Boolean = false
    override fun asFieldSetter(): FieldSetter? = null
    override fun asAnnotatedElement(): AnnotatedElement? = null
}
