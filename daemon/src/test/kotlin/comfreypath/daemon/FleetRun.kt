package comfreypath.daemon

import comfreypath.coordination.invariant.InvariantViolation
import kotlinx.coroutines.runBlocking
import strikt.api.expectThat
import strikt.assertions.isEmpty

/** Runs [test] between [start] and [stop], and expects that no invariant was violated. */
internal fun runWithFleet(
    start: suspend () -> Unit,
    stop: suspend () -> Unit,
    violations: Collection<InvariantViolation>,
    test: suspend () -> Unit,
) {
    runBlocking {
        start()
        try {
            test()
        } finally {
            stop()
        }
    }
    expectThat(violations.toList()).isEmpty()
}
