package comfreypath.coordination.overload

/**
 * A server with slots and a queue that asks for pauses: when the replay says so, and by itself when its queue is full.
 *
 * Times are in milliseconds.
 *
 * @param ownPause how long it pauses when its queue is full
 */
internal class PausingServer(private val slots: Int, private val queueCapacity: Int, private val ownPause: Int) {
    private val queue = ArrayDeque<Int>()
    private var running = 0
    private var pausedUntil = 0

    /** How often its queue was full. */
    var overloads = 0
        private set

    /** The requests that it runs or has queued. */
    val load: Int get() = queue.size + running

    /** Refuses all requests until [end]. */
    fun pauseUntil(end: Int) {
        pausedUntil = maxOf(pausedUntil, end)
    }

    /** Takes the request with this [number] and returns null, or returns the pause for which it asks instead. */
    fun offer(number: Int, now: Int): Int? {
        val full = now >= pausedUntil && queue.size >= queueCapacity
        if (full) {
            overloads++
            pausedUntil = now + ownPause
        }
        val taken = !full && now >= pausedUntil
        if (taken) queue.addLast(number)
        return if (taken) null else pausedUntil - now
    }

    /** Moves queued requests to free slots and returns their numbers. */
    fun start(): List<Int> =
        List(minOf(slots - running, queue.size)) { queue.removeFirst() }.also { running += it.size }

    /** Frees the slot of a request that has ended. */
    fun end() {
        running--
    }
}
