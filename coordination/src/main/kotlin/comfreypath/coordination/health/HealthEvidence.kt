package comfreypath.coordination.health

/** What one attempt shows of an endpoint. */
enum class HealthEvidence {
    /** It answered. */
    ANSWERED,

    /** It answered with a failure of its own, which some requests meet at a sound endpoint too. */
    FAILED,

    /** The answer was lost, broke off or could not be read. */
    LOST,

    /** It was silent for longer than any sound endpoint is. */
    SILENT,

    /** No connection could be opened. */
    UNREACHABLE,

    /** It refused the request because it is full. */
    FULL,
}
