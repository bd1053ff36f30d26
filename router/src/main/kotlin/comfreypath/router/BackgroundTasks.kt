package comfreypath.router

import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

private const val PAUSE_AFTER_FAILURE_MILLISECONDS = 500L

/**
 * Repeats [pass] in the background until it returns true.
 *
 * A pass that fails is logged and counted under [name] and ends alone: the next one starts after the time in
 * milliseconds that [pauseAfterFailure] returns.
 */
internal fun RouterContext.launchUntil(
    name: String,
    pauseAfterFailure: () -> Long = { PAUSE_AFTER_FAILURE_MILLISECONDS },
    pass: suspend () -> Boolean,
): Job = scope.launch {
    var done = false
    while (!done) {
        val running = scope.launch(CoroutineName(name)) {
            while (!done) done = pass()
        }
        running.join()
        if (running.isCancelled) {
            delay(pauseAfterFailure())
        }
    }
}

/** Repeats [pass] in the background until the router stops, see [launchUntil]. */
internal fun RouterContext.launchLoop(
    name: String,
    pauseAfterFailure: () -> Long = { PAUSE_AFTER_FAILURE_MILLISECONDS },
    pass: suspend () -> Unit,
): Job = launchUntil(name, pauseAfterFailure) {
    pass()
    false
}
