package comfreypath.daemon.settings

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import comfreypath.router.RouterOptions
import kotlinx.coroutines.delay
import sun.misc.Signal
import java.io.File
import java.io.IOException
import java.time.Duration
import java.util.concurrent.Executor

private const val SIGNAL = "HUP"
private const val POLL_MILLISECONDS = 1_000L

/** What is done with settings that were read again; the texts say why they were read and what is wrong with them. */
class ReloadHandler(val apply: (RouterOptions, String) -> Unit, val reject: (String, String) -> Unit)

/**
 * Reads the settings again on SIGHUP, and when their file has changed without a signal.
 *
 * The Java runtime ends a process on SIGHUP unless a handler is installed.
 *
 * @property file the settings file; null when there is none
 * @property pollInterval how often the file is compared with what was read last
 */
class SettingsReloader(
    private val file: File?,
    private val read: () -> Result<RouterOptions, String>,
    private val actions: ReloadHandler,
    private val pollInterval: Duration = Duration.ofMillis(POLL_MILLISECONDS),
) {
    private var content = content()

    /** Installs the handler of the signal, which reloads on [executor]. */
    fun installSignalHandler(executor: Executor) {
        Signal.handle(Signal(SIGNAL)) { executor.execute { reload("SIG$SIGNAL") } }
    }

    /** Watches the file until cancelled. */
    suspend fun watchFile() {
        while (true) {
            delay(pollInterval.toMillis())
            if (content() != content) {
                reload("changed file")
            }
        }
    }

    private fun reload(cause: String) {
        content = content()
        read().fold(success = { actions.apply(it, cause) }, failure = { actions.reject(it, cause) })
    }

    /** The file's text; null when it can't be read, which [read] then reports. */
    private fun content(): String? = try {
        file?.readText()
    } catch (_: IOException) {
        null
    }
}
