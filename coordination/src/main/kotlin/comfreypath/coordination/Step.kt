package comfreypath.coordination

/**
 * Result of one step of a state machine: the next state, and the actions that the caller must perform.
 *
 * State machines read no clock, socket or random source, so that equal inputs give equal results.
 */
data class Step<out S, out A>(val state: S, val actions: List<A> = emptyList())
