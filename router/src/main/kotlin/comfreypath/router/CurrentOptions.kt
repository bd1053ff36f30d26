package comfreypath.router

/** The settings that are in force on a router now. */
class CurrentOptions(initial: RouterOptions) {
    /** The settings in force. */
    var value: RouterOptions = initial
        private set

    /**
     * Puts those of [next]'s settings in force that can change while the router runs, and says whether others changed,
     * which take effect at the next start.
     */
    fun reload(next: RouterOptions): Boolean {
        value = value.copy(timeouts = next.timeouts, bounds = next.bounds, maxConnections = next.maxConnections)
        return next != value
    }
}
