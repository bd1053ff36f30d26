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

/** The texts that were given for settings; flags win over environment variables. */
class RawSettings(private val texts: Map<String, String>) {
    private val faults = mutableListOf<String>()

    /** The first fault among the values taken so far, or null. */
    val firstError: String? get() = faults.firstOrNull()

    /** The value of [setting]; a wrong one is noted as a fault, and the setting's own default stands in for it. */
    fun <T : Any> valueOf(setting: Setting<T>, fallback: T): T = setting.parse(texts[setting.name]).fold(
        success = { it },
        failure = {
            faults += it
            fallback
        },
    )

    /** The text in force for [setting]. */
    fun rawValue(setting: Setting<*>): String = texts[setting.name] ?: setting.default.orEmpty()

    companion object {
        /** The environment variable that names a file of settings. */
        const val FILE_VARIABLE = "COMFREYPATH_SETTINGS"

        /**
         * Reads flags, environment variables and, where [FILE_VARIABLE] names one, a file of `name=value` lines; flags
         * win over variables, and these over the file. The error is one line for a person.
         */
        fun read(
            settings: List<Setting<*>>,
            arguments: List<String>,
            environment: Map<String, String>,
        ): Result<RawSettings, String> {
            val flags = HashMap<String, String>()
            val parser = CmdLineParser(null)
            settings.forEach { parser.addOption(TextSetter(it.name, flags), optionOf(it)) }
            return try {
                parser.parseArgument(arguments)
                val variables = settings.filter { it.envVariable in environment }
                    .associate { it.name to environment.getValue(it.envVariable) }
                Ok(RawSettings(fileSettings(environment[FILE_VARIABLE]) + variables + flags))
            } catch (wrong: CmdLineException) {
                Err(wrong.message.orEmpty().lineSequence().first())
            } catch (unreadable: IOException) {
                Err("the settings file ${environment[FILE_VARIABLE]} can't be read: ${unreadable.message}")
            }
        }

        private fun fileSettings(path: String?): Map<String, String> {
            val properties = Properties()
            path?.let { File(it).reader().use(properties::load) }
            return properties.stringPropertyNames().associateWith { properties.getProperty(it).trim() }
        }

        private fun optionOf(setting: Setting<*>) = Option(
            name = setting.flag,
            usage = setting.description,
            metaVar = setting.unit,
        )

        /** The help text: each setting with its variable, unit, meaning and default. */
        fun help(settings: List<Setting<*>>): String = settings.joinToString("\n") { setting ->
            val default = when {
                setting.default == null -> "must be given"
                setting.default.isEmpty() -> "not set by default"
                else -> "default ${setting.default}"
            }
            "  ${setting.flag} <${setting.unit}>  (${setting.envVariable})\n      ${setting.description}; $default"
        }
    }
}

private class TextSetter(private val name: String, private val texts: MutableMap<String, String>) : Setter<String> {
    override fun addValue(value: String) {
        texts[name] = value
    }

    override fun getType(): Class<String> = String::class.java
    override fun isMultiValued(): Boolean = false
    override fun asFieldSetter(): FieldSetter? = null
    override fun asAnnotatedElement(): AnnotatedElement? = null
}
