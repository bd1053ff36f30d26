package comfreypath.router.request

/** What the wire format of endpoints tells of the events of a stream. */
interface StreamFormat {
    /** Whether an event of a stream belongs to [request]; events of other requests are dropped. */
    fun belongsTo(event: StreamEvent, request: CallerRequest): Boolean = true

    /** Whether [event] marks the end of a stream; false in formats without such a mark. */
    fun marksEnd(event: StreamEvent): Boolean = false
}
