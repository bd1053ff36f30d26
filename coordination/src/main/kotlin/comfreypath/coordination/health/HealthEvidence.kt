package comfreypath.coordination.health

/** What the outcome of one attempt says about the health of an endpoint. */
enum class HealthEvidence {
    /** The endpoint responded. */
    ANSWERED,

    /** The endpoint responded with an error of its own. Healthy endpoints do so for some requests too. */
    FAILED,

    /** The response was lost, truncated or malformed. */
    LOST,

    /** The endpoint sent nothing for longer than any healthy endpoint takes. */
    SILENT,

    /** No connection could be established. */
    UNREACHABLE,

    /** The endpoint refused the request because it is full. */
    FULL,
}
