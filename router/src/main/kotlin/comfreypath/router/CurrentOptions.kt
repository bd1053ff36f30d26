package comfreypath.router

/** Holds the settings in force on a router, some of which can change while it runs. */
class CurrentOptions(initial: RouterOptions) {
    /** The settings in force. */
    var value: RouterOptions = initial
        private set

    /**
     * Applies those settings of [next] that can change while the router runs. Returns true if other settings differ,
     * which requires a restart.
     */
    fun reload(next: RouterOptions): Boolean {
        value = value.copy(timeouts = next.timeouts, bounds = next.bounds, maxConnections = next.maxConnections)
        return next != value
    }
}
