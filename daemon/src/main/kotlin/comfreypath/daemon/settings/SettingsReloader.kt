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

private const val RELOAD_SIGNAL = "HUP"
private const val POLL_MILLISECONDS = 1_000L

/**
 * Callbacks for the outcome of a reload.
 *
 * @property apply receives the new options and the cause of the reload
 * @property reject receives the error and the cause of the reload
 */
class ReloadHandler(val apply: (RouterOptions, String) -> Unit, val reject: (String, String) -> Unit)

/**
 * Reloads the settings on SIGHUP and when the content of the settings file changes.
 *
 * Without a handler, the JVM exits on SIGHUP.
 *
 * @property file the settings file; null if there is none
 * @property read reads and checks all settings; the error is a text for the log
 * @property pollInterval the interval at which the file is compared with the content last read
 */
class SettingsReloader(
    private val file: File?,
    private val read: () -> Result<RouterOptions, String>,
    private val handler: ReloadHandler,
    private val pollInterval: Duration = Duration.ofMillis(POLL_MILLISECONDS),
) {
    private var lastContent = readContent()

    /** Installs the SIGHUP handler, which reloads on [executor]. */
    fun installSignalHandler(executor: Executor) {
        Signal.handle(Signal(RELOAD_SIGNAL)) { executor.execute { reload("SIG$RELOAD_SIGNAL") } }
    }

    /** Polls the file until cancelled, and reloads after each change. */
    suspend fun watchFile() {
        while (true) {
            delay(pollInterval.toMillis())
            if (readContent() != lastContent) {
                reload("changed file")
            }
        }
    }

    private fun reload(cause: String) {
        lastContent = readContent()
        runCatching {
            read().fold(success = { handler.apply(it, cause) }, failure = { handler.reject(it, cause) })
        }.onFailure { failure ->
            if (failure is Error) throw failure
            handler.reject("the reload failed: $failure", cause)
        }
    }

    /** Returns the content of the file; null if it can't be read, which [read] reports. */
    private fun readContent(): String? = try {
        file?.readText()
    } catch (_: IOException) {
        null
    }
}
