package comfreypath.transport

/** No memory is left for a line of a head. */
internal class HeadOutOfMemoryException : RuntimeException("no memory is left for the head")
